#ifndef waxwingyoke_fleet_EventRelay_h
#define waxwingyoke_fleet_EventRelay_h

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingyoke::fleet {

/**
 * Splits a stream into complete events and tracks the id of the last one taken,
 * so that a stream that breaks can resume at another upstream without a gap or
 * a duplicate.
 */
class EventRelay
{
public:
  /** Adds bytes of the current upstream's response. */
  void Add(std::string_view aBytes) { pending_ += aBytes; }

  /**
   * Removes and returns the complete events, up to a foreign one; empty if
   * there are none.
   */
  std::string TakeEvents();

  /**
   * The number of events taken that carry data. Comments, which only keep a
   * connection alive, do not count.
   */
  std::uint64_t GetEventCount() const { return eventCount_; }

  /** Whether the buffered event is larger than any that is relayed. */
  bool IsEventTooLarge() const { return pending_.size() > kMaxEventBytes; }

  /** Whether a stream that ends here has been broken off within an event. */
  bool EndsInsideEvent() const;

  /** The number of buffered bytes, which complete no event yet. */
  std::size_t GetRemainderBytes() const { return pending_.size(); }

  /** Removes and returns the bytes that are left when a response ends. */
  std::string TakeRemainder();

  /**
   * Drops the buffered part of an event before another upstream resumes the
   * stream after the last complete one. From then on each event has to continue
   * the stream: it has an id after the last one, and consists of fields only.
   */
  void DiscardPartialEvent();

  /** Whether an event that does not continue the stream has stopped it. */
  bool HasForeignEvent() const { return hasForeignEvent_; }

  /** The id of the last event taken; empty before the first. */
  const std::string& GetLastEventId() const { return lastEventId_; }

private:
  // Bounds the memory that an upstream takes up with an event without end.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  bool IsDuplicate(std::string_view aEvent) const;
  bool Continues(std::string_view aEvent) const;

  std::string pending_;
  std::string lastEventId_;
  std::uint64_t eventCount_ = 0;
  bool isResumed_ = false;
  bool hasForeignEvent_ = false;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_EventRelay_h
