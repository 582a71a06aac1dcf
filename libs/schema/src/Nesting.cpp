#include <schema/Nesting.h>

#include <cstddef>

namespace waxwingyoke::schema {

namespace {

// Returns the position after the string's closing quote, or the end.
std::size_t
SkipString(const std::string& aJson, std::size_t aAt)
{
  while (aAt < aJson.size() && aJson[aAt] != '"') {
    aAt += aJson[aAt] == '\\' ? 2 : 1;
  }
  return aAt + 1;
}

} // namespace

// A parser may go on after a wrong end, so each must match its begin.
bool
IsNestingBounded(const std::string& aJson)
{
  std::string ends;
  std::size_t at = 0;
  while (at < aJson.size()) {
    switch (char sign = aJson[at++]) {
      case '"':
        at = SkipString(aJson, at);
        break;
      case '[':
      case '{':
        ends.push_back(sign == '[' ? ']' : '}');
        break;
      case ']':
      case '}':
        if (ends.empty() || ends.back() != sign) {
          return false;
        }
        ends.pop_back();
        break;
      case '/':
      case '\'':
        return false;
      default:
        break;
    }
    if (ends.size() > kMaxNesting) {
      return false;
    }
  }
  return true;
}

} // namespace waxwingyoke::schema
