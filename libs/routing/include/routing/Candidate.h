#ifndef waxwingyoke_routing_Candidate_h
#define waxwingyoke_routing_Candidate_h

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <membership/View.h>
#include <net/Endpoint.h>
#include <routing/SideState.h>

namespace waxwingyoke::routing {

/** A side (the sidecar of one upstream) that serves a profile. */
struct Candidate
{
  std::string vm;
  net::Endpoint endpoint;
  std::string incarnation;
  std::string dataCentre;
  std::string region;
  std::string version;
  std::uint32_t slots = 1;
  /** Stable hash of the VM's id. */
  std::uint64_t hash = 0;
  std::shared_ptr<SideState> state;
};

using Candidates = std::vector<Candidate>;

/** The sides that serve each profile; immutable, rebuilt for each view. */
struct RouteTable
{
  std::map<std::string, Candidates> byProfile;

  /** Empty if no side serves the profile. */
  const Candidates& Find(const std::string& aProfile) const;
};

/**
 * Builds route tables from views and carries the SideState of each process over
 * from one table to the next. Not thread-safe.
 */
class RouteTableBuilder
{
public:
  std::shared_ptr<const RouteTable> Build(const membership::View& aView);

private:
  /** By incarnation, so that a restarted process gets a new state. */
  std::map<std::string, std::shared_ptr<SideState>> states_;
};

} // namespace waxwingyoke::routing

#endif // waxwingyoke_routing_Candidate_h
