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
    if (aFleet.AddRunner("plain", false, kFirstRunner + i) == nullptr) {
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

// 11: a few TRACE requests with a body, then the operator evacuates a zone.
Verdict
RunTrace(Fleet& aFleet, bool aHasTrouble)
{
  constexpr int kCrowd = 60;
  constexpr int kClients = 12;
  constexpr std::int64_t kAnswerMs = 3000;
  constexpr std::int64_t kCalmMs = 1000;
  constexpr std::int64_t kUnderWayMs = 500;
  constexpr int kMostClosed = 3;
  constexpr int kLeastUnanswered = 8;
  if (!AddPlainRunners(aFleet, kClients)) {
    return Verdict::NotRun;
  }
  aFleet.PublishConfig();
  if (!StartEdges(aFleet, 1)) {
    return Verdict::NotRun;
  }
  std::string method = aHasTrouble ? "TRACE" : "POST";
  std::vector<std::unique_ptr<Connection>> crowd;
  for (int i = 0; i < kCrowd; ++i) {
    crowd.push_back(Connection::Open(aFleet.MakeAddress(1, kFrontendPort)));
    auto id = "crowd" + std::to_string(i);
    if (!crowd.back() || !crowd.back()->Write(
                           Fleet::MakeRequest(id, method, "/once/a", "body"))) {
      return Verdict::NotRun;
    }
  }
  std::map<int, int> statuses;
  for (auto& connection : crowd) {
    Message response;
    connection->Read(response, kAnswerMs);
    ++statuses[response.status];
  }
  for (const auto& [status, count] : statuses) {
    aFleet.record.Add(std::to_string(count) + " " + method +
                      " requests of the crowd get " + std::to_string(status));
  }
  crowd.clear();
  SleepMs(kCalmMs);
  KeptClients clients(aFleet, kClients);
  if (!clients.Start()) {
    return Verdict::NotRun;
  }
  SleepMs(kUnderWayMs);
  aFleet.record.Add("the operator evacuates z2, which has no runner");
  aFleet.store->Append("keyed.op", "evacuate/z2", "{}");
  clients.Wait();
  aFleet.record.Add(std::string("the edge machine's readiness: ") +
                    (aFleet.IsReady(1) ? "200" : "no 200"));
  auto after = aFleet.Call(1, "after", "GET", "/safe/a", "");
  aFleet.record.Add("LOST: channels closed without an answer: " +
                    std::to_string(clients.GetClosed()) +
                    ", allowed: " + std::to_string(kMostClosed));
  aFleet.record.Add(
    "CONFIG: requests without a final answer 0.5 s after TimeoutMs: " +
    std::to_string(clients.GetUnanswered()) + " of " +
    std::to_string(kClients) + ", fewer than " +
    std::to_string(kLeastUnanswered) + " are allowed");
  bool isBroken = clients.GetClosed() > kMostClosed ||
                  clients.GetUnanswered() >= kLeastUnanswered;
  return isBroken              ? Verdict::Broken
         : after.status == kOk ? Verdict::Held
                               : Verdict::NotRun;
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

// 13: a request inside the body of another one, whose coding is not chunked.
Verdict
RunSmuggled(Fleet& aFleet, bool aHasTrouble)
{
  constexpr std::int64_t kAnswersMs = 1500;
  if (!AddPlainRunners(aFleet, 2)) {
    return Verdict::NotRun;
  }
  aFleet.PublishConfig();
  if (!StartEdges(aFleet, 1)) {
    return Verdict::NotRun;
  }
  const std::vector<std::string> codings{ "gzip",
                                          "chunked, gzip",
                                          "chunked, chunked" };
  int smuggled = 0;
  int changed = 0;
  int number = 0;
  for (const auto& coding : codings) {
    auto suffix = std::to_string(++number);
    auto inner = "inner" + suffix;
    auto outer = "outer" + suffix;
    auto body = Fleet::MakeRequest(inner, "POST", "/once/inner", "order");
    auto framing = aHasTrouble ? "Transfer-Encoding: " + coding
                               : "Content-Length: " + Number(body.size());
    std::ostringstream request;
    request << "POST /once/outer HTTP/1.1\r\nHost: h.example\r\n"
            << "Waxwingyoke-Attempt-Id: " << outer << "\r\n"
            << "Waxwingyoke-Deadline-Ms: 6000\r\nApi-Key: key1\r\n"
            << framing << "\r\n\r\n"
            << body;
    aFleet.record.Add("client sends, as " + outer + ":\n" + request.str() +
                      "\n--");
    auto connection = Connection::Open(aFleet.MakeAddress(1, kFrontendPort));
    if (!connection || !connection->Write(request.str())) {
      return Verdict::NotRun;
    }
    auto answers = connection->TakeRest(kAnswersMs);
    aFleet.record.Add("client receives:\n" + answers + "\n--");
    smuggled += HasRun(aFleet, inner) ? 1 : 0;
    auto runs = ListRuns(
      aFleet, [&](const Runner::Run& aRun) { return aRun.id == outer; });
    changed += !runs.empty() && runs.front().body != body ? 1 : 0;
  }
  aFleet.record.Add(
    "UNASKED: requests that ran though they were smuggled inside others: " +
    std::to_string(smuggled) + ", requests that ran with another body: " +
    std::to_string(changed) + ", allowed: 0");
  return smuggled > 0 || changed > 0 ? Verdict::Broken : Verdict::Held;
}

// 14: after a loss of power the origin spoils one digit of one of its answers.
Verdict
RunList(Fleet& aFleet, bool aHasTrouble)
{
  constexpr int kPlainHost = 70;
  constexpr int kBefore = 20;
  constexpr std::int64_t kOffMs = 700;
  constexpr std::int64_t kAfterMs = 10000;
  constexpr std::int64_t kBetweenMs = 250;
  constexpr int kShare = 4;
  auto* engine = aFleet.AddRunner("engines", true, kFirstRunner);
  if (engine == nullptr ||
      aFleet.AddRunner("plain", false, kPlainHost) == nullptr) {
    return Verdict::NotRun;
  }
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
  engine->LosePower();
  aFleet.KillMachine(1);
  SleepMs(kOffMs);
  auto answersBefore = aFleet.origin->GetAnswers();
  aFleet.origin->SpoilLists(aHasTrouble ? 1 : 0);
  engine->Restart();
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
    "the origin spoilt " + std::to_string(aFleet.origin->GetSpoilt()) +
    " of the " + std::to_string(aFleet.origin->GetAnswers() - answersBefore) +
    " answers that it gave since the return");
  aFleet.record.Add(
    "RECOVER: served before the loss of power: " + std::to_string(before) +
    " of " + std::to_string(kBefore) +
    ", later than RecoverS after the return: " + std::to_string(served) +
    " of " + std::to_string(sent) + ", a quarter is due");
  return served * kShare < sent && before * kShare >= kBefore ? Verdict::Broken
                                                              : Verdict::Held;
}

/** Lets requests with the path crash their runners, which start again. */
class CrashingPath
{
public:
  CrashingPath(Fleet& aFleet, const std::string& aPath)
  {
    for (auto& runner : aFleet.runners) {
      runner->crashes = [this, aPath, &runner](const Message& aRequest) {
        if (aRequest.target != aPath) {
          return false;
        }
        std::scoped_lock lock(mutex_);
        restarts_.emplace_back([&runner] {
          constexpr std::int64_t kDownMs = 2000;
          SleepMs(kDownMs);
          runner->Restart();
        });
        return true;
      };
    }
  }
  ~CrashingPath() { Wait(); }
  CrashingPath(const CrashingPath&) = delete;
  CrashingPath& operator=(const CrashingPath&) = delete;

  void Wait()
  {
    std::scoped_lock lock(mutex_);
    for (auto& restart : restarts_) {
      restart.join();
    }
    restarts_.clear();
  }

private:
  std::mutex mutex_;
  std::vector<std::thread> restarts_;
};

// 15: a request that crashes its runners, beside a rolling restart.
Verdict
RunCrasher(Fleet& aFleet, bool aHasTrouble)
{
  constexpr int kEdges = 3;
  constexpr int kRunners = 8;
  constexpr std::int64_t kBetweenMs = 3500;
  constexpr std::int64_t kInTouchMs = kStableMs + 1000;
  constexpr std::size_t kThird = 3;
  constexpr int kMostRetries = 3;
  const std::string path = "/once/crasher";
  if (!AddPlainRunners(aFleet, kRunners)) {
    return Verdict::NotRun;
  }
  CrashingPath crashes(aFleet, path);
  aFleet.PublishConfig();
  if (!StartEdges(aFleet, kEdges)) {
    return Verdict::NotRun;
  }
  SleepMs(kInTouchMs);
  int calls = 0;
  auto sendCrasher = [&](int aHost) {
    auto id = "crasher" + std::to_string(++calls);
    aFleet.Call(aHost, id, "POST", path, "the same body");
    SleepMs(kBetweenMs);
  };
  for (int host = 1; host <= kEdges; ++host) {
    sendCrasher(host);
  }
  for (int host = 1; host <= kEdges; ++host) {
    if (aHasTrouble) {
      aFleet.StopMachine(host);
      aFleet.StartEdge(host);
      aFleet.WaitUntil([&] { return aFleet.IsReady(host); }, kStartMs);
    }
    SleepMs(kInTouchMs);
    sendCrasher(host);
    sendCrasher(host);
  }
  crashes.Wait();
  auto runs = ListRuns(
    aFleet, [&](const Runner::Run& aRun) { return aRun.path == path; });
  auto late = std::count_if(runs.begin(), runs.end(), [&](const auto& aRun) {
    return runs.size() >= kThird && aRun.at > runs[kThird - 1].at + kStableMs;
  });
  aFleet.record.Add(
    "BUDGET: crashes: " + Number(runs.size()) +
    ", retries that reached a runner later than StableMs after the third: " +
    std::to_string(late) + ", allowed: " + std::to_string(kMostRetries));
  return late > kMostRetries ? Verdict::Broken : Verdict::Held;
}

struct Case
{
  const char* name;
  std::function<Verdict(Fleet&, bool)> run;
};

// The crowds need more descriptors than the usual soft limit.
void
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

int
Run(const std::string& aName, const std::string& aRecordPath)
{
  const std::vector<Case> cases{ { "11", RunTrace },
                                 { "12", RunFields },
                                 { "13", RunSmuggled },
                                 { "14", RunList },
                                 { "15", RunCrasher } };
  auto row = std::find_if(cases.begin(), cases.end(), [&](const Case& aCase) {
    return aName == aCase.name;
  });
  if (row == cases.end()) {
    std::cerr << "no such case: " << aName << "\n";
    return static_cast<int>(Verdict::NotRun);
  }
  const auto* trouble = std::getenv("TROUBLE");
  bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  RaiseDescriptorLimit();
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
