// The cases of the review. Each returns whether its rule was broken; without
// its disruption it has to hold.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>

#include "Fleet.h"

namespace review {

namespace {

constexpr std::int64_t kStartMs = 15000;
constexpr int kFirstRunner = 50;
constexpr int kOk = 200;

std::string
Number(std::size_t aValue)
{
  return std::to_string(aValue);
}

/** Starts edges on hosts 1 to aEdges and waits until all serve. */
bool
StartEdges(Fleet& aFleet, int aEdges)
{
  for (int host = 1; host <= aEdges; ++host) {
    aFleet.StartEdge(host);
  }
  int calls = 0;
  for (int host = 1; host <= aEdges; ++host) {
    auto serves = [&] {
      auto id = "first" + std::to_string(++calls);
      return aFleet.IsReady(host) &&
             aFleet.Call(host, id, "GET", "/safe/a", "").status == kOk;
    };
    if (!aFleet.WaitUntil(serves, kStartMs)) {
      return false;
    }
  }
  return true;
}

bool
AddPlainRunners(Fleet& aFleet, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    if (aFleet.AddRunner("plain", kFirstRunner + i) == nullptr) {
      return false;
    }
  }
  return true;
}

std::vector<Runner::Run>
ListRuns(Fleet& aFleet, const std::function<bool(const Runner::Run&)>& aMatches)
{
  std::vector<Runner::Run> runs;
  for (auto& runner : aFleet.runners) {
    auto all = runner->ListRuns();
    std::copy_if(all.begin(), all.end(), std::back_inserter(runs), aMatches);
  }
  std::sort(
    runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.at < aRight.at;
    });
  return runs;
}

bool
HasRun(Fleet& aFleet, const std::string& aId)
{
  return !ListRuns(aFleet, [&aId](const Runner::Run& aRun) {
            return aRun.id == aId;
          }).empty();
}

/** Ordinary clients, each with one request under way on a kept channel. */
class KeptClients
{
public:
  KeptClients(Fleet& aFleet, int aCount);
  ~KeptClients() { Wait(); }
  KeptClients(const KeptClients&) = delete;
  KeptClients& operator=(const KeptClients&) = delete;

  /** False if a channel was not kept after a first request. */
  bool Start();
  void Wait();
  /** Requests that a runner ran and whose channel ended without an answer. */
  int GetClosed() const { return closed_; }
  /** Those that have no answer half a second after the route's TimeoutMs. */
  int GetUnanswered() const { return unanswered_; }

private:
  bool KeepChannel(int aClient);
  void SendSlow(int aClient);

  Fleet& fleet_;
  std::vector<std::unique_ptr<Connection>> channels_;
  std::vector<std::thread> threads_;
  std::atomic<int> closed_{ 0 };
  std::atomic<int> unanswered_{ 0 };
};

KeptClients::KeptClients(Fleet& aFleet, int aCount)
  : fleet_(aFleet)
  , channels_(static_cast<std::size_t>(aCount))
{
}

bool
KeptClients::KeepChannel(int aClient)
{
  constexpr std::int64_t kQuickMs = 2000;
  auto& channel = channels_[static_cast<std::size_t>(aClient)];
  channel = Connection::Open(fleet_.MakeAddress(1, kFrontendPort));
  auto id = "quick" + std::to_string(aClient);
  Message response;
  return channel &&
         channel->Write(Fleet::MakeRequest(id, "GET", "/safe/a", "")) &&
         channel->Read(response, kQuickMs) && response.status == kOk &&
         response.Find("Connection") != "close";
}

void
KeptClients::SendSlow(int aClient)
{
  constexpr std::int64_t kLimitMs = kTimeoutMs + 500;
  auto& channel = *channels_[static_cast<std::size_t>(aClient)];
  auto id = "slow" + std::to_string(aClient);
  fleet_.record.Add("client sends " + id + " on its kept channel");
  auto sentAt = NowMs();
  Message response;
  bool isAnswered =
    channel.Write(Fleet::MakeRequest(id, "POST", "/once/slow", "order")) &&
    channel.Read(response, kLimitMs);
  if (isAnswered) {
    fleet_.record.Add("client gets " + std::to_string(response.status) +
                      " for " + id);
    return;
  }
  bool isClosed = NowMs() < sentAt + kLimitMs;
  bool hasRun = HasRun(fleet_, id);
  fleet_.record.Add("client gets no answer to " + id + ", " +
                    (isClosed ? "its channel was closed" : "its time is over") +
                    (hasRun ? "; a runner ran it" : "; no runner ran it"));
  closed_ += isClosed && hasRun ? 1 : 0;
  unanswered_ += isClosed ? 0 : 1;
}

