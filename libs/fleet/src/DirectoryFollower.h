#ifndef waxwingyoke_fleet_DirectoryFollower_h
#define waxwingyoke_fleet_DirectoryFollower_h

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <dispatch/UpstreamBook.h>
#include <net/Runtime.h>
#include <platform/FleetCodecs.h>
#include <platform/KeyedLog.h>
#include <schema/fleet.pb.h>
#include <telemetry/Logger.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/**
 * Keeps an UpstreamBook as the platform's directory says. Entries that
 * lapsed while the log was away stay until the upstreams had time to come
 * back.
 */
class DirectoryFollower
{
public:
  DirectoryFollower(platform::KeyedLog& aLog,
                    const platform::FleetCodecs& aCodecs,
                    dispatch::UpstreamBook& aBook,
                    utils::Clock aClock = utils::Clock::CountingSuspension());

  using NewsHook = std::function<void(const schema::DirectoryNews&)>;

  /** The hook runs with what a read brought, for other entries. */
  void OnNews(NewsHook aHook) { onNews_ = std::move(aHook); }

  void Start(net::Runtime& aRuntime, std::function<void()> aOnChange);

  /**
   * Reads once, waiting up to aWait for news, and applies what is due; false
   * where the log is silent.
   */
  bool Poll(utils::Millis aWait = {});

  /** What another entry read; this one need not read it then. */
  void TakeNews(const schema::DirectoryNews& aNews);

  /** This entry's place among those that read one after the other. */
  void SetTurn(std::size_t aTurn) { turn_ = aTurn; }

private:
  void Loop();
  utils::Millis GetNextTurn() const;
  bool ReadAll();
  bool ReadNews(utils::Millis aWait);
  void Tell(std::uint64_t aFrom,
            std::uint64_t aEnd,
            const std::vector<platform::KeyedRecord>& aChanges);
  bool Apply(const platform::KeyedRecord& aRecord);
  bool Remove(const std::string& aId, bool aAtOnce);
  void RemoveOverdue();
  void NoteLog(bool aAnswers);

  platform::KeyedLog& log_;
  platform::FleetCodecs codecs_;
  dispatch::UpstreamBook& book_;
  utils::Clock clock_;
  telemetry::Logger logger_{ "directory" };
  std::function<void()> onChange_;
  NewsHook onNews_;
  std::size_t turn_ = 0;
  /** When the log, or another entry's news of it, last told the newest. */
  std::optional<utils::Millis> confirmedAt_;
  /** Another entry has read the log since it stopped to answer here. */
  bool othersRead_ = false;
  /** News came that follow on others which did not. */
  bool missedNews_ = false;
  bool started_ = false;
  std::uint64_t end_ = 0;
  bool logAnswers_ = true;
  /** Until then a missing entry may be one that lapsed and comes back. */
  utils::Millis patientUntil_;
  /** Missing upstreams and when they are taken as gone. */
  std::map<std::string, utils::Millis> missing_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_DirectoryFollower_h
