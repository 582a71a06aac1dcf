#include "CallerRequest.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <google/protobuf/struct.pb.h>

#include <schema/Json.h>
#include <utils/Digest.h>
#include <utils/Hash.h>

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr std::string_view kServicePrefix = "/services/";
constexpr Millis kMaxTimeout(3600 * 1000);
constexpr std::size_t kMaxKeyBytes = 200;
// Length of the prompt prefix that is hashed for affinity. Prompts with a
// common beginning agree in these bytes; a longer prefix would separate
// conversations that share a system prompt.
constexpr std::size_t kAffinityPrefixBytes = 512;

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// Returns the field's value, from 0 to aMax, or aDefault if it is not sent.
std::optional<std::int64_t>
ReadNumber(const net::HttpRequest& aRequest,
           const char* aField,
           std::int64_t aDefault,
           std::int64_t aMax,
           utils::Error& aReason)
{
  auto text = aRequest.fields.Find(aField);
  if (text.empty()) {
    return aDefault;
  }
  auto number = ParseNumber(text);
  if (!number || *number < 0 || *number > aMax) {
    aReason.Set(ErrorKind::BadRequest,
                std::string(aField) + " must be an integer from 0 to " +
                  std::to_string(aMax));
    return std::nullopt;
  }
  return number;
}

// Fields that are not forwarded: hop-by-hop fields, and fields that only this
// system uses.
constexpr std::array<std::string_view, 14> kStrippedFields{
  "Host",         "Connection",       "Keep-Alive",
  "TE",           "Trailer",          "Transfer-Encoding",
  "Upgrade",      "Content-Length",   "Expect",
  "traceparent",  "Proxy-Connection", "Proxy-Authorization",
  kDeadlineField, kPriorityField
};

void
CopyFields(const net::HttpRequest& aRequest, CallerRequest& aOut)
{
  for (const auto& field : aRequest.fields) {
    net::HttpFields one{ field };
    bool isStripped =
      std::ranges::any_of(kStrippedFields, [&one](std::string_view aName) {
        return !one.Find(aName).empty();
      });
    if (!isStripped) {
      aOut.fields.Add(field.name, field.value);
    }
  }
}

bool
ReadCommonFields(const net::HttpRequest& aRequest,
                 Millis aDefaultTimeout,
                 CallerRequest& aOut,
                 utils::Error& aReason)
{
  auto priority = ReadNumber(
    aRequest, kPriorityField, kDefaultPriority, kLowestPriority, aReason);
  auto timeout = ReadNumber(aRequest,
                            kDeadlineField,
                            aDefaultTimeout.value,
                            kMaxTimeout.value,
                            aReason);
  if (!priority || !timeout) {
    return false;
  }
  aOut.priority = static_cast<int>(*priority);
  aOut.timeout = Millis(*timeout);
  aOut.organisation = aRequest.fields.Find(kOrganisationField);
  aOut.method = aRequest.method;
  aOut.body = aRequest.body;
  aOut.traceparent = aRequest.fields.Find("traceparent");
  CopyFields(aRequest, aOut);
  auto key = aRequest.fields.Find(kKeyField);
  if (!key.empty()) {
    aOut.key = ReadKey(key, utils::GetWallTime(), aReason);
    if (!aOut.key) {
      return false;
    }
  }
  aOut.digest =
    utils::Digest::Of(aOut.method + "\n" + aOut.path + "\n" + aOut.body)
      .ToHex();
  return true;
}

std::uint64_t
HashPrefix(std::string_view aBody)
{
  auto messages = aBody.find("\"messages\"");
  auto begin = messages == std::string_view::npos ? 0 : messages;
  return utils::StableHash(aBody.substr(begin, kAffinityPrefixBytes));
}

