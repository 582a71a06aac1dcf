#ifndef waxwingyoke_fleet_ConfigFollower_h
#define waxwingyoke_fleet_ConfigFollower_h

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <net/Runtime.h>
#include <platform/FleetCodecs.h>
#include <platform/KeyedLog.h>
#include <schema/fleet.pb.h>
#include <telemetry/Logger.h>
#include <utils/Backoff.h>
#include <utils/Time.h>

#include "Evacuations.h"
#include "NamedVersions.h"

namespace waxwingyoke::fleet {

/** How far a peer has read the operator's topic. */
struct PeerPosition
{
  /** Offset after the last record, and the epoch of the log that it counts in.
   */
  std::uint64_t end = 0;
  std::uint64_t epoch = 0;
  /** Version of the configuration that the peer holds; 0: none. */
  std::uint64_t configVersion = 0;

  bool operator==(const PeerPosition&) const = default;
};

/** The position that an entry's notice reports. */
PeerPosition
ReadPosition(const schema::EntryNotice& aNotice);
/** Writes the position into an entry's notice. */
void
FillPosition(const PeerPosition& aPosition, schema::EntryNotice& aNotice);

/**
 * Follows the operator's topic: the configuration in force, the versions that
 * are named and the data centres that are evacuated. The first two never move
 * backwards during the life of the process, also if the log is restored from an
 * older copy. Used by one thread.
 */
class ConfigFollower
{
public:
  /** How the topic is read. */
  struct PollOptions
  {
    /** How long one read waits for new records. */
    utils::Millis wait;
    /**
     * Time between two reads without new records, unless a peer reports newer
     * ones; 0 reads again at once.
     */
    utils::Millis interval;
    /**
     * Asks other processes first: a peer's report of newer records starts no
     * read, and the topic is read only once the configuration is older than the
     * interval.
     */
    bool prefersPeers = false;
    /** The same interval for a process that SetReader told not to read. */
    utils::Millis peersInterval;
    /** Upper bound of the backoff between reads that fail. */
    utils::Millis maxBackoff;
    /**
     * After the log was restored from an older copy, the operator writes again
     * what the copy lacks. Within this time a read doesn't confirm that there
     * is no newer configuration.
     */
    utils::Millis rewriteTime;
    /**
     * How many peers to ask, after each new version, for what they hold of the
     * time at which it was named.
     */
    int namingRequests = 0;
    /** Source of all times of the follower; it must count suspension. */
    utils::Clock clock = utils::Clock::CountingSuspension();
  };

  ConfigFollower(platform::KeyedLog& aLog,
                 const platform::FleetCodecs& aCodecs,
                 const PollOptions& aOptions);

  /**
   * Starts the read loop; aOnChange runs after each read with new records and
   * after each record of a peer.
   */
  void Start(net::Runtime& aRuntime, std::function<void()> aOnChange);

  /** Reads the topic once; false if the read failed. */
  bool Poll();

  /**
   * Applies a peer's report of its position: if it is ahead, a waiting follower
   * reads at once, unless it prefers peers.
   */
  void ApplyPeerPosition(const PeerPosition& aPosition);

  /**
   * Whether this process reads the topic all the time, or relies on peers and
   * reads only if they don't confirm the configuration. By default it reads.
   */
  void SetReader(bool aIsReader);

  /**
   * Sets this process's rank among aCount that read the topic. A change ends
   * the reads of all at once; the first wait after it differs by rank, so that
   * the ends of their reads are spread evenly afterwards.
   */
  void SetReadRank(std::size_t aRank, std::size_t aCount);

  /**
   * Whether to read the topic now: always for a reader, otherwise once the
   * configuration is older than peersInterval, or if the peers' records lack
   * evacuations.
   */
  bool IsReadDue() const;

  /** Whether a peer holds a newer configuration. */
  bool IsConfigOutdated() const
  {
    return peer_.configVersion > GetConfigVersion();
  }

  /** This process's position, for its peers. */
  PeerPosition GetPosition() const;

  /** Null until the first configuration is received. */
  std::shared_ptr<const platform::FleetConfig> GetConfig() const
  {
    return config_;
  }
  /** The newest version of a model; empty if none is named. */
  std::optional<NamedVersion> FindVersion(const std::string& aModel) const
  {
    return versions_.Find(aModel);
  }
  /**
   * The first version after aAfter. Versions are found one after the other
   * because each has its own time limit.
   */
  std::optional<NamedVersion> FindNextVersion(const std::string& aModel,
                                              std::uint64_t aAfter) const
  {
    return versions_.FindNext(aModel, aAfter);
  }
  /**
   * From when the limit of aVersion counts: GetLimitStart of the first version
   * after it. If there is none, the earliest time at which one may have been
   * named that this process has not observed yet. Empty if that is any time.
   */
  std::optional<utils::Millis> FindLimitStart(const std::string& aModel,
                                              std::uint64_t aVersion) const;
  /**
   * The newest version whose limit for older ones began at least aAge ago; 0 if
   * there is none.
   */
  std::uint64_t FindVersionOfAge(const std::string& aModel,
                                 utils::Millis aAge) const
  {
    return versions_.FindOfAge(aModel, aAge, clock_.Now());
  }

