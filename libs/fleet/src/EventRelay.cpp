#include "EventRelay.h"

#include <charconv>
#include <utility>

namespace waxwingyoke::fleet {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

std::string_view
TrimId(std::string_view aText)
{
  while (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && aText.back() == '\r') {
    aText.remove_suffix(1);
  }
  return aText;
}

// The value of the event's "id: VALUE" line; empty if it has none.
std::string_view
FindId(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  while (!aEvent.empty()) {
    auto lineEnd = aEvent.find('\n');
    auto line = aEvent.substr(0, lineEnd);
    if (line.starts_with(kField)) {
      return TrimId(line.substr(kField.size()));
    }
    if (lineEnd == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(lineEnd + 1);
  }
  return {};
}

// False for blank lines and comments, which begin with a colon.
bool
HasFields(std::string_view aEvent)
{
  bool atLineStart = true;
  for (char byte : aEvent) {
    if (atLineStart && byte != ':' && byte != '\n' && byte != '\r') {
      return true;
    }
    atLineStart = byte == '\n';
  }
  return false;
}

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t value = 0;
  auto* end = aText.data() + aText.size();
  auto result = std::from_chars(aText.data(), end, value);
  bool isComplete = result.ec == std::errc() && result.ptr == end;
  return isComplete ? std::optional(value) : std::nullopt;
}

} // namespace

// An upstream that resumes a stream may repeat events that were already taken.
// Stores the id of an event that is new.
bool
EventRelay::IsDuplicate(std::string_view aEvent)
{
  auto id = FindId(aEvent);
  if (id.empty()) {
    return false;
  }
  auto number = ParseNumber(id);
  auto last = ParseNumber(lastEventId_);
  if (number && last && *number <= *last) {
    return true;
  }
  lastEventId_ = id;
  return false;
}

std::string
EventRelay::TakeEvents()
{
  std::string events;
  std::size_t taken = 0;
  while (true) {
    auto end = pending_.find(kEventEnd, taken);
    if (end == std::string::npos) {
      break;
    }
    auto next = end + kEventEnd.size();
    std::string_view event(pending_.data() + taken, next - taken);
    if (!IsDuplicate(event)) {
      events += event;
      eventCount_ += HasFields(event) ? 1 : 0;
    }
    taken = next;
  }
  pending_.erase(0, taken);
  return events;
}

std::string
EventRelay::TakeRemainder()
{
  return std::exchange(pending_, {});
}

void
EventRelay::DiscardPartialEvent()
{
  pending_.clear();
}

} // namespace waxwingyoke::fleet
