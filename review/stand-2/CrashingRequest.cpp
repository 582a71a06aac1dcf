#include "Stand.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <set>

#include <signal.h>

// A request crashes each runner that begins to run it and comes again; the
// machines are stopped and started in turn.

namespace waxwingyoke::review {

namespace {

constexpr int kRunners = 6;
constexpr int kChannels = 12;
constexpr int kRolls = 5;
constexpr std::int64_t kStartMs = 15000;
constexpr std::int64_t kStableMs = 3000;
constexpr std::int64_t kGraceMs = 8000;
constexpr std::int64_t kGapMs = 1000;
constexpr std::size_t kMostRetries = 3;
const std::string kCrashBody = "crash";

/** What the clients and runners of this case have seen. */
struct Seen
{
  /** Attempts of the crashing request and when they were sent. */
  std::vector<std::pair<std::string, std::int64_t>> attempts;
  std::mutex mutex;
  std::set<std::string> unserved;
  std::atomic<int> served{ 0 };
};

// Sound requests, one after the other on a kept channel.
void
RunClient(const std::string& aEntry, std::atomic<bool>& aStop, Seen& aSeen)
{
  Channel channel(aEntry, kFrontendPort);
  while (!aStop) {
    auto id = MakeAttemptId();
    auto answer =
      channel.Call(MakeRequest("POST",
                               "/once/x",
                               id,
                               "order " + id,
                               { { "Waxwingyoke-Deadline-Ms", "3000" } }),
                   Millis(4000));
    if (answer && answer->GetStatus() == 200) {
      ++aSeen.served;
    } else {
      std::scoped_lock lock(aSeen.mutex);
      aSeen.unserved.insert(id);
      Sleep(100);
    }
  }
}

int
SendCrashing(Record& aRecord, Daemon& aEntry, Seen& aSeen)
{
  auto id = MakeAttemptId();
  aSeen.attempts.emplace_back(id, Now());
  Channel channel(aEntry.GetAddress(), kFrontendPort);
  auto answer =
    channel.Call(MakeRequest("POST",
                             "/safe/x",
                             id,
                             kCrashBody,
                             { { "Waxwingyoke-Deadline-Ms", "3000" } }),
                 Millis(4000));
  auto status = answer ? answer->GetStatus() : 0;
  aRecord.Write("the crashing request, " + id + " to " + aEntry.GetName() +
                " -> " + std::to_string(status));
  return status;
}

// A client's attempt and its one retry, at the other entry.
void
Visit(Record& aRecord, std::deque<Daemon>& aEntries, Seen& aSeen)
{
  auto status = SendCrashing(aRecord, aEntries[0], aSeen);
  if (status == 503) {
    // As long as Retry-After says.
    Sleep(kGapMs);
  }
  if (status != 200) {
    SendCrashing(aRecord, aEntries[1], aSeen);
  }
}

bool
Roll(Record& aRecord, std::deque<Daemon>& aEntries)
{
  for (auto& entry : aEntries) {
    aRecord.Write(entry.GetName() + " gets SIGTERM");
    entry.Signal(SIGTERM);
    if (!entry.AwaitEnd(kGraceMs)) {
      entry.Kill();
    }
    if (!entry.Start() || !entry.AwaitReady(kStartMs)) {
      return false;
    }
    aRecord.Write(entry.GetName() + " is ready again");
    Sleep(kGapMs);
  }
  return true;
}

struct Verdict
{
  std::size_t crashes = 0;
  /** Retries that reached a runner later than StableMs after the third crash.
   */
  std::size_t retries = 0;
};

Verdict
Judge(const std::deque<Runner>& aRunners, const Seen& aSeen)
{
  Verdict verdict;
  std::int64_t thirdAt = -1;
  for (const auto& [id, sentAt] : aSeen.attempts) {
    std::ptrdiff_t runs = 0;
    for (const auto& runner : aRunners) {
      auto ids = runner.GetRuns();
      runs += std::ranges::count(ids, id);
    }
    bool isLater = thirdAt >= 0 && sentAt > thirdAt + kStableMs;
    verdict.retries += isLater && runs > 0 ? 1 : 0;
    verdict.crashes += static_cast<std::size_t>(runs);
    // The crash follows at once.
    if (thirdAt < 0 && verdict.crashes >= 3) {
      thirdAt = sentAt;
    }
  }
  return verdict;
}

} // namespace

int
RunCrashingRequest(Record& aRecord)
{
  const std::string net = "127.74.0.";
  Folder folder;
  Store store;
  if (!store.Start(net + "9")) {
    return kNotRun;
  }
  std::deque<Runner> runners;
  for (int i = 0; i < kRunners; ++i) {
    Runner::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = "reg";
    options.address = net + std::to_string(10 + i);
    options.workMs = 60;
    options.crashBody = kCrashBody;
    if (!runners.emplace_back(store, aRecord, options).Start()) {
      return kNotRun;
    }
  }
  store.Append(
    "keyed.op",
    "config",
    MakeConfig(1,
               { { "o", "/once/", "reg", "unsafe", 3000, 300, 2, "" },
                 { "s", "/safe/", "reg", "safe", 3000, 300, 2, "" } },
               { MakePlainService("reg") }));
  std::deque<Daemon> entries;
  bool isStarted = true;
  for (int i = 1; i <= 2; ++i) {
    auto& entry =
      entries.emplace_back(folder.GetPath(),
                           Daemon::Options{ "fleet-entry",
                                            "edge-" + std::to_string(i),
                                            net + std::to_string(i),
                                            "z1",
                                            net + "9",
                                            { net + "1", net + "2" },
                                            "",
                                            "" });
    isStarted = isStarted && entry.Start();
  }
  isStarted = isStarted && entries[0].AwaitReady(kStartMs) &&
              entries[1].AwaitReady(kStartMs);
  if (!isStarted) {
    return kNotRun;
  }
  Sleep(kStableMs + kGapMs);
  Seen seen;
  std::atomic<bool> stop{ false };
  std::vector<std::thread> clients;
  clients.reserve(kChannels);
  for (int i = 0; i < kChannels; ++i) {
    auto& entry = entries[static_cast<std::size_t>(i % 2)];
    clients.emplace_back(
      [&stop, &seen, &entry] { RunClient(entry.GetAddress(), stop, seen); });
  }
  Visit(aRecord, entries, seen);
  for (int roll = 0; isStarted && roll < kRolls; ++roll) {
    if (HasTrouble()) {
      isStarted = Roll(aRecord, entries);
    }
    // Then all machines are in touch, and all runners are back.
    Sleep(kStableMs + kGapMs);
    Visit(aRecord, entries, seen);
    if (Judge(runners, seen).retries > kMostRetries) {
      break;
    }
  }
  Sleep(kGapMs);
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  if (!isStarted) {
    return kNotRun;
  }
  std::set<std::string> begun;
  for (const auto& runner : runners) {
    std::ranges::for_each(runner.GetRuns(),
                          [&](const auto& aId) { begun.insert(aId); });
  }
  auto lost = std::ranges::count_if(
    seen.unserved, [&](const auto& aId) { return begun.contains(aId); });
  auto verdict = Judge(runners, seen);
  aRecord.Say("the request came " + std::to_string(seen.attempts.size()) +
              " times and crashed " + std::to_string(verdict.crashes) +
              " runners; retries that reached runners later than StableMs "
              "after the third crash: " +
              std::to_string(verdict.retries));
  aRecord.Say("sound requests: " + std::to_string(seen.served) + " served, " +
              std::to_string(lost) + " begun at a runner and not answered 200");
  return verdict.retries > kMostRetries ? kBroken : kHeld;
}

} // namespace waxwingyoke::review
