#include "Proxy.h"

#include <algorithm>
#include <cstdio>
#include <mutex>
#include <thread>

#include <net/Router.h>
#include <net/Runtime.h>

#include "Messages.h"
#include "ProxyLink.h"

namespace waxwingyoke::fakes {

namespace {

/** Moves bytes on a thread of its own; the control path changes faults. */
class Relay
{
public:
  bool AddLink(const std::string& aText, std::uint64_t aSeed);
  void Run();

  bool SetFaults(const LinkFaults& aFaults);
  LinkCounters GetCounters(const std::string& aListen);

private:
  std::mutex mutex_;
  std::vector<std::unique_ptr<ProxyLink>> links_;
  utils::Clock clock_;
};

bool
Relay::AddLink(const std::string& aText, std::uint64_t aSeed)
{
  auto equals = aText.find('=');
  auto listen = net::Endpoint::Parse(aText.substr(0, equals));
  auto target = equals == std::string::npos
                  ? std::nullopt
                  : net::Endpoint::Parse(aText.substr(equals + 1));
  if (!listen || !target) {
    std::fprintf(stderr, "%s is not LISTEN=TARGET\n", aText.c_str());
    return false;
  }
  links_.push_back(std::make_unique<ProxyLink>(*listen, *target, aSeed));
  if (!links_.back()->Listen()) {
    std::fprintf(stderr, "cannot listen on %s\n", aText.c_str());
    return false;
  }
  return true;
}

void
Relay::Run()
{
  // Faults are lifted and set by another thread, so no wait is long.
  constexpr std::int64_t kMaxWaitMs = 5;
  std::vector<pollfd> polls;
  while (true) {
    auto wait = kMaxWaitMs;
    {
      std::scoped_lock lock(mutex_);
      auto now = clock_.Now();
      polls.clear();
      for (auto& link : links_) {
        auto next = link->Move(now);
        wait = std::clamp<std::int64_t>((next - now).value, 0, wait);
        link->AddPolls(polls, now);
      }
    }
    poll(polls.data(), polls.size(), static_cast<int>(wait));
  }
}

bool
Relay::SetFaults(const LinkFaults& aFaults)
{
  std::scoped_lock lock(mutex_);
  bool found = false;
  for (auto& link : links_) {
    if (aFaults.listen().empty() || aFaults.listen() == link->GetListen()) {
      link->SetFaults(aFaults);
      found = true;
    }
  }
  return found;
}

LinkCounters
Relay::GetCounters(const std::string& aListen)
{
  std::scoped_lock lock(mutex_);
  auto link = std::ranges::find_if(
    links_, [&](const auto& aLink) { return aLink->GetListen() == aListen; });
  return link == links_.end() ? LinkCounters() : (*link)->GetCounters();
}

void
AddRoutes(net::Router& aRouter, Relay& aRelay)
{
  aRouter.Add("POST", "/links", [&aRelay](const auto& aRequest, auto& aWriter) {
    constexpr int kNotFound = 404;
    LinkFaults faults;
    if (!ReadMessage(aRequest, aWriter, faults)) {
      return;
    }
    if (!aRelay.SetFaults(faults)) {
      SendStatus(aWriter, kNotFound, "no such link");
      return;
    }
    SendMessage(aWriter, faults);
  });
  aRouter.Add(
    "GET", "/links/*", [&aRelay](const auto& aRequest, auto& aWriter) {
      SendMessage(aWriter, aRelay.GetCounters(GetPathPart(aRequest, 1)));
    });
}

} // namespace

int
RunProxy(const ProxyOptions& aOptions)
{
  Relay relay;
  auto seed = aOptions.seed;
  bool listening =
    std::ranges::all_of(aOptions.links, [&](const std::string& aLink) {
      return relay.AddLink(aLink, ++seed);
    });
  auto control = net::Endpoint::Parse(aOptions.control);
  if (!listening || !control) {
    return 2;
  }
  // Ends with the process, as the relay has no end of its own.
  std::thread([&relay] { relay.Run(); }).detach();
  net::Router router;
  AddRoutes(router, relay);
  net::Runtime runtime(1);
  return runtime.Run([&] {
    utils::Error reason;
    auto server = net::HttpServer::Builder(runtime)
                    .SetEndpoint(*control)
                    .SetHandler([&](const auto& aRequest, auto& aWriter) {
                      router.Handle(aRequest, aWriter);
                    })
                    .Build(reason);
    if (!server) {
      std::fprintf(stderr, "%s\n", reason.detail.c_str());
      net::ExitProcess(1);
    }
    runtime.WaitForSignal();
    net::ExitProcess(0);
    return 0;
  });
}

} // namespace waxwingyoke::fakes
