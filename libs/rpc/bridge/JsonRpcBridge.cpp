#include "JsonRpcBridge.h"

#include <map>
#include <utility>

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <schema/Nesting.h>

namespace waxwingyoke {
namespace rpc {

namespace {

std::string
WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

bool
ReadJson(const std::string& aText, Json::Value& aValue)
{
  if (!schema::IsNestingBounded(aText)) {
    return false;
  }
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(
    aText.data(), aText.data() + aText.size(), &aValue, nullptr);
}

class Connector : public jsonrpc::IClientConnector
{
public:
  explicit Connector(const BridgeTransport& aTransport)
    : transport_(aTransport)
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    if (!transport_(aMessage, aResult)) {
      throw jsonrpc::JsonRpcException(kTransportFailed,
                                      "the transport received no response");
    }
    if (!schema::IsNestingBounded(aResult)) {
      throw jsonrpc::JsonRpcException(
        jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE,
        "the response is nested too deeply");
    }
  }

private:
  const BridgeTransport& transport_;
};

} // namespace

struct ServerBridge::Impl : public jsonrpc::IProcedureInvokationHandler
{
  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    auto method = methods.find(aProcedure.GetProcedureName());
    auto result = method->second(WriteJson(aInput));
    if (result.code != 0) {
      throw jsonrpc::JsonRpcException(result.code, result.text);
    }
    ReadJson(result.text, aOutput);
  }

  void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override
  {
  }

  std::map<std::string, Method> methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

ServerBridge::ServerBridge()
  : impl_(std::make_unique<Impl>())
{
  impl_->protocol.reset(jsonrpc::RequestHandlerFactory::createProtocolHandler(
    jsonrpc::JSONRPC_SERVER_V2, *impl_));
}

ServerBridge::~ServerBridge() = default;

void
ServerBridge::Add(const std::string& aName, Method aMethod)
{
  impl_->methods[aName] = std::move(aMethod);
  jsonrpc::Procedure procedure(
    aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL);
  impl_->protocol->AddProcedure(procedure);
}

std::string
ServerBridge::Process(const std::string& aRequest)
{
  std::string answer;
  // The library parses the text without a bound that fits a fiber's stack. An
  // empty text gets the same error as one that is not JSON.
  impl_->protocol->HandleRequest(
    schema::IsNestingBounded(aRequest) ? aRequest : std::string(), answer);
  return answer;
}

BridgeResult
CallMethod(const std::string& aName,
           const std::string& aParams,
           const BridgeTransport& aTransport)
{
  BridgeResult result;
  Json::Value params;
  Json::Value output;
  if (!ReadJson(aParams, params)) {
    result.code = jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
    result.text = "the params are not valid JSON";
    return result;
  }
  try {
    Connector connector(aTransport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallMethod(aName, params, output);
    result.text = WriteJson(output);
  } catch (const jsonrpc::JsonRpcException& error) {
    // 0 would count as a result.
    result.code = error.GetCode() != 0
                    ? error.GetCode()
                    : jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
    result.text = error.GetMessage();
  } catch (const Json::Exception& error) {
    result.code = jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR;
    result.text = error.what();
  }
  return result;
}

} // namespace rpc
} // namespace waxwingyoke
