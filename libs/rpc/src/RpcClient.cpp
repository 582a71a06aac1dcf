#include <rpc/RpcClient.h>

#include <utility>

#include <google/protobuf/message.h>
#include <net/Router.h>
#include <rpc/RpcServer.h>
#include <schema/Json.h>

#include "JsonRpcBridge.h"

namespace waxwingyoke::rpc {

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
  constexpr int kOk = 200;
  auto transport = [&](const std::string& aText, std::string& aAnswer) {
    net::HttpRequest request;
    request.method = "POST";
    request.target = kRpcPath;
    auto secret = net::MakeSecretField(secret_);
    request.fields.Set(secret.name, secret.value);
    request.body = aText;
    auto response = client_.Call(aPeer, request, aTimeouts, aReason);
    if (!response) {
      return false;
    }
    if (response->status != kOk) {
      aReason.Set(utils::ErrorKind::Unauthorized,
                  aPeer.ToString() + " answered " +
                    std::to_string(response->status));
      return false;
    }
    aAnswer = std::move(response->body);
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
