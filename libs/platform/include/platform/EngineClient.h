#ifndef waxwingyoke_platform_EngineClient_h
#define waxwingyoke_platform_EngineClient_h

#include <optional>
#include <string>

#include <net/HttpClient.h>
#include <schema/platform.pb.h>
#include <utils/Error.h>

namespace waxwingyoke::platform {

/** Sends load and unload orders to the model engine on this VM. */
class EngineClient
{
public:
  EngineClient(net::HttpClient& aClient, net::Endpoint aEngine);

  /**
   * Orders a load and waits for its end. Conflict: the engine refused the order
   * because its fencing number is outdated. After an error whose run trait is
   * "unknown", the load may have happened: call GetState.
   */
  std::optional<schema::EngineState> Load(const schema::LoadOrder& aOrder,
                                          utils::Millis aTimeout,
                                          utils::Error& aReason);

  std::optional<schema::EngineState> Unload(const schema::UnloadOrder& aOrder,
                                            utils::Error& aReason);

  /** The engine's current state. */
  std::optional<schema::EngineState> GetState(utils::Error& aReason);

private:
  std::optional<schema::EngineState> Exchange(
    const net::HttpRequest& aRequest,
    const net::CallTimeouts& aTimeouts,
    utils::Error& aReason);

  net::HttpClient& client_;
  net::Endpoint engine_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_EngineClient_h
