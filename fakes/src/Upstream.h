#ifndef waxwingyoke_fakes_Upstream_h
#define waxwingyoke_fakes_Upstream_h

#include <functional>
#include <memory>
#include <string>

#include <net/HttpServer.h>

#include "FaultInjector.h"

namespace waxwingyoke::fakes {

/**
 * The HTTP server of one fake engine or plain service. It can simulate a crash,
 * after which it restarts as a new incarnation. A request that a crash
 * interrupts stays unanswered.
 */
class Upstream
{
public:
  Upstream(net::Runtime& aRuntime,
           net::Endpoint aEndpoint,
           FaultInjector& aFaultInjector);

  net::Router& GetRouter() { return router_; }
  const std::string& GetIncarnation() const { return incarnation_; }
  std::string GetListen() const { return endpoint_.ToString(); }

  /** Sets the function that clears the fake's state at a simulated crash. */
  void OnRestart(std::function<void()> aHook);

  /** Starts listening; sets aReason and returns false if that fails. */
  bool Start(utils::Error& aReason);

  /** Simulates a crash if the body contains the crash marker; returns whether
   * it did. */
  bool CrashIfMarked(const std::string& aBody);

private:
  void Crash();

  net::Runtime& runtime_;
  net::Endpoint endpoint_;
  FaultInjector& faultInjector_;
  net::Router router_;
  std::string incarnation_;
  std::function<void()> restartHook_;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_Upstream_h
