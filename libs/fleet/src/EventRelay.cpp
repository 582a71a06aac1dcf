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

// The value of the event's line "id: VALUE"; empty if it has none.
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

std::optional<std::int64_t>
ReadNumber(std::string_view aText)
{
  std::int64_t value = 0;
  auto* end = aText.data() + aText.size();
  auto result = std::from_chars(aText.data(), end, value);
  bool whole = result.ec == std::errc() && result.ptr == end;
  return whole ? std::optional(value) : std::nullopt;
}

} // namespace

// An upstream that goes on may send an event again that was taken.
bool
EventRelay::IsRepeat(std::string_view aEvent)
{
  auto id = FindId(aEvent);
  if (id.empty()) {
    return false;
  }
  auto number = ReadNumber(id);
  auto last = ReadNumber(lastId_);
  if (number && last && *number <= *last) {
    return true;
  }
  lastId_ = id;
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
    if (!IsRepeat(event)) {
      events += event;
    }
    taken = next;
  }
  pending_.erase(0, taken);
  return events;
}

std::string
EventRelay::TakeRest()
{
  return std::exchange(pending_, {});
}

void
EventRelay::BeginAnew()
{
  pending_.clear();
}

} // namespace waxwingyoke::fleet
