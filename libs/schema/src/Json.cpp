#include <schema/Json.h>

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>
#include <schema/Nesting.h>

namespace waxwingyoke::schema {

namespace {

using google::protobuf::util::JsonParseOptions;
using google::protobuf::util::JsonPrintOptions;
using google::protobuf::util::JsonStringToMessage;
using google::protobuf::util::MessageToJsonString;

std::string
Print(const google::protobuf::Message& aMessage,
      const JsonPrintOptions& aOptions)
{
  std::string json;
  // This fails only for strings that are not UTF-8. Parsed proto3 messages
  // cannot contain them; any other such message is written as an empty object.
  if (!MessageToJsonString(aMessage, &json, aOptions).ok()) {
    return "{}";
  }
  return json;
}

bool
Parse(std::string_view aJson,
      const JsonParseOptions& aOptions,
      google::protobuf::Message& aMessage,
      utils::Error& aReason)
{
  if (!IsNestingBounded(std::string(aJson))) {
    aReason.Set(utils::ErrorKind::BadRequest, "nested too deeply, or no JSON");
    return false;
  }
  auto status = JsonStringToMessage(
    google::protobuf::StringPiece(aJson.data(), aJson.size()),
    &aMessage,
    aOptions);
  if (!status.ok()) {
    aReason.Set(utils::ErrorKind::BadRequest, status.ToString());
    return false;
  }
  return true;
}

} // namespace

std::string
ToJson(const google::protobuf::Message& aMessage)
{
  JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  return Print(aMessage, options);
}

std::string
ToPrettyJson(const google::protobuf::Message& aMessage)
{
  JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  options.add_whitespace = true;
  return Print(aMessage, options);
}

bool
FromJson(std::string_view aJson,
         google::protobuf::Message& aMessage,
         utils::Error& aReason)
{
  return Parse(aJson, JsonParseOptions(), aMessage, aReason);
}

bool
FromPeerJson(std::string_view aJson,
             google::protobuf::Message& aMessage,
             utils::Error& aReason)
{
  JsonParseOptions options;
  options.ignore_unknown_fields = true;
  return Parse(aJson, options, aMessage, aReason);
}

} // namespace waxwingyoke::schema
