#ifndef waxwingyoke_weights_PermitFold_h
#define waxwingyoke_weights_PermitFold_h

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <schema/log.pb.h>

namespace waxwingyoke::weights {

/** One VM's request to be taken out of service for a switch-over. */
struct Permit
{
  /** The offset of the request's record in the log; unique. */
  std::uint64_t offset = 0;
  std::string vm;
  std::string incarnation;
  std::uint64_t revision = 0;
  /** A granted permit stays granted until it is released. */
  bool granted = false;
};

/**
 * Folds the log's permit records into the set of VMs that may switch over now:
 * in the order of their requests, up to the profile's maximum at once. The
 * result depends on the records alone, so all readers grant the same permits.
 */
class PermitFold
{
public:
  void Apply(std::uint64_t aOffset, const schema::PermitRequest& aRequest);
  void Apply(const schema::PermitRelease& aRelease);

  /** Waiting and granted permits, in the order of their requests. */
  const std::vector<Permit>& GetPermits(const std::string& aProfile) const;

  /** The permit of that process for that revision; null if there is none. */
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
