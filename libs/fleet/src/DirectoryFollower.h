#ifndef waxwingyoke_fleet_DirectoryFollower_h
#define waxwingyoke_fleet_DirectoryFollower_h

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <dispatch/UpstreamRegistry.h>
#include <net/Runtime.h>
#include <platform/FleetCodecs.h>
#include <platform/KeyedLog.h>
#include <schema/fleet.pb.h>
#include <telemetry/Logger.h>
#include <utils/Backoff.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/**
 * Keeps an UpstreamRegistry in line with the platform's directory. Upstreams
 * whose entries expired while the log was unavailable, or are missing after it
 * was restored from an older copy, stay registered until they have had time to
 * register again. Used by one thread.
 */
class DirectoryFollower
{
public:
  DirectoryFollower(platform::KeyedLog& aLog,
                    const platform::FleetCodecs& aCodecs,
                    dispatch::UpstreamRegistry& aRegistry,
                    utils::Clock aClock = utils::Clock::CountingSuspension());

  using UpdateHook = std::function<void(const schema::DirectoryNews&)>;

  /** Sets the hook that sends the changes of each read to the other entries. */
  void OnUpdate(UpdateHook aHook) { onUpdate_ = std::move(aHook); }

  /**
   * Starts the read loop; aOnChange runs after each read and after each update
   * with records.
   */
  void Start(net::Runtime& aRuntime, std::function<void()> aOnChange);

  /**
   * Does what the read loop has due, and returns the time until the next call.
   */
  utils::Millis Step();

  /**
   * Reads the directory once, waiting up to aWait for changes, and removes
   * upstreams whose grace period is over; false if the log doesn't answer.
   */
  bool Poll(utils::Millis aWait = {});

  /**
   * Applies changes that another entry read, so that this one need not read
   * them.
   */
  void ApplyUpdate(const schema::DirectoryNews& aUpdate);

  /**
   * Ends a grace period early if aUpdate shows that it began earlier than this
   * entry observed, or that there was no outage. To be called after ApplyUpdate
   * with updates of entries of the own region only: in another region the log
   * may have answered while this region's upstreams were cut off from it.
   */
  void ShortenGrace(const schema::DirectoryNews& aUpdate);

  /**
   * Sets this entry's rank among the entries. Rank 0 reads all the time; the
   * others read, in the order of their ranks, if no updates arrive.
   */
  void SetReadRank(std::size_t aRank) { readRank_ = aRank; }

private:
  void Loop();
  utils::Millis RunDue();
  utils::Millis GetNextReadTime() const;
  bool ReadAll(std::optional<std::uint64_t> aPublishFrom = std::nullopt);
  std::vector<platform::KeyedRecord> ApplyAll(const platform::KeyedPage& aPage);
  void BeginEpoch(std::uint64_t aEpoch);
  bool WasRemoved(const platform::KeyedRecord& aRecord) const;
  bool ReadChanges(utils::Millis aWait);
  void PublishUpdate(std::uint64_t aFrom,
                     std::uint64_t aEnd,
                     const std::vector<platform::KeyedRecord>& aChanges);
  void AdvanceEnd(std::uint64_t aEnd);
  bool IsSuperseded(const platform::KeyedRecord& aRecord) const;
  bool Apply(const platform::KeyedRecord& aRecord);
  bool Remove(const std::string& aId, bool aImmediately);
  utils::Millis GetNextExpiry() const;
  void RemoveExpired();
  void RecordLogResult(bool aAvailable);
  void RecordRead();
  void RecordStall(utils::Millis aDueAt);
  bool IsOutageOfAll() const;
  void HoldDropped();
  utils::Millis GetHoldEnd() const;

  platform::KeyedLog& log_;
  platform::FleetCodecs codecs_;
  dispatch::UpstreamRegistry& registry_;
  utils::Clock clock_;
  utils::Backoff backoff_;
  std::optional<utils::Millis> stepDueAt_;
  telemetry::Logger logger_{ "directory" };
  std::function<void()> onChange_;
  UpdateHook onUpdate_;
  std::size_t readRank_ = 0;
  /** When the registry was last brought up to date, by a read or an update. */
  std::optional<utils::Millis> confirmedAt_;
  /** When the log last answered an entry, this one or one that sent an update.
   */
  std::optional<utils::Millis> logReadAt_;
  /** A read of this entry has failed since logReadAt_. */
  bool readFailed_ = false;
  /** Time since logReadAt_ in which this process did not run. */
  utils::Millis stalledTime_;
  /**
   * Since when the log has answered entries in this epoch, without a gap in
   * which entries of the directory could expire.
   */
  utils::Millis steadySince_;
  /** The same, as another entry of the region last stated it. */
  struct PeerSteadiness
  {
    std::uint64_t epoch = 0;
    utils::Millis since;
  };
  std::optional<PeerSteadiness> peerSteadiness_;
  /** An update arrived with a gap between it and the last applied offset. */
  bool missedUpdate_ = false;
  bool started_ = false;
  std::uint64_t end_ = 0;
  /** Offsets from end_ on of records that updates after a gap brought, by id.
   */
  std::map<std::string, std::uint64_t> appliedAhead_;
  /** Where the read of changes that is in progress began. */
  std::optional<std::uint64_t> readFrom_;
  /**
   * Offsets of records that updates brought, from end_ or the beginning of the
   * read in progress on.
   */
  std::set<std::uint64_t> receivedOffsets_;
  /** Epoch of the log in which end_ counts; 0: not stated. */
  std::uint64_t epoch_ = 0;
  /** The epoch began with a restore and its directory was not read yet. */
  bool isRestored_ = false;
  bool logAvailable_ = true;
  /**
   * Until then a dropped entry may belong to an upstream that registers again.
   */
  utils::Millis graceUntil_;
  /** The same after a failure that was too short for an outage. */
  utils::Millis failureHoldUntil_;
  /** Upstreams without an entry, and when each is removed. */
  std::map<std::string, utils::Millis> missing_;
  /** An upstream that was removed, by its id. */
  struct Removal
  {
    std::int64_t startedMs = 0;
    utils::Millis at;
  };
  std::map<std::string, Removal> removed_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_DirectoryFollower_h
