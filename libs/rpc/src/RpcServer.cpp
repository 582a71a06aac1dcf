#include <rpc/RpcServer.h>

#include <utility>

#include <google/protobuf/message.h>
#include <schema/Json.h>

#include "BodyCheck.h"
#include "JsonRpcBridge.h"

namespace waxwingyoke::rpc {

struct RpcServer::Impl
{
  ServerBridge bridge;
};

RpcServer::RpcServer()
  : impl_(std::make_unique<Impl>())
{
}

RpcServer::~RpcServer() = default;

void
RpcServer::AddUntyped(const std::string& aName,
                      MessageFactory aMakeRequest,
                      MessageFactory aMakeReply,
                      Method aMethod)
{
  auto method = [makeRequest = std::move(aMakeRequest),
                 makeReply = std::move(aMakeReply),
                 call = std::move(aMethod)](const std::string& aParams) {
    auto request = makeRequest();
    auto reply = makeReply();
    utils::Error error;
    BridgeResult result;
    if (!schema::FromPeerJson(aParams, *request, error) ||
        !call(*request, *reply, error)) {
      result.code = utils::GetErrorTraits(error.kind).rpcCode;
      result.text = error.detail;
      return result;
    }
    result.text = schema::ToJson(*reply);
    return result;
  };
  impl_->bridge.Add(aName, method);
}

void
RpcServer::Handle(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter)
{
  constexpr int kOk = 200;
  if (!IsIntact(aRequest.fields, aRequest.body)) {
    CountDamaged();
    utils::Error error;
    error.Set(utils::ErrorKind::DigestMismatch, "the request arrived damaged");
    auto response = net::MakeErrorResponse(error);
    response.status = kDamagedStatus;
    aWriter.Send(response);
    return;
  }
  auto response =
    net::MakeJsonResponse(kOk, impl_->bridge.Process(aRequest.body));
  response.fields.Set(kCheckField, MakeCheck(response.body));
  aWriter.Send(response);
}

} // namespace waxwingyoke::rpc
