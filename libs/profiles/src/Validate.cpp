#include <profiles/Validate.h>

#include <algorithm>
#include <string_view>

#include <utils/Digest.h>

namespace waxwingyoke::profiles {

namespace {

using utils::Error;
using utils::ErrorKind;

constexpr std::size_t kMaxNameBytes = 128;
constexpr int kMaxListItems = 1024;

constexpr std::string_view kAllowedNameCharacters =
  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./:";

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         aText.find_first_not_of(kAllowedNameCharacters) ==
           std::string_view::npos;
}

bool
Refuse(Error& aReason, const std::string& aText)
{
  aReason.Set(ErrorKind::BadRequest, aText);
  return false;
}

template<typename List>
bool
AreNames(const List& aList)
{
  return aList.size() <= kMaxListItems && std::ranges::all_of(aList, IsName);
}

bool
ValidateModel(const schema::Profile& aProfile, Error& aReason)
{
  if (!utils::Digest::Parse(aProfile.version())) {
    return Refuse(aReason,
                  "version: must be a manifest's digest of 64 hex digits");
  }
  if (!aProfile.model().empty() && !IsName(aProfile.model())) {
    return Refuse(aReason, "model: invalid name");
  }
  return AreNames(aProfile.adapters()) ||
         Refuse(aReason, "adapters: too many or invalid names");
}

bool
ValidateRules(const schema::RequestRules& aRules, Error& aReason)
{
  if (aRules.idempotent_size() > kMaxListItems) {
    return Refuse(aReason, "requests.idempotent: too many rules");
  }
  bool isValid =
    std::ranges::all_of(aRules.idempotent(), [](const auto& aRule) {
      return !aRule.method().empty() && aRule.path_prefix().starts_with('/');
    });
  if (!isValid) {
    return Refuse(aReason,
                  "requests.idempotent: each rule needs a method and a "
                  "path_prefix that starts with /");
  }
  return AreNames(aRules.organisations()) ||
         Refuse(aReason, "requests.organisations: too many or invalid names");
}

bool
ValidateProfile(const schema::Profile& aProfile, Error& aReason)
{
  if (!IsName(aProfile.vms().group())) {
    return Refuse(aReason, "vms.group: missing or invalid name");
  }
  if (!AreNames(aProfile.vms().data_centres())) {
    return Refuse(aReason, "vms.data_centres: too many or invalid names");
  }
  if (!schema::ProfileKind_IsValid(aProfile.kind())) {
    return Refuse(aReason, "kind: unknown value");
  }
  if (aProfile.kind() == schema::MODEL && !ValidateModel(aProfile, aReason)) {
    return false;
  }
  return ValidateRules(aProfile.requests(), aReason);
}

} // namespace

bool
ValidateChange(const schema::ProfileChange& aChange, Error& aReason)
{
  if (!IsName(aChange.profile().name())) {
    return Refuse(aReason, "name: missing or invalid");
  }
  if (!schema::ChangeKind_IsValid(aChange.kind())) {
    return Refuse(aReason, "kind of change: unknown value");
  }
  if (aChange.ByteSizeLong() > kMaxChangeBytes / 2) {
    return Refuse(aReason, "the change is too large");
  }
  return aChange.kind() == schema::RETIRE ||
         ValidateProfile(aChange.profile(), aReason);
}

} // namespace waxwingyoke::profiles
