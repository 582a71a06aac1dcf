#ifndef waxwingyoke_fleet_EventRelay_h
#define waxwingyoke_fleet_EventRelay_h

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingyoke::fleet {

/**
 * Cuts a stream of events into whole ones and knows the last that was taken,
 * so that a stream which breaks can go on elsewhere without a gap or a
 * repeat.
 */
class EventRelay
{
public:
  /** Adds bytes of the current upstream's answer. */
  void Add(std::string_view aBytes) { pending_ += aBytes; }

  /** Whole events that are not yet taken; empty if there are none. */
  std::string TakeEvents();

  /** Bytes of an event that is not whole. */
  bool HasRest() const { return !pending_.empty(); }

  /** What is left at the end of a complete answer. */
  std::string TakeRest();

  /** Another upstream goes on after the last whole event. */
  void BeginAnew();

  /** The id of the last event taken; empty before the first. */
  const std::string& GetLastId() const { return lastId_; }

private:
  bool IsRepeat(std::string_view aEvent);

  std::string pending_;
  std::string lastId_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_EventRelay_h
