#ifndef waxwingyoke_platform_StoreClient_h
#define waxwingyoke_platform_StoreClient_h

#include <optional>
#include <string>

#include <net/HttpClient.h>
#include <schema/weights.pb.h>
#include <utils/Digest.h>
#include <utils/Error.h>

namespace waxwingyoke::platform {

/**
 * Reads manifests and chunks over HTTP from the weight store, the origin or a
 * peer, which share one protocol.
 */
class StoreClient
{
public:
  explicit StoreClient(net::HttpClient& aClient);

  /** The manifest whose bytes have the digest aVersion. */
  std::optional<schema::Manifest> GetManifest(
    const net::Endpoint& aSource,
    const utils::Digest& aVersion,
    const net::CallTimeouts& aTimeouts,
    utils::Error& aReason);

  /**
   * A chunk's bytes, verified: DigestMismatch where the source sent others.
   * aFields are added to the request, such as the secret that a peer requires.
   */
  std::optional<std::string> GetChunk(const net::Endpoint& aSource,
                                      const utils::Digest& aChunk,
                                      const net::HttpFields& aFields,
                                      const net::CallTimeouts& aTimeouts,
                                      utils::Error& aReason);

private:
  std::optional<std::string> Get(const net::Endpoint& aSource,
                                 const std::string& aPath,
                                 const utils::Digest& aDigest,
                                 const net::HttpFields& aFields,
                                 const net::CallTimeouts& aTimeouts,
                                 utils::Error& aReason);

  net::HttpClient& client_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_StoreClient_h
