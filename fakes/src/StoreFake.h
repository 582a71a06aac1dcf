#ifndef waxwingyoke_fakes_StoreFake_h
#define waxwingyoke_fakes_StoreFake_h

#include <map>
#include <string>
#include <vector>

#include <fakes/Content.h>

#include "FaultInjector.h"

namespace waxwingyoke::fakes {

/**
 * Fake of the weight store or the origin. Served bytes are counted for each
 * listening address: a test bed that gives each reader an address of its own
 * can tell how much each one has read.
 */
class StoreFake
{
public:
  explicit StoreFake(FaultInjector& aFaultInjector);

  /** Creates a version, which readers can fetch from then on. */
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

  FaultInjector& faultInjector_;
  TokenBucket rate_;
  std::vector<Content> contents_;
  std::map<std::string, std::uint64_t> served_;
  std::map<std::string, std::uint64_t> points_;
};

/** Parses "NAME:BYTES:CHUNK_BYTES:SEED"; empty if the text is malformed. */
std::optional<VersionSpec>
ParseVersionSpec(const std::string& aText);

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_StoreFake_h