bool
KeptClients::Start()
{
  auto count = static_cast<int>(channels_.size());
  for (int i = 0; i < count; ++i) {
    if (!KeepChannel(i)) {
      return false;
    }
  }
  for (int i = 0; i < count; ++i) {
    threads_.emplace_back([this, i] { SendSlow(i); });
  }
  return true;
}

void
KeptClients::Wait()
{
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

// 11: after a loss of power the answer to one staged piece is lost.
Verdict
RunLostAnswer(Fleet& aFleet, bool aHasTrouble)
{
  constexpr int kPlainHost = 70;
  constexpr int kBefore = 20;
  constexpr int kLostPiece = 20;
  constexpr std::int64_t kOffMs = 700;
  constexpr std::int64_t kAfterMs = 10000;
  constexpr std::int64_t kBetweenMs = 250;
  constexpr int kShare = 4;
  auto* runner = aFleet.AddRunner("engines", kFirstRunner);
  if (runner == nullptr || aFleet.AddRunner("plain", kPlainHost) == nullptr) {
    return Verdict::NotRun;
  }
  Engine engine(*runner, aFleet.record);
  aFleet.PublishConfig();
  aFleet.StartSide(kFirstRunner);
  int calls = 0;
  auto call = [&] {
    auto id = "s" + std::to_string(++calls);
    return aFleet.Call(1, id, "POST", "/stream/a", "prompt").status == kOk;
  };
  if (!StartEdges(aFleet, 1) || !aFleet.WaitUntil(call, kStartMs)) {
    return Verdict::NotRun;
  }
  int before = 0;
  for (int i = 0; i < kBefore; ++i) {
    before += call() ? 1 : 0;
  }
  aFleet.record.Add("all machines lose power");
  aFleet.KillMachine(kFirstRunner);
  aFleet.KillMachine(1);
  engine.LosePower();
  SleepMs(kOffMs);
  engine.LoseAnswerToPut(aHasTrouble ? kLostPiece : -1);
  engine.Restart();
  aFleet.StartSide(kFirstRunner);
  aFleet.StartEdge(1);
  auto judgedFrom = NowMs() + kRecoverMs;
  SleepMs(kRecoverMs);
  int sent = 0;
  int served = 0;
  while (NowMs() < judgedFrom + kAfterMs) {
    ++sent;
    served += call() ? 1 : 0;
    SleepMs(kBetweenMs);
  }
  aFleet.record.Add(
    "pieces staged since the return: " + std::to_string(engine.GetPuts()) +
    ", orders accepted: " + std::to_string(engine.GetOrders()));
  aFleet.record.Add(
    "RECOVER: served before the loss of power: " + std::to_string(before) +
    " of " + std::to_string(kBefore) +
    ", later than RecoverS after the return: " + std::to_string(served) +
    " of " + std::to_string(sent) + ", a quarter is due");
  // Its runner must not call what ends before it.
  aFleet.KillMachine(kFirstRunner);
  aFleet.runners.clear();
  return served * kShare < sent && before * kShare >= kBefore ? Verdict::Broken
                                                              : Verdict::Held;
}

// 12: many clients, each with one request whose header has many short fields.
Verdict
RunFields(Fleet& aFleet, bool aHasTrouble)
{
  constexpr int kCrowd = 1200;
  constexpr int kClients = 8;
  constexpr std::size_t kHeaderBytes = 16000;
  constexpr std::int64_t kUnderWayMs = 500;
  constexpr std::int64_t kWatchMs = 3500;
  constexpr std::int64_t kPollMs = 10;
  constexpr int kMostClosed = 3;
  if (!AddPlainRunners(aFleet, kClients)) {
    return Verdict::NotRun;
  }
  aFleet.PublishConfig();
  if (!StartEdges(aFleet, 1)) {
    return Verdict::NotRun;
  }
  KeptClients clients(aFleet, kClients);
  if (!clients.Start()) {
    return Verdict::NotRun;
  }
  SleepMs(kUnderWayMs);
  std::string head = "POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
                     "Waxwingyoke-Attempt-Id: crowd\r\nApi-Key: key1\r\n"
                     "Content-Length: 100\r\n";
  std::string field =
    aHasTrouble ? "a:\r\n" : "a: " + std::string(4000, 'a') + "\r\n";
  while (head.size() + field.size() < kHeaderBytes) {
    head += field;
  }
  head += "\r\nthe rest of the body stays out";
  aFleet.record.Add("a crowd of " + std::to_string(kCrowd) +
                    " clients sends headers of " + Number(head.size()) +
                    " bytes with fields of " + Number(field.size()));
  std::vector<std::unique_ptr<Connection>> crowd;
  for (int i = 0; i < kCrowd; ++i) {
    auto connection = Connection::Open(aFleet.MakeAddress(1, kFrontendPort));
    if (connection && connection->Write(head)) {
      crowd.push_back(std::move(connection));
    }
  }
  std::size_t most = 0;
  bool isKilled = false;
  auto until = NowMs() + kWatchMs;
  while (!isKilled && NowMs() < until) {
    most = std::max(most, aFleet.GetMemory(1));
    isKilled = most > kEdgeMemory;
    SleepMs(kPollMs);
  }
  aFleet.record.Add("connections of the crowd: " + Number(crowd.size()) +
                    ", memory of the edge machine: " + Number(most >> 20U) +
                    " MB, its limit: " + Number(kEdgeMemory >> 20U) + " MB");
  if (isKilled) {
    aFleet.record.Add("over the limit: the platform kills the process");
    aFleet.KillMachine(1);
    aFleet.StartEdge(1);
  }
  crowd.clear();
  clients.Wait();
  aFleet.record.Add("LOST: channels closed without an answer: " +
                    std::to_string(clients.GetClosed()) +
                    ", allowed: " + std::to_string(kMostClosed));
  return clients.GetClosed() > kMostClosed ? Verdict::Broken : Verdict::Held;
}

/** Tries new channels, each with one ordinary request, until a time. */
class ChannelTries
{
public:
  ChannelTries(Fleet& aFleet, int aClients, std::int64_t aUntil);
  ~ChannelTries() { Wait(); }
  ChannelTries(const ChannelTries&) = delete;
  ChannelTries& operator=(const ChannelTries&) = delete;

  void Wait();
  int GetTries() const { return tries_; }
  /** Those on which anything was answered. */
  int GetTaken() const { return taken_; }

private:
  void Try(int aClient, std::int64_t aUntil);

  Fleet& fleet_;
  std::vector<std::thread> threads_;
  std::atomic<int> tries_{ 0 };
  std::atomic<int> taken_{ 0 };
};

ChannelTries::ChannelTries(Fleet& aFleet, int aClients, std::int64_t aUntil)
  : fleet_(aFleet)
{
  for (int i = 0; i < aClients; ++i) {
    threads_.emplace_back([this, i, aUntil] { Try(i, aUntil); });
  }
}

void
ChannelTries::Try(int aClient, std::int64_t aUntil)
{
  constexpr std::int64_t kAnswerMs = 1000;
  constexpr std::int64_t kBetweenMs = 100;
  for (int number = 0; NowMs() < aUntil; ++number) {
    auto id = "new" + std::to_string(aClient) + "x" + std::to_string(number);
    auto answer = fleet_.Call(1, id, "GET", "/safe/a", "", kAnswerMs);
    ++tries_;
    taken_ += answer.status != 0 ? 1 : 0;
    SleepMs(kBetweenMs);
  }
}

void
ChannelTries::Wait()
{
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

// 13: many clients that send their next requests before they have an answer.
Verdict
RunPipelines(Fleet& aFleet, bool aHasTrouble)
{
  constexpr int kRunners = 16;
  constexpr int kCrowd = 1900;
  constexpr int kAhead = 40;
  constexpr int kClients = 8;
  constexpr std::int64_t kTryMs = 6000;
  constexpr std::int64_t kAskMs = 500;
  if (!AddPlainRunners(aFleet, kRunners)) {
    return Verdict::NotRun;
  }
  aFleet.PublishConfig();
  if (!StartEdges(aFleet, 1)) {
    return Verdict::NotRun;
  }
  SleepMs(kStableMs);
  // The platform keeps its channel for the questions.
  auto readiness = Connection::Open(aFleet.MakeAddress(1, kReadinessPort));
  std::string requests;
  for (int i = 0; i < (aHasTrouble ? kAhead : 1); ++i) {
    requests += Fleet::MakeRequest(
      "crowd" + std::to_string(i), "POST", "/once/slow", "order");
  }
  std::vector<std::unique_ptr<Connection>> crowd;
  for (int i = 0; i < kCrowd; ++i) {
    auto channel = Connection::Open(aFleet.MakeAddress(1, kFrontendPort));
    if (channel && channel->Write(requests)) {
      crowd.push_back(std::move(channel));
    }
  }
  aFleet.record.Add("channels of the crowd: " + Number(crowd.size()));
  if (crowd.size() < kCrowd || !readiness) {
    return Verdict::NotRun;
  }
  auto begunAt = NowMs();
  ChannelTries tries(aFleet, kClients, begunAt + kTryMs);
  std::int64_t readyMs = 0;
  bool isReady = true;
  while (isReady && NowMs() < begunAt + kTryMs) {
    SleepMs(kAskMs);
    isReady = Fleet::AskReadiness(*readiness);
    readyMs = isReady ? NowMs() - begunAt : readyMs;
    aFleet.record.Add(
      "readiness: " + std::string(isReady ? "200" : "no 200") +
      ", descriptors: " + Number(aFleet.CountDescriptors(1)) +
      ", new channels taken: " + std::to_string(tries.GetTaken()) + " of " +
      std::to_string(tries.GetTries()));
  }
  tries.Wait();
  aFleet.record.Add(
    "RECOVER: " + std::to_string(kClients) +
    " clients tried new channels, taken: " + std::to_string(tries.GetTaken()) +
    " of " + std::to_string(tries.GetTries()) + "; the machine said for " +
    std::to_string(readyMs) + " ms that it is ready; StableMs is " +
    std::to_string(kStableMs));
  return tries.GetTaken() == 0 && readyMs > kStableMs ? Verdict::Broken
                                                      : Verdict::Held;
}

// 14: HEAD requests, some of which the runner turns away.
Verdict
RunHead(Fleet& aFleet, bool aHasTrouble)
{
  constexpr int kRequests = 12;
  constexpr int kShedsOneOf = 3;
  constexpr std::int64_t kAnswerMs = 400;
  if (!AddPlainRunners(aFleet, 1)) {
    return Verdict::NotRun;
  }
  aFleet.PublishConfig();
  if (!StartEdges(aFleet, 1)) {
    return Verdict::NotRun;
  }
  aFleet.runners.front()->shedsOneOf = aHasTrouble ? kShedsOneOf : 0;
  auto channel = Connection::Open(aFleet.MakeAddress(1, kFrontendPort));
  int foreign = 0;
  for (int i = 0; channel && i < kRequests; ++i) {
    auto id = "head" + std::to_string(i);
    aFleet.record.Add("client sends " + id + " HEAD /safe/a");
    channel->Write(Fleet::MakeRequest(id, "HEAD", "/safe/a", ""));
    auto bytes = channel->TakeRest(kAnswerMs);
    auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
      return Verdict::NotRun;
    }
    bool hasMore = end + 4 < bytes.size();
    foreign += hasMore ? 1 : 0;
    aFleet.record.Add("client receives:\n" + bytes + "\n--");
  }
  aFleet.record.Add("MIXED: answers to HEAD that are followed by bytes which "
                    "are no answer: " +
                    std::to_string(foreign) + ", allowed: 0");
  return foreign > 0 ? Verdict::Broken : Verdict::Held;
}

/** Clients that send orders one after the other until they are stopped. */
class BusyClients
{
public:
  BusyClients(Fleet& aFleet, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      threads_.emplace_back([this, &aFleet, i] { Send(aFleet, i); });
    }
  }
  ~BusyClients()
  {
    hasEnded_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
  }
  BusyClients(const BusyClients&) = delete;
  BusyClients& operator=(const BusyClients&) = delete;

private:
  void Send(Fleet& aFleet, int aClient)
  {
    constexpr std::int64_t kBetweenMs = 50;
    for (int number = 0; !hasEnded_; ++number) {
      auto id =
        "order" + std::to_string(aClient) + "x" + std::to_string(number);
      aFleet.Call(1, id, "POST", "/once/slow", "order");
      SleepMs(kBetweenMs);
    }
  }

  std::vector<std::thread> threads_;
  std::atomic<bool> hasEnded_{ false };
};

