#ifndef waxwingyoke_waxwingyoke_RolloutProgress_h
#define waxwingyoke_waxwingyoke_RolloutProgress_h

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <membership/ClusterStatus.h>
#include <schema/log.pb.h>

namespace waxwingyoke::tool {

/** A VM of the rollout that reported a failure or did not answer, and why. */
struct RolloutFailure
{
  std::string vm;
  std::string reason;
};

/** Progress of a rollout in one data centre. */
struct DataCentreProgress
{
  std::size_t vms = 0;
  std::size_t ready = 0;
  std::uint64_t chunksHeld = 0;
  std::uint64_t chunksTotal = 0;
  std::vector<RolloutFailure> failures;
};

/** Progress of the rollout of a profile's version, by data centre. */
struct RolloutProgress
{
  std::string version;
  std::map<std::string, DataCentreProgress> dataCentres;

  /** Whether every VM serves the version. */
  bool IsDone() const;
};

/** Counts the VMs that the profile selects, except leaving ones. */
RolloutProgress
ComputeProgress(const schema::Profile& aProfile,
                const membership::ClusterStatus& aStatus);

/** Text for operators: a line for each data centre and each failure. */
std::string
FormatText(const RolloutProgress& aProgress);

/** One JSON object on a line. */
std::string
FormatJson(const RolloutProgress& aProgress);

} // namespace waxwingyoke::tool

#endif // waxwingyoke_waxwingyoke_RolloutProgress_h
