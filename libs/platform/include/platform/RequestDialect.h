#ifndef waxwingyoke_platform_RequestDialect_h
#define waxwingyoke_platform_RequestDialect_h

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <net/Http.h>
#include <utils/Time.h>

namespace waxwingyoke::platform {

/** What a caller's request says of itself. */
struct CallerRequest
{
  std::string attemptId;
  std::string host;
  std::string path;
  std::string apiKey;
  /** How long the caller waits; empty: it does not say. */
  std::optional<utils::Millis> patience;
  std::string model;
  /** Which parts the prompt has, as the caller names them. */
  std::string promptParts;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxAnswerTokens = 0;
  /** The caller's own estimate; 0: none. */
  std::uint32_t likelyAnswerTokens = 0;
  /** Empty: the stream is to begin at its beginning. */
  std::string lastEventId;
};

/** What a request is sent to an upstream with. */
struct SendTerms
{
  /** The id of the only incarnation that may run it. */
  std::string upstreamId;
  /** The only version of the weights that may run it; 0: any. */
  std::uint64_t version = 0;
  utils::Millis timeLeft;
  std::string organisation;
  std::string lastEventId;
};

/** The head of an upstream's answer. */
struct UpstreamHead
{
  int status = 0;
  /** Proof that the request has not run and never will. */
  bool notRun = false;
  /** It is another incarnation, or holds another version. */
  bool misdirected = false;
  /** It bears the mark of the upstream that made it. */
  bool stamped = false;
  /** The body is not as the upstream made it. */
  bool encoded = false;
  /** 0: not said. */
  std::uint64_t version = 0;
};

/** Translates requests and answers; the port that adapters implement. */
class RequestDialect
{
public:
  virtual ~RequestDialect() = default;

  virtual CallerRequest Read(const net::HttpRequest& aRequest) const = 0;

  virtual net::HttpRequest MakeUpstreamRequest(
    const net::HttpRequest& aRequest,
    const SendTerms& aTerms) const = 0;

  virtual UpstreamHead ReadHead(int aStatus,
                                const net::HttpFields& aFields) const = 0;

  /** Whether an answer with these fields is that to the attempt. */
  virtual bool IsAnswerTo(const net::HttpFields& aFields,
                          std::string_view aAttemptId) const = 0;

  /** The upstream's fields that go on to the caller. */
  virtual net::HttpFields MakeCallerFields(
    const net::HttpFields& aFields) const = 0;

  /** An answer of our own. */
  virtual net::HttpResponse MakeOwnAnswer(
    int aStatus,
    std::string_view aText,
    std::string_view aAttemptId,
    std::optional<utils::Millis> aRetryAfter) const = 0;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_RequestDialect_h