// Rejects path spellings that an upstream may resolve to another path than the
// one that a rule's prefix matched.
bool
IsCanonicalPath(std::string_view aPath)
{
  return aPath.find("..") == std::string_view::npos &&
         aPath.find("//") == std::string_view::npos &&
         aPath.find('%') == std::string_view::npos &&
         aPath.find("/./") == std::string_view::npos;
}

bool
HasPrefix(std::string_view aPath, std::string_view aPrefix)
{
  if (!aPath.starts_with(aPrefix)) {
    return false;
  }
  return aPath.size() == aPrefix.size() || aPrefix.ends_with('/') ||
         aPath[aPrefix.size()] == '/';
}

} // namespace

std::optional<CallerRequest>
ReadChatRequest(const net::HttpRequest& aRequest,
                Millis aDefaultTimeout,
                utils::Error& aReason)
{
  google::protobuf::Struct body;
  if (!schema::FromJson(aRequest.body, body, aReason)) {
    return std::nullopt;
  }
  const auto& members = body.fields();
  auto model = members.find("model");
  if (model == members.end() || model->second.string_value().empty()) {
    aReason.Set(ErrorKind::BadRequest, "model must be a non-empty string");
    return std::nullopt;
  }
  // The side sets the engine's request_id; see UpstreamClient.
  if (members.contains("request_id")) {
    aReason.Set(ErrorKind::BadRequest,
                "request_id must not be set by the caller");
    return std::nullopt;
  }
  CallerRequest request;
  request.isChat = true;
  request.path = "/v1/chat/completions";
  request.profile = model->second.string_value();
  request.affinity = HashPrefix(aRequest.body);
  if (!ReadCommonFields(aRequest, aDefaultTimeout, request, aReason)) {
    return std::nullopt;
  }
  return request;
}

std::optional<CallerRequest>
ReadServiceRequest(const net::HttpRequest& aRequest,
                   Millis aDefaultTimeout,
                   utils::Error& aReason)
{
  auto afterPrefix =
    std::string_view(aRequest.target).substr(kServicePrefix.size());
  auto slash = std::min(afterPrefix.find('/'), afterPrefix.size());
  CallerRequest request;
  request.profile = afterPrefix.substr(0, slash);
  request.path =
    slash == afterPrefix.size() ? "/" : std::string(afterPrefix.substr(slash));
  if (!ReadCommonFields(aRequest, aDefaultTimeout, request, aReason)) {
    return std::nullopt;
  }
  return request;
}

std::optional<RequestKey>
ReadKey(std::string_view aText, Millis aWallTime, utils::Error& aReason)
{
  auto issued = ParseNumber(aText.substr(0, aText.find('-')));
  if (!issued || aText.size() > kMaxKeyBytes) {
    aReason.Set(
      ErrorKind::BadRequest,
      "Idempotency-Key must start with its issue time in ms since 1970, "
      "followed by '-', and have at most 200 bytes");
    return std::nullopt;
  }
  if (Millis(*issued) < aWallTime - kMaxKeyAge ||
      Millis(*issued) > aWallTime + kMaxClockSkew) {
    aReason.Set(ErrorKind::KeyExpired,
                "the key's issue time is outside the accepted window");
    return std::nullopt;
  }
  return RequestKey{ std::string(aText), Millis(*issued) };
}

bool
IsIdempotent(const schema::RequestRules& aRules,
             const std::string& aMethod,
             const std::string& aPath)
{
  auto path = net::GetPath(aPath);
  return IsCanonicalPath(path) &&
         std::ranges::any_of(aRules.idempotent(),
                             [&](const schema::IdempotentRule& aRule) {
                               return aRule.method() == aMethod &&
                                      HasPrefix(path, aRule.path_prefix());
                             });
}

bool
IsAllowed(const schema::RequestRules& aRules, const std::string& aOrganisation)
{
  const auto& allowed = aRules.organisations();
  return allowed.empty() ||
         std::ranges::find(allowed, aOrganisation) != allowed.end();
}

} // namespace waxwingyoke::requests