// 15: a runner that asked for a pause is out of reach of the store for a while.
Verdict
RunPause(Fleet& aFleet, bool aHasTrouble)
{
  constexpr int kClients = 80;
  constexpr std::int64_t kHalfSecondMs = 500;
  constexpr std::int64_t kCutMs = 5000;
  constexpr std::int64_t kAfterMs = 10000;
  constexpr std::size_t kMostRequests = 2;
  if (!AddPlainRunners(aFleet, 2)) {
    return Verdict::NotRun;
  }
  aFleet.PublishConfig();
  if (!StartEdges(aFleet, 1)) {
    return Verdict::NotRun;
  }
  SleepMs(kStableMs);
  auto& runner = *aFleet.runners.front();
  auto before = runner.ListArrivals().size();
  runner.SetRetryAfter("30");
  std::size_t late = 0;
  {
    BusyClients clients(aFleet, kClients);
    auto isAsked = [&] { return runner.ListArrivals().size() > before; };
    if (!aFleet.WaitUntil(isAsked, kStartMs)) {
      return Verdict::NotRun;
    }
    SleepMs(kHalfSecondMs);
    auto early = runner.ListArrivals().size();
    aFleet.record.Add("half a second has passed since the first answer with "
                      "Retry-After");
    runner.reachesStore = !aHasTrouble;
    SleepMs(kCutMs);
    runner.reachesStore = true;
    SleepMs(kAfterMs);
    late = runner.ListArrivals().size() - early;
  }
  aFleet.record.Add(
    "BUDGET: requests that reached the runner from one machine after that "
    "and before the end of the 30 s: " +
    Number(late) + ", allowed: " + Number(kMostRequests));
  return late > kMostRequests ? Verdict::Broken : Verdict::Held;
}

