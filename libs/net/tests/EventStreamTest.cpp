#include <doctest/doctest.h>

#include <initializer_list>
#include <string>
#include <vector>

#include <net/EventStream.h>

using namespace waxwingyoke::net;

namespace {

// The lines, each with the line end aEnd; an empty line completes an event.
std::string
JoinLines(std::initializer_list<const char*> aLines, const std::string& aEnd)
{
  std::string text;
  for (const auto* line : aLines) {
    text += line;
    text += aEnd;
  }
  return text;
}

// The events that a reader finds which gets the stream in two parts.
std::vector<std::string>
SplitEvents(const std::string& aStream, std::size_t aFirstBytes)
{
  std::vector<std::string> events;
  std::string pending;
  for (const auto& part :
       { aStream.substr(0, aFirstBytes), aStream.substr(aFirstBytes) }) {
    pending += part;
    auto size = FindEventEnd(pending);
    while (size != std::string::npos) {
      events.push_back(pending.substr(0, size));
      pending.erase(0, size);
      size = FindEventEnd(pending);
    }
  }
  if (!pending.empty()) {
    events.push_back(pending);
  }
  return events;
}

} // namespace

TEST_CASE("events are split at blank lines, wherever the stream is split")
{
  for (const std::string end : { "\n", "\r\n", "\r" }) {
    CAPTURE(end.size());
    auto first = JoinLines({ "id: 1", "data: a", "" }, end);
    auto second = JoinLines({ ": comment", "data: b", "" }, end);
    auto stream = first + second;
    for (std::size_t at = 0; at <= stream.size(); ++at) {
      CAPTURE(at);
      CHECK(SplitEvents(stream, at) == std::vector{ first, second });
    }
  }
}

// Guards against a stream that broke off and is taken for complete: each prefix
// of a stream but those that end between two events.
TEST_CASE("a stream that is cut anywhere but after an event ends inside one")
{
  for (const std::string end : { "\n", "\r\n", "\r" }) {
    CAPTURE(end.size());
    auto event = JoinLines({ "id: 1", "data: a", "" }, end);
    for (std::size_t bytes = 1; bytes < event.size(); ++bytes) {
      CAPTURE(bytes);
      // The blank line's LF is missing, which changes nothing.
      bool isWhole = end == "\r\n" && bytes + 1 == event.size();
      CHECK(EndsInsideEvent(event.substr(0, bytes)) == !isWhole);
    }
    CHECK_FALSE(EndsInsideEvent(""));
    CHECK_FALSE(EndsInsideEvent(event));
    CHECK_FALSE(EndsInsideEvent(end));
    CHECK_FALSE(EndsInsideEvent(JoinLines({ ": comment" }, end)));
    CHECK_FALSE(EndsInsideEvent(
      JoinLines({ "id: 1", "data: a", "", "", ": comment" }, end)));
    CHECK(EndsInsideEvent(": comm"));
    CHECK(EndsInsideEvent(JoinLines({ ": comment", "data: a" }, end)));
  }
}

TEST_CASE("lines are taken with any of the three line ends")
{
  std::string_view rest = "a\nb\r\nc\r\rd";
  std::vector<std::string> lines;
  while (auto line = TakeLine(rest)) {
    lines.emplace_back(*line);
  }
  CHECK(lines == std::vector<std::string>{ "a", "b", "c", "" });
  CHECK(rest == "d");
}
