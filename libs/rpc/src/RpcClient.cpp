#include <rpc/RpcClient.h>

#include <optional>
#include <utility>

#include <google/protobuf/message.h>
#include <net/Router.h>
#include <rpc/RpcServer.h>
#include <schema/Json.h>

#include "BodyCheck.h"
#include "JsonRpcBridge.h"

namespace waxwingyoke::rpc {

namespace {

// A snapshot of the configuration, as JSON, is the largest reply.
constexpr std::size_t kMaxReplyBytes = 16 << 20;

/** The reply's body; unset with aReason if there is none to use. */
std::optional<std::string>
ReadReply(const net::Endpoint& aPeer,
          net::HttpResponse& aResponse,
          utils::Error& aReason)
{
  constexpr int kOk = 200;
  if (aResponse.status == kDamagedStatus) {
    aReason.Set(utils::ErrorKind::DigestMismatch,
                aPeer.ToString() + " received a damaged request");
    return std::nullopt;
  }
  if (aResponse.status != kOk) {
    aReason.Set(utils::ErrorKind::Unauthorized,
                aPeer.ToString() + " answered " +
                  std::to_string(aResponse.status));
    return std::nullopt;
  }
  // The method has run, so a damaged reply is as good as a lost one.
  if (!IsIntact(aResponse.fields, aResponse.body)) {
    CountDamaged();
    aReason.Set(utils::ErrorKind::ConnectionLost,
                aPeer.ToString() + " sent a reply that arrived damaged");
    return std::nullopt;
  }
  return std::move(aResponse.body);
}

} // namespace

RpcClient::RpcClient(net::HttpClient& aClient, std::string aSecret)
  : client_(aClient)
  , secret_(std::move(aSecret))
{
}

bool
RpcClient::Call(const net::Endpoint& aPeer,
                const std::string& aMethod,
                const google::protobuf::Message& aRequest,
                google::protobuf::Message& aReply,
                const net::CallTimeouts& aTimeouts,
                utils::Error& aReason) const
{
  auto transport = [&](const std::string& aText, std::string& aAnswer) {
    net::HttpRequest request;
    request.method = "POST";
    request.target = kRpcPath;
    auto secret = net::MakeSecretField(secret_);
    request.fields.Set(secret.name, secret.value);
    request.fields.Set(kCheckField, MakeCheck(aText));
    request.body = aText;
    net::CallOptions options;
    options.maxBodyBytes = kMaxReplyBytes;
    auto response = client_.Call(aPeer, request, aTimeouts, aReason, options);
    if (!response) {
      return false;
    }
    auto body = ReadReply(aPeer, *response, aReason);
    if (!body) {
      return false;
    }
    aAnswer = std::move(*body);
    return true;
  };
  auto result = CallMethod(aMethod, schema::ToJson(aRequest), transport);
  if (result.code == kTransportFailed) {
    return false;
  }
  if (result.code != 0) {
    auto kind = utils::FindErrorKindByRpcCode(result.code);
    aReason.Set(kind.value_or(utils::ErrorKind::Internal), result.text);
    return false;
  }
  return schema::FromPeerJson(result.text, aReply, aReason);
}

} // namespace waxwingyoke::rpc
