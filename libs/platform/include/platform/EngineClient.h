#ifndef waxwingyoke_platform_EngineClient_h
#define waxwingyoke_platform_EngineClient_h

#include <optional>
#include <string>

#include <net/HttpClient.h>
#include <schema/platform.pb.h>
#include <utils/Error.h>

namespace waxwingyoke::platform {

/** Gives orders to the model engine beside this process. */
class EngineClient
{
public:
  EngineClient(net::HttpClient& aClient, net::Endpoint aEngine);

  /**
   * Orders a load and waits for it. Conflict: the fencing number is old.
   * An error with run "unknown" says nothing of the engine: ask GetState.
   */
  std::optional<schema::EngineState> Load(const schema::LoadOrder& aOrder,
                                          utils::Millis aTimeout,
                                          utils::Error& aReason);

  std::optional<schema::EngineState> Unload(const schema::UnloadOrder& aOrder,
                                            utils::Error& aReason);

  /** What the engine holds and runs now. */
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
