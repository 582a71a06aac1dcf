#ifndef waxwingyoke_weights_ChunkRoutes_h
#define waxwingyoke_weights_ChunkRoutes_h

#include <atomic>
#include <string>

#include <net/Pacer.h>
#include <net/Router.h>

#include "ChunkStore.h"
#include "UploadLimit.h"

namespace waxwingyoke::weights {

/** Serves what this process holds: to peers paced, to the engine whole. */
class ChunkRoutes
{
public:
  ChunkRoutes(const ChunkStore& aChunkStore, net::Pacer& aLink);

  /** For peers: whatever is checked, paced, a few answers at once. */
  void AddPeerRoutes(net::Router& aRouter, const std::string& aSecret);

  /** For the engine beside: whole versions, not paced. */
  void AddEngineRoutes(net::Router& aRouter);

  /** Chunks given to peers so far. */
  std::uint64_t GetGivenChunks() const { return given_.load(); }

private:
  void SendManifest(const net::HttpRequest& aRequest,
                    net::ResponseWriter& aWriter,
                    bool aWholeOnly) const;
  void SendToPeer(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  void SendToEngine(const net::HttpRequest& aRequest,
                    net::ResponseWriter& aWriter) const;
  bool MayGive(const utils::Digest& aChunk);
  void WritePaced(const std::string& aBytes, net::ResponseWriter& aWriter);

  const ChunkStore& chunkStore_;
  net::Pacer& link_;
  utils::Clock clock_;
  boost::fibers::mutex mutex_;
  UploadLimit limit_;
  std::atomic<int> answers_{ 0 };
  std::atomic<std::uint64_t> given_{ 0 };
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_ChunkRoutes_h
