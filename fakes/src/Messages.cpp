#include "Messages.h"

#include <charconv>

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

#include <schema/Json.h>
#include <telemetry/Logger.h>

namespace waxwingyoke::fakes {

void
SendMessage(net::ResponseWriter& aWriter,
            const google::protobuf::Message& aMessage)
{
  aWriter.Send(net::MakeJsonResponse(200, schema::ToJson(aMessage)));
}

void
SendStatus(net::ResponseWriter& aWriter,
           int aStatus,
           const std::string& aReason)
{
  auto json = "{\"error\":" + telemetry::QuoteJson(aReason) + "}";
  aWriter.Send(net::MakeJsonResponse(aStatus, json));
}

bool
ReadMessage(const net::HttpRequest& aRequest,
            net::ResponseWriter& aWriter,
            google::protobuf::Message& aMessage)
{
  // Callers may send fields that the fakes' schema lacks, as OpenAI's clients
  // do.
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  auto status = google::protobuf::util::JsonStringToMessage(
    aRequest.body, &aMessage, options);
  if (!status.ok()) {
    constexpr int kBadRequest = 400;
    SendStatus(aWriter, kBadRequest, status.ToString());
  }
  return status.ok();
}

std::uint64_t
ReadQueryNumber(const net::HttpRequest& aRequest,
                std::string_view aName,
                std::uint64_t aDefault)
{
  auto text = net::FindQuery(aRequest.target, aName);
  auto value = aDefault;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string
GetPathPart(const net::HttpRequest& aRequest, std::size_t aIndex)
{
  auto path = net::GetPath(aRequest.target);
  for (std::size_t i = 0; i <= aIndex && !path.empty(); ++i) {
    path.remove_prefix(1);
    auto part = path.substr(0, path.find('/'));
    if (i == aIndex) {
      return std::string(part);
    }
    path.remove_prefix(part.size());
  }
  return {};
}

} // namespace waxwingyoke::fakes
