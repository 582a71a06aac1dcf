#include "FingerprintChecker.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::requests {

namespace {

constexpr std::string_view kFieldName = "\"system_fingerprint\"";
// Field name, colon, some blanks, two quotes and a digest in hex.
constexpr std::size_t kMaxFieldBytes = 100;

} // namespace

FingerprintChecker::FingerprintChecker(std::string aVersion)
  : version_(std::move(aVersion))
{
}

bool
FingerprintChecker::Check(std::string_view aPart)
{
  std::string text = std::move(tail_);
  text += aPart;
  std::string_view rest = text;
  while (true) {
    auto fieldStart = rest.find(kFieldName);
    if (fieldStart == std::string_view::npos) {
      // The field name may be split over two parts.
      auto keptBytes = std::min(rest.size(), kFieldName.size() - 1);
      tail_ = rest.substr(rest.size() - keptBytes);
      return true;
    }
    auto value = rest.substr(fieldStart + kFieldName.size());
    auto openQuote = value.find('"');
    auto closeQuote = openQuote == std::string_view::npos
                        ? openQuote
                        : value.find('"', openQuote + 1);
    if (closeQuote == std::string_view::npos) {
      tail_ = rest.substr(fieldStart);
      return tail_.size() <= kMaxFieldBytes;
    }
    if (value.substr(openQuote + 1, closeQuote - openQuote - 1) != version_) {
      return false;
    }
    rest = value.substr(closeQuote + 1);
  }
}

} // namespace waxwingyoke::requests
