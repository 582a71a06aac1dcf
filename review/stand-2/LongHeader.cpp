#include "Stand.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <set>

#include <sys/wait.h>

// One client sends a request with a long list of prompt parts, shorter
// than the configured limit of a header.

namespace waxwingyoke::review {

namespace {

constexpr int kChannels = 12;
constexpr int kMaxHeaderBytes = 131072;
// A field's value of 65,534 bytes or more is the disruption.
constexpr std::size_t kLongListBytes = 66000;
constexpr std::size_t kListBytes = 60000;
constexpr std::int64_t kStartMs = 15000;
constexpr std::int64_t kPhaseMs = 4000;
constexpr int kMostLost = 3;

struct Seen
{
  std::mutex mutex;
  /** Requests whose kept channel was closed without an answer. */
  std::set<std::string> lost;
  std::atomic<int> served{ 0 };
};

// Sends one request after the other on a kept channel.
void
RunClient(const std::string& aEntry, std::atomic<bool>& aStop, Seen& aSeen)
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
    aSeen.served += answer && answer->GetStatus() == 200 ? 1 : 0;
    if (!answer) {
      std::scoped_lock lock(aSeen.mutex);
      if (isKept) {
        aSeen.lost.insert(id);
      }
      Sleep(100);
    }
  }
}

std::string
MakeParts(std::size_t aBytes)
{
  std::string list = "5c1e07a2:800";
  while (list.size() < aBytes) {
    list += ",91bd3f06:10";
  }
  return list;
}

} // namespace

int
RunLongHeader(Record& aRecord)
{
  const std::string net = "127.74.0.";
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
               { MakePlainService("reg") },
               kMaxHeaderBytes));
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
  std::atomic<bool> stop{ false };
  Seen seen;
  std::vector<std::thread> clients;
  clients.reserve(kChannels);
  for (int i = 0; i < kChannels; ++i) {
    clients.emplace_back([&] { RunClient(entry.GetAddress(), stop, seen); });
  }
  // The entry has settled after its start.
  Sleep(kPhaseMs);
  auto servedBefore = seen.served.load();
  auto id = MakeAttemptId();
  auto parts = MakeParts(HasTrouble() ? kLongListBytes : kListBytes);
  Channel channel(entry.GetAddress(), kFrontendPort);
  auto answer =
    channel.Call(MakeRequest("POST",
                             "/once/x",
                             id,
                             "order",
                             { { "Waxwingyoke-Deadline-Ms", "3000" },
                               { "Waxwingyoke-Prompt-Prefix", parts } }),
                 Millis(4000));
  aRecord.Say("a request with " + std::to_string(parts.size()) +
              " bytes of prompt parts, " + id + " -> " +
              (answer ? std::to_string(answer->GetStatus()) : "none"));
  Sleep(kPhaseMs);
  auto end = entry.FindEnd();
  aRecord.Say(!end ? "the entry runs"
              : WIFSIGNALED(*end)
                ? "the entry ended by signal " + std::to_string(WTERMSIG(*end))
                : "the entry ended by itself");
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
    seen.lost, [&](const auto& aId) { return begun.contains(aId); });
  aRecord.Say("served " + std::to_string(servedBefore) +
              " requests before it, " +
              std::to_string(seen.served - servedBefore) +
              " since; kept channels closed without an answer after their "
              "request had reached a runner: " +
              std::to_string(count));
  return count > kMostLost ? kBroken : kHeld;
}

} // namespace waxwingyoke::review
