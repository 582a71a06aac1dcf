#ifndef waxwingyoke_schema_Json_h
#define waxwingyoke_schema_Json_h

#include <string>
#include <string_view>

#include <utils/Error.h>

namespace google::protobuf {
class Message;
}

namespace waxwingyoke::schema {

/** A message as one line of JSON, with the schema's own field names. */
std::string
ToJson(const google::protobuf::Message& aMessage);

/** The same on several lines, with the fields that have default values. */
std::string
ToPrettyJson(const google::protobuf::Message& aMessage);

/**
 * Reads JSON into a message. An unknown field or a wrong type is an error
 * (BadRequest) with the place in aReason.
 */
bool
FromJson(std::string_view aJson,
         google::protobuf::Message& aMessage,
         utils::Error& aReason);

/**
 * The same for a message of another process of ours, which may be of a newer
 * release: fields that this one does not know are skipped.
 */
bool
FromPeerJson(std::string_view aJson,
             google::protobuf::Message& aMessage,
             utils::Error& aReason);

} // namespace waxwingyoke::schema

#endif // waxwingyoke_schema_Json_h
