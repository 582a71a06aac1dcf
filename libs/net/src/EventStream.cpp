#include <net/EventStream.h>

namespace waxwingyoke::net {

namespace {

constexpr std::string_view kLineEnds = "\r\n";

struct Line
{
  std::string_view text;
  /** With the line's end. */
  std::size_t size;
};

// The first line of aBytes; empty if its end has not arrived. A CR at the end
// of aBytes may be the first half of a CRLF, so it ends the line only if
// nothing more will arrive.
std::optional<Line>
FindLine(std::string_view aBytes, bool aIsAtEnd)
{
  auto end = aBytes.find_first_of(kLineEnds);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  bool isCr = aBytes[end] == '\r';
  if (isCr && end + 1 == aBytes.size() && !aIsAtEnd) {
    return std::nullopt;
  }
  bool isCrLf = isCr && end + 1 < aBytes.size() && aBytes[end + 1] == '\n';
  return Line{ aBytes.substr(0, end), end + (isCrLf ? 2 : 1) };
}

bool
IsComment(std::string_view aLine)
{
  return aLine.starts_with(':');
}

} // namespace

std::optional<std::string_view>
TakeLine(std::string_view& aBytes)
{
  auto line = FindLine(aBytes, true);
  if (!line) {
    return std::nullopt;
  }
  aBytes.remove_prefix(line->size);
  return line->text;
}

std::size_t
FindEventEnd(std::string_view aBytes)
{
  std::size_t position = 0;
  while (auto line = FindLine(aBytes.substr(position), false)) {
    position += line->size;
    if (line->text.empty()) {
      return position;
    }
  }
  return std::string_view::npos;
}

bool
EndsInsideEvent(std::string_view aRemainder)
{
  bool inside = false;
  while (auto line = TakeLine(aRemainder)) {
    inside = !line->empty() && (inside || !IsComment(*line));
  }
  return inside || !aRemainder.empty();
}

} // namespace waxwingyoke::net
