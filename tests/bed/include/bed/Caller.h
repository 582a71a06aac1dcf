#ifndef waxwingyoke_bed_Caller_h
#define waxwingyoke_bed_Caller_h

#include <string>

#include <fakes.pb.h>
#include <net/HttpClient.h>

namespace waxwingyoke::bed {

/** A caller's chat completion request. */
struct ChatCall
{
  std::string profile;
  std::string prompt;
  std::size_t tokens = 16;
  bool stream = true;
  /** Empty: the field is not sent. */
  std::string idempotencyKey;
  std::string organisation = "brigade";
  utils::Millis deadline{ 20000 };
};

/** A caller's request to a service that is not a model engine. */
struct ServiceCall
{
  std::string profile;
  std::string method = "POST";
  std::string path = "/";
  std::string body;
  std::string idempotencyKey;
  std::string organisation = "brigade";
  utils::Millis deadline{ 20000 };
};

/** The result of a caller's request. */
struct CallerAnswer
{
  /** HTTP status; 0 if no response head was received. */
  int status = 0;
  /** The text of the answer, up to where it ended or broke off. */
  std::string text;
  /** The weights version that generated it; "mixed" if several did. */
  std::string version;
  /** The answer was received up to its end mark and contains no error. */
  bool complete = false;
  /** Fields of the error in the answer; empty if it contains none. */
  std::string errorType;
  std::string errorDetail;
  /** Whether the request was run: the error's field "run". */
  std::string run;
  /** Why there is no answer or no end of it; unset otherwise. */
  utils::Error reason;
};

/** Sends a chat request to an entry and reads the answer to its end.
 * Suspends the calling fiber. */
CallerAnswer
Chat(net::HttpClient& aClient,
     const net::Endpoint& aEntry,
     const ChatCall& aCall);

/** Calls a service through an entry. Suspends the calling fiber. */
CallerAnswer
CallService(net::HttpClient& aClient,
            const net::Endpoint& aEntry,
            const ServiceCall& aCall);

/** A unique key in the form that entries require: "MILLIS-ID". */
std::string
MakeIdempotencyKey();

} // namespace waxwingyoke::bed

#endif // waxwingyoke_bed_Caller_h
