#ifndef waxwingyoke_requests_CallerRequest_h
#define waxwingyoke_requests_CallerRequest_h

#include <cstdint>
#include <optional>
#include <string>

#include <net/Http.h>
#include <schema/log.pb.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/** Header fields that callers set; see docs/CALLERS.md. */
inline constexpr const char* kOrganisationField = "X-Organisation";
inline constexpr const char* kPriorityField = "X-Priority";
inline constexpr const char* kDeadlineField = "X-Deadline-Ms";
inline constexpr const char* kKeyField = "Idempotency-Key";

/** 0 is the most urgent. */
inline constexpr int kLowestPriority = 9;
inline constexpr int kDefaultPriority = 5;

/** An Idempotency-Key: "<time of issue, ms since 1970>-<any text>". */
struct RequestKey
{
  std::string text;
  utils::Millis issued;
};

/** What a caller asks for, read and checked. */
struct CallerRequest
{
  std::string organisation;
  std::string profile;
  int priority = kDefaultPriority;
  /** Time that the caller waits. */
  utils::Millis timeout;
  std::optional<RequestKey> key;
  std::string method;
  /** As the upstream gets it, with the query. */
  std::string path;
  net::HttpFields fields;
  std::string body;
  bool isChat = false;
  std::uint64_t affinity = 0;
  /** Of method, path and body; names the request in claims and strikes. */
  std::string digest;
  std::string traceparent;
};

/** Reads POST /v1/chat/completions. */
std::optional<CallerRequest>
ReadChatRequest(const net::HttpRequest& aRequest,
                utils::Millis aDefaultTimeout,
                utils::Error& aReason);

/** Reads /services/PROFILE/path. */
std::optional<CallerRequest>
ReadServiceRequest(const net::HttpRequest& aRequest,
                   utils::Millis aDefaultTimeout,
                   utils::Error& aReason);

/** Empty with KeyExpired or BadRequest for a key that can't be judged. */
std::optional<RequestKey>
ReadKey(std::string_view aText, utils::Millis aWallTime, utils::Error& aReason);

/** Whether the rules declare it idempotent; what is unclear is not. */
bool
IsIdempotent(const schema::RequestRules& aRules,
             const std::string& aMethod,
             const std::string& aPath);

/** Whether the rules let that organisation in. */
bool
IsAllowed(const schema::RequestRules& aRules, const std::string& aOrganisation);

/** Age that a key may have; less than the log keeps records. */
inline constexpr utils::Millis kKeyWindow{ 15 * 60 * 1000 };

/** By how much the clocks of callers and entries may differ. */
inline constexpr utils::Millis kKeySkew{ 60 * 1000 };

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_CallerRequest_h
