#include "Stand.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <set>

#include <signal.h>
#include <sys/wait.h>

// Some clients send requests with the method TRACE and a body; later a data
// centre is evacuated.

namespace waxwingyoke::review {

namespace {

constexpr int kChannels = 12;
constexpr int kOddRequests = 20;
constexpr int kEvacuations = 3;
constexpr std::int64_t kStartMs = 15000;
constexpr std::int64_t kPhaseMs = 2000;
constexpr int kMostLost = 3;

/** A request whose kept channel was closed without an answer. */
struct LostRequests
{
  std::mutex mutex;
  std::set<std::string> ids;
};

// Sends one request after the other on a kept channel.
void
RunClient(const std::string& aEntry,
          std::atomic<bool>& aStop,
          std::atomic<int>& aServed,
          LostRequests& aLost)
{
  Channel channel(aEntry, kFrontendPort);
  while (!aStop) {
    bool isKept = channel.IsOpen();
    auto id = MakeAttemptId();
    auto answer =
      channel.Call(MakeRequest("POST",
                               "/once/x",
                               id,
                               "order",
                               { { "Waxwingyoke-Deadline-Ms", "3000" } }),
                   Millis(4000));
    aServed += answer && answer->GetStatus() == 200 ? 1 : 0;
    if (!answer) {
      std::scoped_lock lock(aLost.mutex);
      if (isKept) {
        aLost.ids.insert(id);
      }
      Sleep(100);
    }
  }
}

void
SendOddRequest(Record& aRecord, const std::string& aEntry)
{
  auto id = MakeAttemptId();
  std::string method = HasTrouble() ? "TRACE" : "POST";
  Channel channel(aEntry, kFrontendPort);
  auto answer =
    channel.Call(MakeRequest(method,
                             "/once/x",
                             id,
                             "order",
                             { { "Waxwingyoke-Deadline-Ms", "3000" } }),
                 Millis(4000));
  aRecord.Write(method + " with a body, " + id + " -> " +
                (answer ? std::to_string(answer->GetStatus()) : "none"));
}

std::string
DescribeEnd(Daemon& aEntry)
{
  auto end = aEntry.FindEnd();
  if (!end) {
    return "the entry runs";
  }
  return WIFSIGNALED(*end)
           ? "the entry ended by signal " + std::to_string(WTERMSIG(*end))
           : "the entry ended with " + std::to_string(WEXITSTATUS(*end));
}

} // namespace

int
RunTraceBody(Record& aRecord)
{
  const std::string net = "127.73.0.";
  Folder folder;
  Store store;
  if (!store.Start(net + "9")) {
    return kNotRun;
  }
  std::deque<Runner> runners;
  for (int i = 0; i < 4; ++i) {
    Runner::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = "reg";
    options.address = net + std::to_string(10 + i);
    options.zone = i < 2 ? "z1" : "z2";
    options.workMs = 200;
    if (!runners.emplace_back(store, aRecord, options).Start()) {
      return kNotRun;
    }
  }
  store.Append(
    "keyed.op",
    "config",
    MakeConfig(1,
               { { "o", "/once/", "reg", "unsafe", 3000, 1000, 2, "" } },
               { MakePlainService("reg") }));
  Daemon entry(folder.GetPath(),
               Daemon::Options{ "fleet-entry",
                                "entry-1",
                                net + "1",
                                "z1",
                                net + "9",
                                { net + "1" },
                                "",
                                "" });
  if (!entry.Start() || !entry.AwaitReady(kStartMs)) {
    return kNotRun;
  }
  Sleep(kPhaseMs);
  std::atomic<bool> stop{ false };
  std::atomic<int> served{ 0 };
  LostRequests lost;
  std::vector<std::thread> clients;
  clients.reserve(kChannels);
  for (int i = 0; i < kChannels; ++i) {
    clients.emplace_back(
      [&] { RunClient(entry.GetAddress(), stop, served, lost); });
  }
  Sleep(kPhaseMs);
  std::vector<std::thread> oddClients;
  oddClients.reserve(kOddRequests);
  for (int i = 0; i < kOddRequests; ++i) {
    oddClients.emplace_back(
      [&] { SendOddRequest(aRecord, entry.GetAddress()); });
  }
  for (auto& client : oddClients) {
    client.join();
  }
  aRecord.Say("after the odd requests: " + DescribeEnd(entry));
  // The entry has settled after its start.
  Sleep(kPhaseMs);
  auto servedBefore = served.load();
  for (int i = 0; i < kEvacuations && !entry.FindEnd(); ++i) {
    aRecord.Write("data centre z2 is evacuated");
    store.Append("keyed.op", "evacuate/z2", "{\"Zone\":\"z2\"}");
    Sleep(kPhaseMs);
    aRecord.Write("the evacuation of z2 ends");
    store.Append("keyed.op", "evacuate/z2", "");
    Sleep(kPhaseMs);
  }
  aRecord.Say("after the evacuation: " + DescribeEnd(entry));
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  std::set<std::string> begun;
  for (const auto& runner : runners) {
    std::ranges::for_each(runner.GetRuns(),
                          [&](const auto& aId) { begun.insert(aId); });
  }
  auto count = std::ranges::count_if(
    lost.ids, [&](const auto& aId) { return begun.contains(aId); });
  aRecord.Say("served " + std::to_string(servedBefore) +
              " requests before the evacuation, " +
              std::to_string(served - servedBefore) +
              " since; kept channels closed without an answer after their "
              "request had reached a runner: " +
              std::to_string(count));
  return count > kMostLost ? kBroken : kHeld;
}

} // namespace waxwingyoke::review
