#include "Fingerprints.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::requests {

namespace {

constexpr std::string_view kName = "\"system_fingerprint\"";
// The name, a colon, some blanks, two quotes and a digest in hex.
constexpr std::size_t kLongestField = 100;

} // namespace

Fingerprints::Fingerprints(std::string aVersion)
  : version_(std::move(aVersion))
{
}

bool
Fingerprints::Check(std::string_view aPart)
{
  std::string text = std::move(tail_);
  text += aPart;
  std::string_view rest = text;
  while (true) {
    auto place = rest.find(kName);
    if (place == std::string_view::npos) {
      // The name itself may be cut in two.
      auto keep = std::min(rest.size(), kName.size() - 1);
      tail_ = rest.substr(rest.size() - keep);
      return true;
    }
    auto value = rest.substr(place + kName.size());
    auto open = value.find('"');
    auto close =
      open == std::string_view::npos ? open : value.find('"', open + 1);
    if (close == std::string_view::npos) {
      tail_ = rest.substr(place);
      return tail_.size() <= kLongestField;
    }
    if (value.substr(open + 1, close - open - 1) != version_) {
      return false;
    }
    rest = value.substr(close + 1);
  }
}

} // namespace waxwingyoke::requests
