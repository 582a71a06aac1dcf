#ifndef waxwingyoke_waxwingyoke_RolloutProgress_h
#define waxwingyoke_waxwingyoke_RolloutProgress_h

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <membership/ClusterStatus.h>
#include <schema/log.pb.h>

namespace waxwingyoke::tool {

/** A VM of the rollout that said why it does not get on. */
struct RolloutFailure
{
  std::string vm;
  std::string reason;
};

/** How far a rollout is in one data centre. */
struct PlaceProgress
{
  std::size_t vms = 0;
  std::size_t ready = 0;
  std::uint64_t chunksHeld = 0;
  std::uint64_t chunksTotal = 0;
  std::vector<RolloutFailure> failures;
};

/** How far a profile's version has come, by data centre. */
struct RolloutProgress
{
  std::string version;
  std::map<std::string, PlaceProgress> places;

  bool IsDone() const;
};

RolloutProgress
MeasureProgress(const schema::Profile& aProfile,
                const membership::ClusterStatus& aStatus);

/** For a person, a line for each data centre and each failure. */
std::string
Show(const RolloutProgress& aProgress);

/** The same as one JSON object on a line. */
std::string
ShowJson(const RolloutProgress& aProgress);

} // namespace waxwingyoke::tool

#endif // waxwingyoke_waxwingyoke_RolloutProgress_h
