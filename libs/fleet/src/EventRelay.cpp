#include "EventRelay.h"

#include <charconv>
#include <utility>

#include <net/EventStream.h>

namespace waxwingyoke::fleet {

namespace {

std::string_view
TrimId(std::string_view aText)
{
  while (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  return aText;
}

// The value of the event's "id: VALUE" line; empty if it has none.
std::string_view
FindId(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  while (auto line = net::TakeLine(aEvent)) {
    if (line->starts_with(kField)) {
      return TrimId(line->substr(kField.size()));
    }
  }
  return {};
}

// False for blank lines and comments, which begin with a colon.
bool
HasFields(std::string_view aEvent)
{
  while (auto line = net::TakeLine(aEvent)) {
    if (!line->empty() && line->front() != ':') {
      return true;
    }
  }
  return false;
}

// Whether each line is blank, a comment or a field with a value.
bool
HasOnlyFields(std::string_view aEvent)
{
  constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
  while (auto line = net::TakeLine(aEvent)) {
    auto nameEnd = line->find_first_not_of(kNameCharacters);
    bool isField = nameEnd != std::string_view::npos && (*line)[nameEnd] == ':';
    if (!line->empty() && !isField) {
      return false;
    }
  }
  return true;
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
bool
EventRelay::IsDuplicate(std::string_view aEvent) const
{
  auto number = ParseNumber(FindId(aEvent));
  auto last = ParseNumber(lastEventId_);
  return number && last && *number <= *last;
}

// The head of the response is sent by then, so an upstream's error text must be
// told from the stream's events by their content.
bool
EventRelay::Continues(std::string_view aEvent) const
{
  if (!HasOnlyFields(aEvent)) {
    return false;
  }
  auto id = FindId(aEvent);
  bool isComparable = ParseNumber(id) || !ParseNumber(lastEventId_);
  return !HasFields(aEvent) || (!id.empty() && isComparable);
}

std::string
EventRelay::TakeEvents()
{
  std::string events;
  std::string_view rest(pending_);
  auto size = net::FindEventEnd(rest);
  while (size != std::string_view::npos) {
    auto event = rest.substr(0, size);
    if (!IsDuplicate(event)) {
      if (isResumed_ && !Continues(event)) {
        hasForeignEvent_ = true;
        break;
      }
      auto id = FindId(event);
      lastEventId_ = id.empty() ? lastEventId_ : std::string(id);
      events += event;
      eventCount_ += HasFields(event) ? 1 : 0;
    }
    rest.remove_prefix(size);
    size = net::FindEventEnd(rest);
  }
  pending_.erase(0, pending_.size() - rest.size());
  return events;
}

bool
EventRelay::EndsInsideEvent() const
{
  return net::EndsInsideEvent(pending_);
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
  isResumed_ = true;
  hasForeignEvent_ = false;
}

} // namespace waxwingyoke::fleet