struct Case
{
  const char* name;
  std::function<Verdict(Fleet&, bool)> run;
};

// What the platform gives an edge machine; inherited by its process.
bool
SetDescriptorLimit()
{
  constexpr rlim_t kDescriptors = 4100;
  rlimit limit{ kDescriptors, kDescriptors };
  return setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

int
Run(const std::string& aName, const std::string& aRecordPath)
{
  const std::vector<Case> cases{ { "11", RunLostAnswer },
                                 { "12", RunFields },
                                 { "13", RunPipelines },
                                 { "14", RunHead },
                                 { "15", RunPause } };
  auto row = std::find_if(cases.begin(), cases.end(), [&](const Case& aCase) {
    return aName == aCase.name;
  });
  if (row == cases.end()) {
    std::cerr << "no such case: " << aName << "\n";
    return static_cast<int>(Verdict::NotRun);
  }
  const auto* trouble = std::getenv("TROUBLE");
  bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  if (!SetDescriptorLimit()) {
    std::cerr << "cannot set the limit of descriptors\n";
    return static_cast<int>(Verdict::NotRun);
  }
  Record record(aRecordPath);
  record.Add("case " + aName +
             (hasTrouble ? ", with its disruption" : ", without disruption"));
  auto verdict = Verdict::NotRun;
  {
    Fleet fleet(record);
    verdict = row->run(fleet, hasTrouble);
  }
  record.Add(verdict == Verdict::Broken ? "the rule was broken"
             : verdict == Verdict::Held ? "the rule held"
                                        : "the case could not run");
  return static_cast<int>(verdict);
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments, aArguments + aCount);
  constexpr std::size_t kArguments = 3;
  if (arguments.size() != kArguments) {
    std::cerr << "usage: cases CASE RECORD\n";
    return static_cast<int>(review::Verdict::NotRun);
  }
  return review::Run(arguments[1], arguments[2]);
}
