#include <bed/Caller.h>

#include <google/protobuf/util/json_util.h>

#include <telemetry/Logger.h>
#include <utils/Hash.h>

namespace waxwingyoke::bed {

namespace {

constexpr int kOk = 200;
// Callers wait this much longer than the deadline that they send, so that
// the entry's own timeout answer still reaches them.
constexpr utils::Millis kGracePeriod(5000);
constexpr std::string_view kEventStart = "data: ";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";

bool
ParseLenient(std::string_view aJson, fakes::ChatAnswer& aAnswer)
{
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(
           std::string(aJson), &aAnswer, options)
    .ok();
}

void
RecordVersion(const std::string& aVersion, CallerAnswer& aAnswer)
{
  if (aVersion.empty() || aVersion == aAnswer.version) {
    return;
  }
  aAnswer.version = aAnswer.version.empty() ? aVersion : "mixed";
}

void
RecordError(const fakes::ChatAnswer& aMessage, CallerAnswer& aAnswer)
{
  if (aMessage.has_error()) {
    aAnswer.errorType = aMessage.error().type();
    aAnswer.errorDetail = aMessage.error().message();
    aAnswer.run = aMessage.error().run();
  }
}

// Adds one server-sent event to the answer; true for the end mark.
bool
ApplyEvent(std::string_view aEvent, CallerAnswer& aAnswer)
{
  auto start = aEvent.find(kEventStart);
  if (start == std::string_view::npos) {
    return false;
  }
  auto data = aEvent.substr(start + kEventStart.size());
  if (data == kDone) {
    return true;
  }
  fakes::ChatAnswer message;
  if (!ParseLenient(data, message)) {
    aAnswer.errorType = "unreadable event";
    return false;
  }
  RecordError(message, aAnswer);
  RecordVersion(message.system_fingerprint(), aAnswer);
  for (const auto& choice : message.choices()) {
    aAnswer.text += choice.delta().content();
  }
  return false;
}

void
ReadEvents(net::ResponseStream& aStream,
           utils::Millis aTimeout,
           CallerAnswer& aAnswer)
{
  std::string buffer;
  std::string part;
  bool done = false;
  while (true) {
    auto result = aStream.Read(part, aTimeout, aAnswer.reason);
    if (result != net::ReadResult::Data) {
      aAnswer.complete =
        done && result == net::ReadResult::End && aAnswer.errorType.empty();
      return;
    }
    buffer += part;
    for (auto end = buffer.find(kEventEnd); end != std::string::npos;
         end = buffer.find(kEventEnd)) {
      done =
        ApplyEvent(std::string_view(buffer).substr(0, end), aAnswer) || done;
      buffer.erase(0, end + kEventEnd.size());
    }
  }
}

bool
ReadBody(net::ResponseStream& aStream,
         utils::Millis aTimeout,
         std::string& aBody,
         utils::Error& aReason)
{
  std::string part;
  while (true) {
    switch (aStream.Read(part, aTimeout, aReason)) {
      case net::ReadResult::Data:
        aBody += part;
        break;
      case net::ReadResult::End:
        return true;
      case net::ReadResult::Nothing:
      case net::ReadResult::Failed:
        return false;
    }
  }
}

template<typename Call>
net::HttpRequest
MakeRequest(const Call& aCall, std::string aMethod, std::string aTarget)
{
  net::HttpRequest request;
  request.method = std::move(aMethod);
  request.target = std::move(aTarget);
  request.fields.Set("X-Organisation", aCall.organisation);
  request.fields.Set("X-Deadline-Ms", std::to_string(aCall.deadline.value));
  if (!aCall.idempotencyKey.empty()) {
    request.fields.Set("Idempotency-Key", aCall.idempotencyKey);
  }
  return request;
}

std::unique_ptr<net::ResponseStream>
Open(net::HttpClient& aClient,
     const net::Endpoint& aEntry,
     const net::HttpRequest& aRequest,
     utils::Millis aDeadline,
     CallerAnswer& aAnswer)
{
  net::CallTimeouts timeouts;
  timeouts.head = aDeadline + kGracePeriod;
  auto stream = aClient.Open(aEntry, aRequest, timeouts, aAnswer.reason);
  if (stream) {
    aAnswer.status = stream->GetStatus();
  }
  return stream;
}

// Refusals and other errors have a complete JSON body with the error type.
void
ApplyErrorBody(const std::string& aBody, CallerAnswer& aAnswer)
{
  fakes::ChatAnswer message;
  if (ParseLenient(aBody, message)) {
    RecordError(message, aAnswer);
  }
  aAnswer.text = aBody;
}

} // namespace

CallerAnswer
Chat(net::HttpClient& aClient,
     const net::Endpoint& aEntry,
     const ChatCall& aCall)
{
  auto request = MakeRequest(aCall, "POST", "/v1/chat/completions");
  request.fields.Set("Content-Type", "application/json");
  request.body = "{\"model\":" + telemetry::QuoteJson(aCall.profile) +
                 ",\"stream\":" + (aCall.stream ? "true" : "false") +
                 ",\"max_tokens\":" + std::to_string(aCall.tokens) +
                 ",\"messages\":[{\"role\":\"user\",\"content\":" +
                 telemetry::QuoteJson(aCall.prompt) + "}]}";
  CallerAnswer answer;
  auto stream = Open(aClient, aEntry, request, aCall.deadline, answer);
  if (!stream) {
    return answer;
  }
  auto timeout = aCall.deadline + kGracePeriod;
  if (answer.status == kOk && aCall.stream) {
    ReadEvents(*stream, timeout, answer);
    return answer;
  }
  std::string body;
  bool ended = ReadBody(*stream, timeout, body, answer.reason);
  fakes::ChatAnswer message;
  if (answer.status != kOk || !ParseLenient(body, message)) {
    ApplyErrorBody(body, answer);
    return answer;
  }
  RecordError(message, answer);
  RecordVersion(message.system_fingerprint(), answer);
  for (const auto& choice : message.choices()) {
    answer.text += choice.message().content();
  }
  answer.complete = ended && answer.errorType.empty();
  return answer;
}

CallerAnswer
CallService(net::HttpClient& aClient,
            const net::Endpoint& aEntry,
            const ServiceCall& aCall)
{
  auto request =
    MakeRequest(aCall, aCall.method, "/services/" + aCall.profile + aCall.path);
  request.body = aCall.body;
  CallerAnswer answer;
  auto stream = Open(aClient, aEntry, request, aCall.deadline, answer);
  if (!stream) {
    return answer;
  }
  std::string body;
  bool ended =
    ReadBody(*stream, aCall.deadline + kGracePeriod, body, answer.reason);
  if (answer.status != kOk) {
    ApplyErrorBody(body, answer);
    return answer;
  }
  answer.text = std::move(body);
  answer.complete = ended;
  return answer;
}

std::string
MakeIdempotencyKey()
{
  return std::to_string(utils::GetWallTime().value) + "-" +
         utils::MakeUniqueId();
}

} // namespace waxwingyoke::bed
