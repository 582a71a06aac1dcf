#ifndef waxwingyoke_fakes_Upstream_h
#define waxwingyoke_fakes_Upstream_h

#include <functional>
#include <memory>
#include <string>

#include <net/HttpServer.h>

#include "FaultGate.h"

namespace waxwingyoke::fakes {

/**
 * The life of one engine or plain service behind its listening point: it can
 * crash and come back as a new incarnation. What a handler does for a
 * request ends, unfinished, with the incarnation that it began in.
 */
class Upstream
{
public:
  Upstream(net::Runtime& aRuntime, net::Endpoint aEndpoint, FaultGate& aGate);

  net::Router& GetRouter() { return router_; }
  const std::string& GetIncarnation() const { return incarnation_; }
  std::string GetListen() const { return endpoint_.ToString(); }

  /** Called when it comes back, to forget everything. */
  void OnRestart(std::function<void()> aHook);

  /** Starts to listen. */
  bool Start(utils::Error& aReason);

  /** Crashes if the body holds the marker; true if it did. */
  bool MaybeCrash(const std::string& aBody);

private:
  void Crash();

  net::Runtime& runtime_;
  net::Endpoint endpoint_;
  FaultGate& gate_;
  net::Router router_;
  std::string incarnation_;
  std::function<void()> restartHook_;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_Upstream_h
