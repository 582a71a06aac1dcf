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

/**
 * Forwards the bytes of all links on a thread of its own. The control interface
 * sets faults and reads counters from another thread, under the mutex.
 */
class ProxyWorker
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
ProxyWorker::AddLink(const std::string& aText, std::uint64_t aSeed)
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
ProxyWorker::Run()
{
  // Another thread may change the faults during a poll, which does not
  // interrupt it: the poll is short so that they take effect soon.
  constexpr std::int64_t kMaxWaitMs = 5;
  std::vector<pollfd> polls;
  while (true) {
    auto wait = kMaxWaitMs;
    {
      std::scoped_lock lock(mutex_);
      auto now = clock_.Now();
      polls.clear();
      for (auto& link : links_) {
        auto next = link->Transfer(now);
        wait = std::clamp<std::int64_t>((next - now).value, 0, wait);
        link->AddPolls(polls, now);
      }
    }
    poll(polls.data(), polls.size(), static_cast<int>(wait));
  }
}

bool
ProxyWorker::SetFaults(const LinkFaults& aFaults)
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
ProxyWorker::GetCounters(const std::string& aListen)
{
  std::scoped_lock lock(mutex_);
  auto link = std::ranges::find_if(
    links_, [&](const auto& aLink) { return aLink->GetListen() == aListen; });
  return link == links_.end() ? LinkCounters() : (*link)->GetCounters();
}

void
AddRoutes(net::Router& aRouter, ProxyWorker& aWorker)
{
  aRouter.Add(
    "POST", "/links", [&aWorker](const auto& aRequest, auto& aWriter) {
      constexpr int kNotFound = 404;
      LinkFaults faults;
      if (!ReadMessage(aRequest, aWriter, faults)) {
        return;
      }
      if (!aWorker.SetFaults(faults)) {
        SendStatus(aWriter, kNotFound, "no such link");
        return;
      }
      SendMessage(aWriter, faults);
    });
  aRouter.Add(
    "GET", "/links/*", [&aWorker](const auto& aRequest, auto& aWriter) {
      SendMessage(aWriter, aWorker.GetCounters(GetPathPart(aRequest, 1)));
    });
}

} // namespace

int
RunProxy(const ProxyOptions& aOptions)
{
  ProxyWorker worker;
  auto seed = aOptions.seed;
  bool listening =
    std::ranges::all_of(aOptions.links, [&](const std::string& aLink) {
      return worker.AddLink(aLink, ++seed);
    });
  auto control = net::Endpoint::Parse(aOptions.control);
  if (!listening || !control) {
    return 2;
  }
  // Detached because ProxyWorker::Run never returns; the thread ends with the
  // process.
  std::thread([&worker] { worker.Run(); }).detach();
  net::Router router;
  AddRoutes(router, worker);
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
