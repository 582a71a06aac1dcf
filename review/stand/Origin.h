#ifndef waxwingyoke_review_Origin_h
#define waxwingyoke_review_Origin_h

#include <cstdint>
#include <memory>
#include <string>

#include <net/HttpServer.h>
#include <net/Runtime.h>

namespace waxwingyoke::review {

inline constexpr std::uint32_t kPieces = 48;
inline constexpr std::size_t kPieceBytes = 49152;

/** The bytes of one piece of a version's weights. */
std::string
MakePiece(std::uint64_t aVersion, std::uint32_t aPiece);

/** A stand-in of the weights' origin, which has all pieces of all versions. */
class Origin
{
public:
  bool Start(net::Runtime& aRuntime, const net::Endpoint& aEndpoint);
  void Stop() { server_->Close(); }

  /**
   * The version whose first manifest has one wrong hexadecimal digit; 0 if none
   * has.
   */
  std::uint64_t corruptVersion = 0;

  int GetManifests() const { return manifests_; }
  int GetCorrupted() const { return corrupted_; }
  int GetPieces() const { return pieces_; }

private:
  void Handle(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  std::string MakeManifest(std::uint64_t aVersion);

  int manifests_ = 0;
  int corrupted_ = 0;
  int pieces_ = 0;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace waxwingyoke::review

#endif // waxwingyoke_review_Origin_h
