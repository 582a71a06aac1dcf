#ifndef waxwingyoke_schema_Json_h
#define waxwingyoke_schema_Json_h

#include <string>
#include <string_view>

#include <utils/Error.h>

namespace google::protobuf {
class Message;
}

namespace waxwingyoke::schema {

/** Formats a message as one line of JSON, with the schema's field names. */
std::string
ToJson(const google::protobuf::Message& aMessage);

/** As ToJson, but indented and including fields with default values. */
std::string
ToPrettyJson(const google::protobuf::Message& aMessage);

/**
 * Parses JSON into a message. An unknown field or a wrong type is an error
 * (BadRequest), which aReason describes.
 */
bool
FromJson(std::string_view aJson,
         google::protobuf::Message& aMessage,
         utils::Error& aReason);

/**
 * As FromJson, for messages from other processes of the deployment. These may
 * be of a newer release, so unknown fields are skipped.
 */
bool
FromPeerJson(std::string_view aJson,
             google::protobuf::Message& aMessage,
             utils::Error& aReason);

} // namespace waxwingyoke::schema

#endif // waxwingyoke_schema_Json_h
