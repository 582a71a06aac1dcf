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

/** Header fields that callers may set; see docs/CALLERS.md. */
inline constexpr const char* kOrganisationField = "X-Organisation";
inline constexpr const char* kPriorityField = "X-Priority";
inline constexpr const char* kDeadlineField = "X-Deadline-Ms";
inline constexpr const char* kKeyField = "Idempotency-Key";

/** 0 is the most urgent. */
inline constexpr int kLowestPriority = 9;
inline constexpr int kDefaultPriority = 5;

/** An Idempotency-Key: "<issue time, ms since 1970>-<any text>". */
struct RequestKey
{
  std::string text;
  utils::Millis issued;
};

/** A caller's request, parsed and validated. */
struct CallerRequest
{
  std::string organisation;
  std::string profile;
  int priority = kDefaultPriority;
  /** How long the caller waits, from the arrival of the request. */
  utils::Millis timeout;
  std::optional<RequestKey> key;
  std::string method;
  /** Path and query as the upstream receives them. */
  std::string path;
  net::HttpFields fields;
  std::string body;
  bool isChat = false;
  /** Hash of the prompt's beginning, for routing; 0 if there is none. */
  std::uint64_t affinity = 0;
  /** Digest of method, path and body; identifies it in claims and strikes. */
  std::string digest;
  std::string traceparent;
};

/** Parses POST /v1/chat/completions. Empty with BadRequest or KeyExpired. */
std::optional<CallerRequest>
ReadChatRequest(const net::HttpRequest& aRequest,
                utils::Millis aDefaultTimeout,
                utils::Error& aReason);

/** Parses /services/PROFILE/path. Empty with BadRequest or KeyExpired. */
std::optional<CallerRequest>
ReadServiceRequest(const net::HttpRequest& aRequest,
                   utils::Millis aDefaultTimeout,
                   utils::Error& aReason);

/**
 * Parses an Idempotency-Key. Empty with BadRequest if it is malformed, with
 * KeyExpired if its issue time is outside the accepted window.
 */
std::optional<RequestKey>
ReadKey(std::string_view aText, utils::Millis aWallTime, utils::Error& aReason);

/** Whether a rule declares it idempotent; false for a non-canonical path. */
bool
IsIdempotent(const schema::RequestRules& aRules,
             const std::string& aMethod,
             const std::string& aPath);

/** Whether the rules allow the organisation; an empty list allows all. */
bool
IsAllowed(const schema::RequestRules& aRules, const std::string& aOrganisation);

/** Maximum age of a key; less than the log's retention time. */
inline constexpr utils::Millis kMaxKeyAge{ 15 * 60 * 1000 };

/** Maximum difference between the clocks of callers and entries. */
inline constexpr utils::Millis kMaxClockSkew{ 60 * 1000 };

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_CallerRequest_h
