#ifndef waxwingyoke_fleet_DirectoryFollower_h
#define waxwingyoke_fleet_DirectoryFollower_h

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <dispatch/UpstreamBook.h>
#include <net/Runtime.h>
#include <platform/FleetCodecs.h>
#include <platform/KeyedLog.h>
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
                    dispatch::UpstreamBook& aBook);

  void Start(net::Runtime& aRuntime, std::function<void()> aOnChange);

  /** Reads once and applies what is due; false where the log is silent. */
  bool Poll();

private:
  void Loop();
  bool ReadAll();
  bool ReadNews();
  void Apply(const platform::KeyedRecord& aRecord);
  void Remove(const std::string& aId, bool aAtOnce);
  void RemoveOverdue();
  void NoteLog(bool aAnswers);

  platform::KeyedLog& log_;
  platform::FleetCodecs codecs_;
  dispatch::UpstreamBook& book_;
  utils::Clock clock_;
  telemetry::Logger logger_{ "directory" };
  std::function<void()> onChange_;
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
