#ifndef waxwingyoke_fakes_Messages_h
#define waxwingyoke_fakes_Messages_h

#include <net/HttpServer.h>
#include <utils/Error.h>

namespace google::protobuf {
class Message;
}

namespace waxwingyoke::fakes {

/** Answers 200 with the message as JSON. */
void
SendMessage(net::ResponseWriter& aWriter,
            const google::protobuf::Message& aMessage);

/** Answers with a status and a JSON object with the reason as "error". */
void
SendStatus(net::ResponseWriter& aWriter,
           int aStatus,
           const std::string& aReason);

/** Parses a JSON body, ignoring unknown fields; answers 400 and returns false
 * if it is malformed. */
bool
ReadMessage(const net::HttpRequest& aRequest,
            net::ResponseWriter& aWriter,
            google::protobuf::Message& aMessage);

/** Returns a number from the request target's query, or aDefault if the
 * parameter is missing. */
std::uint64_t
ReadQueryNumber(const net::HttpRequest& aRequest,
                std::string_view aName,
                std::uint64_t aDefault);

/** Returns the path segment at aIndex, counted from 0, as in "/0/1/2"; empty if
 * there is none. */
std::string
GetPathPart(const net::HttpRequest& aRequest, std::size_t aIndex);

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_Messages_h
