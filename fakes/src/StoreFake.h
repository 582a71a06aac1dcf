#ifndef waxwingyoke_fakes_StoreFake_h
#define waxwingyoke_fakes_StoreFake_h

#include <map>
#include <string>
#include <vector>

#include <fakes/Content.h>

#include "FaultGate.h"

namespace waxwingyoke::fakes {

/**
 * The weight store or the origin. Each listening point counts its own bytes,
 * so that a bed sees who read how much by giving each reader one.
 */
class StoreFake
{
public:
  explicit StoreFake(FaultGate& aGate);

  /** Makes a version and keeps it readable. */
  VersionReply MakeVersion(const VersionSpec& aSpec);

  void AddRoutes(net::Router& aRouter, const std::string& aListen);

private:
  void SendManifest(const net::HttpRequest& aRequest,
                    net::ResponseWriter& aWriter);
  void SendChunk(const std::string& aListen,
                 const net::HttpRequest& aRequest,
                 net::ResponseWriter& aWriter);
  void SendPaced(std::string aBytes, net::ResponseWriter& aWriter);
  void CountBytes(const std::string& aListen,
                  const utils::Digest& aChunk,
                  std::size_t aBytes);
  void Stall(net::ResponseWriter& aWriter) const;
  void FillCounters(Counters& aCounters) const;

  FaultGate& gate_;
  TokenBucket rate_;
  std::vector<Content> contents_;
  std::map<std::string, std::uint64_t> served_;
  std::map<std::string, std::uint64_t> points_;
};

/** Reads "NAME:BYTES:CHUNK_BYTES:SEED". */
std::optional<VersionSpec>
ParseVersionSpec(const std::string& aText);

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_StoreFake_h
