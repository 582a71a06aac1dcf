#ifndef waxwingyoke_bed_Caller_h
#define waxwingyoke_bed_Caller_h

#include <string>

#include <fakes.pb.h>
#include <net/HttpClient.h>

namespace waxwingyoke::bed {

/** A chat request as a caller makes it. */
struct ChatCall
{
  std::string profile;
  std::string prompt;
  std::size_t tokens = 16;
  bool stream = true;
  /** Empty: none. */
  std::string idempotencyKey;
  std::string organisation = "brigade";
  utils::Millis deadline{ 20000 };
};

/** A call to a plain service. */
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

/** What a caller got. */
struct CallerAnswer
{
  /** 0 if no head came. */
  int status = 0;
  /** Of a whole answer, the text; else what came of it. */
  std::string text;
  /** The version that made it; "mixed" if there were several. */
  std::string version;
  /** Every part came, up to the end mark, and no error among them. */
  bool whole = false;
  /** The error's type and run as the answer gives them, if it does. */
  std::string errorType;
  std::string errorDetail;
  std::string run;
  /** Why nothing, or no end, came. */
  utils::Error reason;
};

/** Sends a chat request to an entry and reads the answer to its end. */
CallerAnswer
Chat(net::HttpClient& aClient,
     const net::Endpoint& aEntry,
     const ChatCall& aCall);

/** Sends a call to a plain service through an entry. */
CallerAnswer
CallService(net::HttpClient& aClient,
            const net::Endpoint& aEntry,
            const ServiceCall& aCall);

/** A fresh key in the form that entries ask for. */
std::string
MakeIdempotencyKey();

} // namespace waxwingyoke::bed

#endif // waxwingyoke_bed_Caller_h
