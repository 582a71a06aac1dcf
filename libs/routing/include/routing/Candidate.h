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

/** A side that serves a profile. */
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

/** Who serves what; immutable, replaced whole with each view. */
struct RouteTable
{
  std::map<std::string, Candidates> byProfile;

  /** Empty where nobody serves it. */
  const Candidates& Find(const std::string& aProfile) const;
};

/** Makes tables from views and keeps the sides' states from one to the next. */
class RouteTableBuilder
{
public:
  std::shared_ptr<const RouteTable> Build(const membership::View& aView);

private:
  /** By incarnation: a new process starts with a clean record. */
  std::map<std::string, std::shared_ptr<SideState>> states_;
};

} // namespace waxwingyoke::routing

#endif // waxwingyoke_routing_Candidate_h
