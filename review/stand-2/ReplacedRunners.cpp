#include "Stand.h"

#include <algorithm>
#include <atomic>
#include <deque>

#include <unistd.h>

// The runners of a plain service are replaced one group after the other, each
// group by one at new addresses, while clients use their kept channels.

namespace waxwingyoke::review {

namespace {

constexpr int kGroups = 4;
constexpr int kGroupRunners = 6;
constexpr int kClients = 400;
constexpr std::int64_t kGapMs = 1000;
constexpr std::int64_t kDrainMs = 2300;
constexpr std::int64_t kReleaseMs = 70000;
constexpr std::int64_t kStableMs = 3000;
constexpr std::int64_t kStartMs = 15000;
constexpr int kNewClients = 8;

struct Counts
{
  std::atomic<int> served{ 0 };
  std::atomic<int> refused{ 0 };
  std::atomic<int> other{ 0 };
};

std::optional<Message>
Request(Channel& aChannel, std::int64_t aWaitMs)
{
  return aChannel.Call(MakeRequest("POST",
                                   "/once/x",
                                   MakeAttemptId(),
                                   "order",
                                   { { "Waxwingyoke-Deadline-Ms", "3000" } }),
                       Millis(aWaitMs));
}

// Sends one request after the other on a kept channel.
void
RunClient(const std::string& aEntry, std::atomic<bool>& aStop, Counts& aCounts)
{
  constexpr std::int64_t kWaitMs = 4000;
  constexpr std::int64_t kPauseMs = 300;
  Channel channel(aEntry, kFrontendPort);
  while (!aStop) {
    auto answer = Request(channel, kWaitMs);
    auto status = answer ? answer->GetStatus() : 0;
    auto& count = status == 200   ? aCounts.served
                  : status == 503 ? aCounts.refused
                                  : aCounts.other;
    ++count;
    if (status != 200) {
      Sleep(kPauseMs);
    }
  }
}

/** The runners of the service, in groups that are replaced in turn. */
class Service
{
public:
  Service(Store& aStore, Record& aRecord)
    : store_(aStore)
    , record_(aRecord)
  {
  }

  bool AddGroup()
  {
    ++group_;
    auto& group = groups_.emplace_back();
    for (int i = 0; i < kGroupRunners; ++i) {
      Runner::Options options;
      options.id = "i-" + std::to_string(group_) + "-" + std::to_string(i);
      options.service = "reg";
      options.address =
        "127.72." + std::to_string(group_) + "." + std::to_string(10 + i);
      options.workMs = 200;
      auto runner = std::make_unique<Runner>(store_, quiet_, options);
      if (!runner->Start()) {
        return false;
      }
      group.push_back(std::move(runner));
    }
    record_.Write("group " + std::to_string(group_) + " is ready");
    return true;
  }

  // The oldest group drains and leaves after DrainMs and a little longer.
  void RetireGroup()
  {
    auto group = std::move(groups_.front());
    groups_.pop_front();
    std::ranges::for_each(group, [](auto& aRunner) { aRunner->Drain(); });
    leaving_.emplace_back([runners = std::move(group)]() mutable {
      Sleep(kDrainMs);
      runners.clear();
    });
  }

  int GetReplaced() const { return (group_ - kGroups) * kGroupRunners; }

  ~Service()
  {
    for (auto& thread : leaving_) {
      thread.join();
    }
  }

private:
  Store& store_;
  Record& record_;
  // Each run is recorded by its client only as a count: there are many.
  Record quiet_{ "/dev/null" };
  int group_ = 0;
  std::deque<std::vector<std::unique_ptr<Runner>>> groups_;
  std::vector<std::thread> leaving_;
};

/** Checks readiness on a persistent connection, as the load balancer does. */
struct Readiness
{
  Channel channel;
  int asked = 0;
  int ready = 0;