  /** The evacuated data centres; empty before any is known. */
  std::set<std::string> GetEvacuated() const;

  /**
   * The time on the clock of NamedVersion, FindLimitStart and ApplyPeerRecord,
   * which counts suspension.
   */
  utils::Millis Now() const { return clock_.Now(); }

  /** Time since the configuration was last confirmed as the newest. */
  utils::Millis GetAge() const;

  /**
   * A record for another process's ApplyPeerRecord; empty before the first
   * configuration. Without aWithText it lacks the configuration's text, which
   * may be long.
   */
  std::optional<schema::OperatorRecord> MakeRecord(bool aWithText = true) const;

  /**
   * Whether to ask one more peer when the newest version was named; counts the
   * request as sent.
   */
  bool TakeNamingRequest();

  /** Version of the configuration in force; 0: none. */
  std::uint64_t GetConfigVersion() const
  {
    return config_ ? config_->version : 0;
  }

  /**
   * Applies the record of a peer that was requested at aRequestedAt on the
   * clock of Now and made at any time since. Only what is newer, or was
   * confirmed later, than the local state is used.
   */
  void ApplyPeerRecord(const schema::OperatorRecord& aRecord,
                       utils::Millis aRequestedAt);

  /**
   * Whether a peer has read further than this process and the records that it
   * applied, or holds a newer configuration, which a restored log may lack.
   */
  bool IsBehind() const { return IsPeerAhead() || IsConfigOutdated(); }

  /** The same by the offsets alone. */
  bool IsPeerAhead() const
  {
    return IsPeerAhead(std::max(end_, appliedPeerEnd_));
  }

private:
  /** The newest record of a model, if it could not be read. */
  struct UnreadableVersion
  {
    std::string text;
    /** When no version after those held had been named for certain. */
    std::optional<utils::Millis> absentAt;
    /** A second read found the topic without another record. */
    bool isConfirmed = false;
  };

  void Loop();
  void WaitForPeers();
  void WaitForUpdate();
  void WaitUntilReadDue();
  void BackOff();
  utils::Millis GetReadWait(utils::Millis aNow) const;
  bool IsPeerAhead(std::uint64_t aEnd) const;
  void BeginEpoch(std::uint64_t aEpoch);
  void ApplyPage(const platform::KeyedPage& aPage,
                 utils::Millis aSentAt,
                 utils::Millis aWait);
  void Apply(const platform::KeyedRecord& aRecord);
  /** Returns the text's version, also if it is not newer; 0: unreadable. */
  std::uint64_t ApplyConfig(const std::string& aText, std::uint64_t aOffset);
  void ApplyVersion(const std::string& aModel, const std::string& aText);
  void RecordUnreadable(const std::string& aModel,
                        const std::string& aText,
                        const utils::Error& aReason);
  void ConfirmUnreadable();
  void ApplyEvacuations(const platform::KeyedPage& aPage);
  void ApplyPeerEvacuations(const schema::OperatorRecord& aRecord,
                            utils::Millis aRequestedAt);
  void LogEvacuations(std::string_view aSource);
  void SetOwnBounds(const std::string& aModel, NamedVersion& aNamed);
  void AddVersion(const std::string& aModel,
                  const NamedVersion& aNamed,
                  std::string_view aSource);
  void RecordFailedRead(utils::Millis aSentAt, const utils::Error& aReason);
  void RecordLogResult(bool aAvailable, const utils::Error& aReason);

  platform::KeyedLog& log_;
  platform::FleetCodecs codecs_;
  PollOptions options_;
  utils::Clock clock_;
  telemetry::Logger logger_{ "config" };
  std::function<void()> onChange_;
  std::shared_ptr<const platform::FleetConfig> config_;
  std::string text_;
  std::uint64_t offset_ = 0;
  NamedVersions versions_;
  Evacuations evacuations_;
  /** Those that the log lines have named, with the offsets of their records. */
  std::map<std::string, std::uint64_t> loggedEvacuations_;
  /** All that the topic held at this time has been applied. */
  std::optional<utils::Millis> appliedAt_;
  std::map<std::string, UnreadableVersion> unreadableVersions_;
  bool isReader_ = true;
  /** How long the first read after one with records waits. */
  utils::Millis firstWait_;
  bool isFirstRead_ = true;
  bool started_ = false;
  std::uint64_t end_ = 0;
  std::optional<utils::Millis> confirmedAt_;
  bool logAvailable_ = true;
  /** Backoff between failed reads. */
  utils::Backoff backoff_;
  /** Peers still to ask; see TakeNamingRequest. */
  int namingRequests_ = 0;
  /** Reads that have failed in a row. */
  int failedReads_ = 0;
  /** When the last failed read of the latest outage was sent. */
  std::optional<utils::Millis> outageAt_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable updateAvailable_;
  /** Epoch of the log in which end_ and offset_ count; 0: not stated. */
  std::uint64_t epoch_ = 0;
  /** Until then reads don't confirm the configuration; see BeginEpoch. */
  utils::Millis unconfirmedUntil_;
  PeerPosition peer_;
  /** How far the sender of the last applied record had read. */
  std::uint64_t appliedPeerEnd_ = 0;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_ConfigFollower_h
