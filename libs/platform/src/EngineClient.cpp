#include <platform/EngineClient.h>

#include <utility>

#include <schema/Json.h>

namespace waxwingyoke::platform {

namespace {

using utils::ErrorKind;

net::HttpRequest
MakeOrder(std::string aTarget, const google::protobuf::Message& aOrder)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = std::move(aTarget);
  request.body = schema::ToJson(aOrder);
  return request;
}

} // namespace

EngineClient::EngineClient(net::HttpClient& aClient, net::Endpoint aEngine)
  : client_(aClient)
  , engine_(std::move(aEngine))
{
}

std::optional<schema::EngineState>
EngineClient::Exchange(const net::HttpRequest& aRequest,
                       const net::CallTimeouts& aTimeouts,
                       utils::Error& aReason)
{
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  net::CallOptions options;
  bool isHeadBroken = false;
  options.isHeadBroken = &isHeadBroken;
  auto response = client_.Call(engine_, aRequest, aTimeouts, aReason, options);
  if (!response) {
    if (isHeadBroken) {
      aReason.kind = ErrorKind::UpstreamFailed;
    }
    return std::nullopt;
  }
  if (response->status != kOk) {
    aReason.Set(response->status == kConflict ? ErrorKind::Conflict
                                              : ErrorKind::UpstreamFailed,
                "the engine answered " + std::to_string(response->status) +
                  ": " + response->body);
    return std::nullopt;
  }
  schema::EngineState state;
  if (!schema::FromJson(response->body, state, aReason)) {
    aReason.kind = ErrorKind::UpstreamFailed;
    return std::nullopt;
  }
  return state;
}

std::optional<schema::EngineState>
EngineClient::Load(const schema::LoadOrder& aOrder,
                   utils::Millis aTimeout,
                   utils::Error& aReason)
{
  net::CallTimeouts timeouts;
  timeouts.head = aTimeout;
  return Exchange(MakeOrder("/admin/load", aOrder), timeouts, aReason);
}

std::optional<schema::EngineState>
EngineClient::Unload(const schema::UnloadOrder& aOrder, utils::Error& aReason)
{
  return Exchange(MakeOrder("/admin/unload", aOrder), {}, aReason);
}

std::optional<schema::EngineState>
EngineClient::GetState(utils::Error& aReason)
{
  net::HttpRequest request;
  request.target = "/admin/state";
  return Exchange(request, {}, aReason);
}

} // namespace waxwingyoke::platform
