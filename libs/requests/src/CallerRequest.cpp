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
// Prompts that share their beginning share it in these bytes, and longer
// beginnings would part conversations that share a system prompt.
constexpr std::size_t kAffinityBytes = 512;

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

// The field's number within bounds; aPreset where it is not sent.
std::optional<std::int64_t>
ReadNumber(const net::HttpRequest& aRequest,
           const char* aField,
           std::int64_t aPreset,
           std::int64_t aMax,
           utils::Error& aReason)
{
  auto text = aRequest.fields.Find(aField);
  if (text.empty()) {
    return aPreset;
  }
  auto number = ParseNumber(text);
  if (!number || *number < 0 || *number > aMax) {
    aReason.Set(ErrorKind::BadRequest,
                std::string(aField) + " is not from 0 to " +
                  std::to_string(aMax));
    return std::nullopt;
  }
  return number;
}

// Fields that belong to one connection or are this system's own.
constexpr std::array<std::string_view, 14> kOwnFields{
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
    bool isOwn =
      std::ranges::any_of(kOwnFields, [&one](std::string_view aName) {
        return !one.Find(aName).empty();
      });
    if (!isOwn) {
      aOut.fields.Add(field.name, field.value);
    }
  }
}

bool
ReadCommon(const net::HttpRequest& aRequest,
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
  return utils::StableHash(aBody.substr(begin, kAffinityBytes));
}

// Ways to write a path that a rule's author did not think of.
bool
IsPlainPath(std::string_view aPath)
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
    aReason.Set(ErrorKind::BadRequest, "model is missing");
    return std::nullopt;
  }
  // The side names the request to the engine; see UpstreamRun.
  if (members.contains("request_id")) {
    aReason.Set(ErrorKind::BadRequest, "request_id is not the caller's to set");
    return std::nullopt;
  }
  CallerRequest request;
  request.isChat = true;
  request.path = "/v1/chat/completions";
  request.profile = model->second.string_value();
  request.affinity = HashPrefix(aRequest.body);
  if (!ReadCommon(aRequest, aDefaultTimeout, request, aReason)) {
    return std::nullopt;
  }
  return request;
}

std::optional<CallerRequest>
ReadServiceRequest(const net::HttpRequest& aRequest,
                   Millis aDefaultTimeout,
                   utils::Error& aReason)
{
  auto rest = std::string_view(aRequest.target).substr(kServicePrefix.size());
  auto slash = std::min(rest.find('/'), rest.size());
  CallerRequest request;
  request.profile = rest.substr(0, slash);
  request.path = slash == rest.size() ? "/" : std::string(rest.substr(slash));
  if (!ReadCommon(aRequest, aDefaultTimeout, request, aReason)) {
    return std::nullopt;
  }
  return request;
}

std::optional<RequestKey>
ReadKey(std::string_view aText, Millis aWallTime, utils::Error& aReason)
{
  auto issued = ParseNumber(aText.substr(0, aText.find('-')));
  if (!issued || aText.size() > kMaxKeyBytes) {
    aReason.Set(ErrorKind::BadRequest,
                "Idempotency-Key must begin with its time of issue in ms, "
                "then '-', at most 200 bytes in all");
    return std::nullopt;
  }
  if (Millis(*issued) < aWallTime - kKeyWindow ||
      Millis(*issued) > aWallTime + kKeySkew) {
    aReason.Set(ErrorKind::KeyExpired, "the key's time of issue is too far");
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
  return IsPlainPath(path) &&
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
