#ifndef waxwingyoke_fakes_Messages_h
#define waxwingyoke_fakes_Messages_h

#include <net/HttpServer.h>
#include <utils/Error.h>

namespace google::protobuf {
class Message;
}

namespace waxwingyoke::fakes {

/** Answers 200 with a message as JSON. */
void
SendMessage(net::ResponseWriter& aWriter,
            const google::protobuf::Message& aMessage);

/** Answers with a status and a plain reason. */
void
SendStatus(net::ResponseWriter& aWriter,
           int aStatus,
           const std::string& aReason);

/** Reads a body; answers 400 and returns false if it can't be read. */
bool
ReadMessage(const net::HttpRequest& aRequest,
            net::ResponseWriter& aWriter,
            google::protobuf::Message& aMessage);

/** A number of the target's query; aDefault where there is none. */
std::uint64_t
ReadQueryNumber(const net::HttpRequest& aRequest,
                std::string_view aName,
                std::uint64_t aDefault);

/** The part of a path at aIndex, counted from 0: "/0/1/2". */
std::string
GetPathPart(const net::HttpRequest& aRequest, std::size_t aIndex);

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_Messages_h
