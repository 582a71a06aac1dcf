#ifndef waxwingyoke_fleet_ConfigFollower_h
#define waxwingyoke_fleet_ConfigFollower_h

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <net/Runtime.h>
#include <platform/FleetCodecs.h>
#include <platform/KeyedLog.h>
#include <schema/fleet.pb.h>
#include <telemetry/Logger.h>
#include <utils/Backoff.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/** A version of a model that the operator named. */
struct NamedVersion
{
  std::uint64_t version = 0;
  /** When this process learnt of it. */
  utils::Millis learntAt;
  /** False: it stood there when the process started. */
  bool learntLive = false;
};

/**
 * Follows the operator's topic: the configuration in force and the versions
 * that are named. Neither ever goes back in the life of the process.
 */
class ConfigFollower
{
public:
  /** How the topic is read. */
  struct Pace
  {
    /** One read waits that long for news. */
    utils::Millis wait;
    /** Between two reads without news, unless there is word of some. */
    utils::Millis interval;
    /**
     * Word of news does not make it read, and it reads only what is older
     * than the interval: other processes are asked first.
     */
    bool asksOthersFirst = false;
    /** Between two reads that fail, after several in a row. */
    utils::Millis longestPause;
  };

  ConfigFollower(platform::KeyedLog& aLog,
                 const platform::FleetCodecs& aCodecs,
                 const Pace& aPace);

  /** Starts to follow; the hook runs after each change. */
  void Start(net::Runtime& aRuntime, std::function<void()> aOnChange);

  /** Reads once; false where the log gave nothing. */
  bool Poll();

  /** Another process has read up to there: reads now if that is news. */
  void NoteEnd(std::uint64_t aEnd);

  /** How far the topic was read. */
  std::uint64_t GetEnd() const { return end_; }

  /** Null until one is known. */
  std::shared_ptr<const platform::FleetConfig> GetConfig() const
  {
    return config_;
  }
  /** The newest version; empty while none is named. */
  std::optional<NamedVersion> FindVersion(const std::string& aModel) const;
  /** The first version after aHeld; each has a time limit of its own. */
  std::optional<NamedVersion> FindNextVersion(const std::string& aModel,
                                              std::uint64_t aHeld) const;
  /** When the first version after aVersion was learnt of, while it is recent.
   */
  std::optional<utils::Millis> FindSuccessorTime(const std::string& aModel,
                                                 std::uint64_t aVersion) const;
  /** The newest version that was learnt aAge ago or before; 0: none. */
  std::uint64_t FindVersionOfAge(const std::string& aModel,
                                 utils::Millis aAge) const;

  /** On the clock of the times that it tells. */
  utils::Millis Now() const { return clock_.Now(); }

  /** Since the configuration was last proved the newest. */
  utils::Millis GetAge() const;

  /**
   * What Take of another process reads; empty while nothing is known. The
   * configuration's text, which may be long, is left out where not asked for.
   */
  std::optional<schema::OperatorRecord> MakeRecord(bool aWithText = true) const;

  /** Where the configuration in force stands in the topic. */
  std::uint64_t GetOffset() const { return offset_; }

  /**
   * Another process's record, aDelay after it was made; used where it is
   * newer or better proved.
   */
  void Take(const schema::OperatorRecord& aRecord, utils::Millis aDelay);

  /** Another process has read further than what is known here. */
  bool IsBehind() const { return endElsewhere_ > std::max(end_, takenEnd_); }

private:
  void Loop();
  void AwaitOthers();
  void AwaitNews();
  void PauseAfterFailure();
  void Apply(const platform::KeyedRecord& aRecord);
  void ApplyConfig(const std::string& aText, std::uint64_t aOffset);
  void ApplyVersion(const std::string& aModel, const std::string& aText);
  void AddVersion(const std::string& aModel, const NamedVersion& aNamed);
  void NoteLog(bool aAnswers, const utils::Error& aReason);

  platform::KeyedLog& log_;
  platform::FleetCodecs codecs_;
  Pace pace_;
  utils::Clock clock_ = utils::Clock::CountingSuspension();
  telemetry::Logger logger_{ "config" };
  std::function<void()> onChange_;
  std::shared_ptr<const platform::FleetConfig> config_;
  std::string text_;
  std::uint64_t offset_ = 0;
  /** By model, in ascending order. */
  std::map<std::string, std::vector<NamedVersion>> versions_;
  bool started_ = false;
  std::uint64_t end_ = 0;
  std::optional<utils::Millis> confirmedAt_;
  bool logAnswers_ = true;
  /** After reads that failed. */
  utils::Backoff backoff_;
  /** A read failed since the start. */
  bool sawFailure_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable newsKnown_;
  std::uint64_t endElsewhere_ = 0;
  /** How far the giver of the last record taken had read. */
  std::uint64_t takenEnd_ = 0;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_ConfigFollower_h
