#ifndef waxwingyoke_fleet_Evacuations_h
#define waxwingyoke_fleet_Evacuations_h

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <schema/fleet.pb.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/** A record of the operator's topic that begins or ends an evacuation. */
struct EvacuationRecord
{
  std::string dataCentre;
  std::uint64_t offset = 0;
  /** The record's key was removed. */
  bool isEnd = false;
};

/**
 * The data centres that the operator's topic evacuates, as of one offset of the
 * log: of the states that processes report, the one of the newer offset
 * applies. Does no input or output; used by one thread.
 */
class Evacuations
{
public:
  /**
   * Begins anew, as offsets of the epoch before say nothing of the next one.
   * What is known is kept until a record of the same data centre, DropKept, or
   * a state of the log from aKeptUntil or later.
   */
  void BeginEpoch(utils::Millis aKeptUntil);

  /** Applies the newest record of each key, which ends at aEnd. */
  void ApplyNewest(const std::vector<EvacuationRecord>& aRecords,
                   std::uint64_t aEnd);
  /** Applies the records of a read of changes that ends at aEnd. */
  void ApplyChanges(const std::vector<EvacuationRecord>& aRecords,
                    std::uint64_t aEnd);

  /** Applies the state of another process in the same epoch. */
  void ApplyState(const schema::EvacuationState& aState,
                  utils::Millis aRequestedAt);
  /** The state, for ApplyState of another process. */
  schema::EvacuationState MakeState(utils::Millis aNow) const;

  /** All that the log held at aTime has been applied. */
  void Confirm(utils::Millis aTime);
  /** The operator has written again since the log's restore. */
  void DropKept() { kept_.clear(); }

  /** The evacuated data centres, with the offset of the record of each. */
  std::map<std::string, std::uint64_t> List() const;
  /** End offset of the records that have been applied. */
  std::uint64_t GetEnd() const { return end_; }

private:
  std::map<std::string, std::uint64_t> evacuated_;
  std::uint64_t end_ = 0;
  /** Known from an earlier epoch, with their offsets there. */
  std::map<std::string, std::uint64_t> kept_;
  utils::Millis keptUntil_;
  /** Time of the latest state of the log that has been applied. */
  utils::Millis confirmedAt_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_Evacuations_h