  void Ask()
  {
    ++asked;
    auto answer =
      channel.Call("GET /waxwingyoke/ready HTTP/1.1\r\nHost: platform\r\n\r\n",
                   Millis(1000));
    ready += answer && answer->GetStatus() == 200 ? 1 : 0;
  }
};

// Whether no client gets an answer on a new connection for twice kStableMs,
// although the entry says that it is ready.
bool
IsDeafToNewChannels(Record& aRecord,
                    const std::string& aEntry,
                    Readiness& aReadiness)
{
  constexpr std::int64_t kWindowMs = 2 * kStableMs;
  std::atomic<int> tries{ 0 };
  std::atomic<int> answers{ 0 };
  auto until = Now() + kWindowMs;
  std::vector<std::thread> clients;
  clients.reserve(kNewClients);
  for (int i = 0; i < kNewClients; ++i) {
    clients.emplace_back([&] {
      while (Now() < until) {
        Channel channel(aEntry, kFrontendPort);
        ++tries;
        answers += Request(channel, 1000) ? 1 : 0;
        Sleep(kGapMs / 10);
      }
    });
  }
  auto asked = aReadiness.asked;
  auto ready = aReadiness.ready;
  while (Now() < until) {
    aReadiness.Ask();
    Sleep(kGapMs);
  }
  for (auto& client : clients) {
    client.join();
  }
  asked = aReadiness.asked - asked;
  ready = aReadiness.ready - ready;
  aRecord.Say(std::to_string(kNewClients) + " clients tried " +
              std::to_string(tries) + " new channels in " +
              std::to_string(kWindowMs) + " ms: " + std::to_string(answers) +
              " answers; ready said " + std::to_string(ready) + " of " +
              std::to_string(asked) + " times");
  return answers == 0 && ready == asked;
}

} // namespace

int
RunReplacedRunners(Record& aRecord)
{
  const std::string net = "127.72.0.";
  Folder folder;
  Store store;
  if (!store.Start(net + "9")) {
    return kNotRun;
  }
  Service service(store, aRecord);
  for (int i = 0; i < kGroups; ++i) {
    if (!service.AddGroup()) {
      return kNotRun;
    }
  }
  store.Append(
    "keyed.op",
    "config",
    MakeConfig(1,
               { { "o", "/once/", "reg", "unsafe", 3000, 300, 2, "" } },
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
  Sleep(kGapMs);
  Readiness readiness{ Channel(net + "1", kReadinessPort) };
  std::atomic<bool> stop{ false };
  Counts counts;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] { RunClient(entry.GetAddress(), stop, counts); });
  }
  bool isRunning = true;
  for (auto until = Now() + kReleaseMs; Now() < until && isRunning;) {
    if (HasTrouble()) {
      isRunning = service.AddGroup();
      service.RetireGroup();
    }
    Sleep(kGapMs);
    readiness.Ask();
    aRecord.Write("replaced " + std::to_string(service.GetReplaced()) +
                  " runners; served " + std::to_string(counts.served) +
                  ", refused " + std::to_string(counts.refused) + ", other " +
                  std::to_string(counts.other) + "; descriptors of the entry " +
                  std::to_string(entry.CountDescriptors()));
    isRunning = isRunning && !entry.FindEnd();
    // Nothing is left to wait for.
    if (counts.refused + counts.other > 4 * kClients) {
      break;
    }
  }
  aRecord.Say("replaced " + std::to_string(service.GetReplaced()) +
              " runners; the entry holds " +
              std::to_string(entry.CountDescriptors()) + " descriptors");
  // The replacements are over; the entry settles.
  Sleep(kDrainMs + kStableMs);
  bool isBroken =
    isRunning && IsDeafToNewChannels(aRecord, entry.GetAddress(), readiness);
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  aRecord.Say("served " + std::to_string(counts.served) + ", refused " +
              std::to_string(counts.refused) + ", other " +
              std::to_string(counts.other) + " on kept channels");
  if (!isRunning) {
    return kNotRun;
  }
  return isBroken ? kBroken : kHeld;
}

} // namespace waxwingyoke::review
