#ifndef waxwingyoke_weights_PermitFold_h
#define waxwingyoke_weights_PermitFold_h

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <schema/log.pb.h>

namespace waxwingyoke::weights {

/** One VM that asked to be taken out of service for a switch-over. */
struct Permit
{
  /** Of the request's record in the log; no two are equal. */
  std::uint64_t offset = 0;
  std::string vm;
  std::string incarnation;
  std::uint64_t revision = 0;
  /** Once granted it stays so until it is released. */
  bool granted = false;
};

/**
 * Which VMs of a profile may switch over now: in the log's order, up to the
 * profile's maximum at once. Every reader of the same records grants the
 * same permits.
 */
class PermitFold
{
public:
  void Apply(std::uint64_t aOffset, const schema::PermitRequest& aRequest);
  void Apply(const schema::PermitRelease& aRelease);

  /** Those that wait and those granted, in the order of their requests. */
  const std::vector<Permit>& GetPermits(const std::string& aProfile) const;

  /** The request of that process for that revision; null if none stands. */
  const Permit* Find(const std::string& aProfile,
                     std::uint64_t aRevision,
                     const std::string& aVm,
                     const std::string& aIncarnation) const;

private:
  struct Queue
  {
    std::uint64_t revision = 0;
    std::uint32_t limit = 1;
    std::vector<Permit> permits;
  };

  static void Grant(Queue& aQueue);

  std::map<std::string, Queue> queues_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_PermitFold_h
