#ifndef waxwingyoke_platform_RequestDialect_h
#define waxwingyoke_platform_RequestDialect_h

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <net/Http.h>
#include <net/HttpClient.h>
#include <utils/Time.h>

namespace waxwingyoke::platform {

/** The parameters that a caller's request carries. */
struct CallerRequest
{
  std::string attemptId;
  std::string host;
  std::string path;
  std::string apiKey;
  /** How long the caller waits; empty if not given. */
  std::optional<utils::Millis> callerTimeout;
  std::string model;
  /** The parts of the prompt, as the caller names them. */
  std::string promptParts;
  /** Ids of the parts that other requests may share: all but the last. */
  std::vector<std::string> sharedParts;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxAnswerTokens = 0;
  /** The caller's estimate; 0: none. */
  std::uint32_t likelyAnswerTokens = 0;
  /** The last event received of a stream to resume; empty: from the start. */
  std::string lastEventId;
};

/** Parameters that are added to a request to an upstream. */
struct SendOptions
{
  /** Id of the only upstream incarnation that may run the request. */
  std::string upstreamId;
  /** The only version of the weights that may serve it; 0: any. */
  std::uint64_t version = 0;
  utils::Millis timeLeft;
  std::string organisation;
  std::string lastEventId;
};

/** The head of an upstream's answer. */
struct UpstreamHead
{
  int status = 0;
  /** Guarantees that the request has not run and never will. */
  bool notRun = false;
  /** The upstream is another incarnation or holds another version. */
  bool misdirected = false;
  /** It carries a field that only an upstream sets. */
  bool stamped = false;
  /** The body is a stream of events. */
  bool isEventStream = false;
  /** The body was re-encoded after the upstream sent it. */
  bool encoded = false;
  /** Version of the weights that served the request; 0: not given. */
  std::uint64_t version = 0;
  /** The upstream exits soon and accepts no new work. */
  bool leaving = false;
  /** The upstream asks for no further requests for this long. */
  std::optional<utils::Millis> pause;
  /**
   * Requests a second that the upstream takes from all entries together, 0 or
   * more; empty if it names no limit that can be read.
   */
  std::optional<double> rateLimit;
  /** It names a limit, but none that can be read. */
  bool hasOddRateLimit = false;
};

/** Translates requests and answers between callers and upstreams; the port that
 * adapters implement. */
class RequestDialect
{
public:
  virtual ~RequestDialect() = default;

  virtual CallerRequest Read(const net::HttpRequest& aRequest) const = 0;

  /** The request to send. It borrows the body of aRequest. */
  virtual net::HttpRequest MakeUpstreamRequest(
    const net::HttpRequest& aRequest,
    const SendOptions& aOptions) const = 0;

  virtual UpstreamHead ReadHead(int aStatus,
                                const net::HttpFields& aFields) const = 0;

  /** Whether an answer with these fields belongs to the attempt. */
  virtual net::ResponseOwner FindOwner(const net::HttpFields& aFields,
                                       std::string_view aAttemptId) const = 0;

  /** The upstream's fields that are forwarded to the caller. */
  virtual net::HttpFields MakeCallerFields(
    const net::HttpFields& aFields) const = 0;

  /** An answer that the entry itself generates. */
  virtual net::HttpResponse MakeOwnAnswer(
    int aStatus,
    std::string_view aText,
    std::string_view aAttemptId,
    std::optional<utils::Millis> aRetryAfter) const = 0;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_RequestDialect_h
