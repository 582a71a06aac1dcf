#include <algorithm>
#include <mutex>

#include <fakes/Tokens.h>
#include <net/Runtime.h>
#include <telemetry/Logger.h>
#include <utils/Hash.h>

#include "EngineFake.h"
#include "Messages.h"

namespace waxwingyoke::fakes {

namespace {

using utils::Millis;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::size_t kDefaultSlots = 32;
constexpr std::size_t kDefaultCacheBlocks = 4096;
// Number of requests that can still be resumed.
constexpr std::size_t kMaxRetainedJobs = 1000;
constexpr std::size_t kMaxRetainedEvents = 10000;
constexpr Millis kPollInterval(20);

std::string
MakeEvent(const EngineJob& aJob,
          const std::string& aVersion,
          const std::string& aDelta,
          bool aLast)
{
  return "data: {\"id\":" + telemetry::QuoteJson(aJob.id) +
         ",\"object\":\"chat.completion.chunk\",\"model\":" +
         telemetry::QuoteJson(aJob.model) + ",\"system_fingerprint\":\"" +
         aVersion + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":" +
         telemetry::QuoteJson(aDelta) +
         "},\"finish_reason\":" + (aLast ? "\"stop\"" : "null") + "}]}\n\n";
}

std::string
MakeCompleteAnswer(const EngineJob& aJob,
                   const std::string& aVersion,
                   const std::string& aText)
{
  return "{\"id\":" + telemetry::QuoteJson(aJob.id) +
         ",\"object\":\"chat.completion\",\"model\":" +
         telemetry::QuoteJson(aJob.model) + ",\"system_fingerprint\":\"" +
         aVersion +
         "\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
         "\"content\":" +
         telemetry::QuoteJson(aText) + "},\"finish_reason\":\"stop\"}]}";
}

std::string
JoinPrompt(const ChatRequest& aRequest)
{
  std::string prompt;
  for (const auto& message : aRequest.messages()) {
    prompt += (prompt.empty() ? "" : "\n") + message.content();
  }
  return prompt;
}

} // namespace

void
EngineFake::AddRequestRoutes(net::Router& aRouter)
{
  auto add = [&](const char* aMethod, const char* aPath, auto aHandler) {
    aRouter.Add(aMethod, aPath, faultInjector_.Wrap(aHandler));
  };
  add("POST",
      "/v1/chat/completions",
      [this](const auto& aRequest, auto& aWriter) {
        Complete(aRequest, aWriter);
      });
  add("POST", "/v1/requests/*", [this](const auto& aRequest, auto& aWriter) {
    Cancel(aRequest, aWriter);
  });
  add("GET", "/v1/requests/*", [this](const auto& aRequest, auto& aWriter) {
    Resume(aRequest, aWriter);
  });
  add(
    "GET", "/load", [this](const auto&, auto& aWriter) { SendLoad(aWriter); });
  add("GET", "/cache/events", [this](const auto& aRequest, auto& aWriter) {
    SendEvents(aRequest, aWriter);
  });
}

std::size_t
EngineFake::GetSlots() const
{
  auto slots = faultInjector_.GetFaults().engine().slots();
  return slots == 0 ? kDefaultSlots : slots;
}

void
EngineFake::RetainJob(const std::shared_ptr<EngineJob>& aJob)
{
  jobs_[aJob->id] = aJob;
  jobOrder_.push_back(aJob->id);
  while (jobOrder_.size() > kMaxRetainedJobs) {
    jobs_.erase(jobOrder_.front());
    jobOrder_.pop_front();
  }
}

void
EngineFake::Complete(const net::HttpRequest& aRequest,
                     net::ResponseWriter& aWriter)
{
  ChatRequest request;
  if (!ReadMessage(aRequest, aWriter, request)) {
    return;
  }
  if (version_.empty()) {
    SendStatus(aWriter, kUnavailable, "no version is loaded");
    return;
  }
  constexpr std::size_t kPromptKeyChars = 80;
  auto job = std::make_shared<EngineJob>();
  job->id =
    request.request_id().empty() ? utils::MakeUniqueId() : request.request_id();
  job->prompt = JoinPrompt(request);
  job->model = request.model();
  job->tokens =
    request.max_tokens() == 0 ? kDefaultTokens : request.max_tokens();
  job->priority = request.priority();
  job->stream = request.stream();
  ++runs_[job->id];
  ++prompts_[job->prompt.substr(0, kPromptKeyChars)];
  if (upstream_.CrashIfMarked(aRequest.body)) {
    return;
  }
  RetainJob(job);
  if (!WaitForSlot(*job, aWriter)) {
    return;
  }
  Prefill(*job);
  Generate(*job, 0, aWriter);
  ReleaseSlot();
}

void
EngineFake::Resume(const net::HttpRequest& aRequest,
                   net::ResponseWriter& aWriter)
{
  auto found = jobs_.find(GetPathPart(aRequest, 2));
  if (found == jobs_.end() || version_.empty()) {
    SendStatus(
      aWriter, kNotFound, "the request is unknown or no version is loaded");
    return;
  }
  auto& counters = faultInjector_.GetCounters();
  counters.set_resumes(counters.resumes() + 1);
  auto job = found->second;
  if (WaitForSlot(*job, aWriter)) {
    Generate(*job, ReadQueryNumber(aRequest, "from", 0), aWriter);
    ReleaseSlot();
  }
}

void
EngineFake::Cancel(const net::HttpRequest& aRequest,
                   net::ResponseWriter& aWriter)
{
  auto found = jobs_.find(GetPathPart(aRequest, 2));
  if (found == jobs_.end()) {
    SendStatus(aWriter, kNotFound, "unknown request");
    return;
  }
  found->second->cancelled = true;
  auto& counters = faultInjector_.GetCounters();
  counters.set_cancels(counters.cancels() + 1);
  SendStatus(aWriter, kOk, "cancelled");
}

bool
EngineFake::WaitForSlot(EngineJob& aJob, net::ResponseWriter& aWriter)
{
  auto incarnation = upstream_.GetIncarnation();
  auto queuedPriority = waitingPriorities_.insert(aJob.priority);
  auto canRun = [&] {
    return running_ < GetSlots() &&
           aJob.priority >= *waitingPriorities_.rbegin();
  };
  auto isOver = [&] {
    return aJob.cancelled || incarnation != upstream_.GetIncarnation() ||
           aWriter.IsPeerDisconnected();
  };
  std::unique_lock lock(mutex_);
  while (!canRun() && !isOver()) {
    slotFreed_.wait_for(lock, kPollInterval.ToChrono());
  }
  waitingPriorities_.erase(queuedPriority);
  if (isOver()) {
    return false;
  }
  ++running_;
  auto& counters = faultInjector_.GetCounters();
  counters.set_max_running(
    std::max(counters.max_running(), static_cast<std::uint32_t>(running_)));
  return true;
}

void
EngineFake::ReleaseSlot()
{
  --running_;
  slotFreed_.notify_all();
}

void
EngineFake::Prefill(const EngineJob& aJob)
{
  constexpr std::uint64_t kMicrosPerMilli = 1000;
  auto capacity = faultInjector_.GetFaults().engine().cache_blocks();
  auto lookup = cache_.LookUpAndStore(
    aJob.prompt, capacity == 0 ? kDefaultCacheBlocks : capacity);
  auto& counters = faultInjector_.GetCounters();
  counters.set_cache_hit_blocks(counters.cache_hit_blocks() + lookup.hitBlocks);
  counters.set_cache_missed_blocks(counters.cache_missed_blocks() +
                                   lookup.missedBlocks);
  auto micros = lookup.missedBlocks *
                faultInjector_.GetFaults().engine().prefill_us_per_block();
  net::Runtime::Sleep(
    Millis(static_cast<std::int64_t>(micros / kMicrosPerMilli)));
}

bool
EngineFake::WaitForToken(const EngineJob& aJob,
                         Millis aDue,
                         net::ResponseWriter& aWriter)
{
  auto incarnation = upstream_.GetIncarnation();
  auto pause = aDue - clock_.Now();
  if (pause > Millis(0)) {
    net::Runtime::Sleep(pause);
  }
  auto isOver = [&] {
    return aJob.cancelled || incarnation != upstream_.GetIncarnation() ||
           aWriter.IsPeerDisconnected();
  };
  // A stream pauses while no version is loaded.
  while (version_.empty() && !isOver()) {
    net::Runtime::Sleep(kPollInterval);
  }
  return !isOver();
}

void
EngineFake::Generate(EngineJob& aJob,
                     std::size_t aFrom,
                     net::ResponseWriter& aWriter)
{
  constexpr std::int64_t kMillisPerSecond = 1000;
  auto& counters = faultInjector_.GetCounters();
  auto incarnation = upstream_.GetIncarnation();
  auto start = clock_.Now();
  if (aJob.stream) {
    aWriter.Start(kOk, { { "Content-Type", "text/event-stream" } });
  }
  std::string text;
  for (std::size_t i = aFrom; i < aJob.tokens; ++i) {
    auto rate = faultInjector_.GetFaults().engine().tokens_per_s();
    auto made = static_cast<std::int64_t>(i - aFrom);
    auto due =
      rate == 0 ? start : start + Millis(made * kMillisPerSecond / rate);
    if (!WaitForToken(aJob, due, aWriter) ||
        incarnation != upstream_.GetIncarnation()) {
      return;
    }
    auto token = MakeToken(aJob.prompt, version_, i);
    counters.set_tokens(counters.tokens() + 1);
    text += token;
    if (aJob.stream && !aWriter.Write(MakeEvent(
                         aJob, version_, token, i + 1 == aJob.tokens))) {
      return;
    }
  }
  if (aJob.stream) {
    aWriter.Write("data: [DONE]\n\n");
    aWriter.Finish();
    return;
  }
  aWriter.Send(
    net::MakeJsonResponse(kOk, MakeCompleteAnswer(aJob, version_, text)));
}

void
EngineFake::SendLoad(net::ResponseWriter& aWriter)
{
  EngineLoad now;
  now.set_running(static_cast<std::uint32_t>(running_));
  now.set_queued(static_cast<std::uint32_t>(waitingPriorities_.size()));
  loads_.push_back({ clock_.Now(), now });
  auto visibleUntil =
    clock_.Now() - Millis(faultInjector_.GetFaults().engine().load_lag_ms());
  while (loads_.size() > 1 && loads_[1].at <= visibleUntil) {
    loads_.pop_front();
  }
  SendMessage(aWriter, loads_.front().load);
}

void
EngineFake::RecordCacheEvent(bool aStored, std::uint64_t aBlock)
{
  CacheEvent event;
  event.set_sequence(nextEvent_++);
  event.set_kind(aStored ? "stored" : "evicted");
  event.set_block(std::to_string(aBlock));
  if (!faultInjector_.ShouldInject(
        faultInjector_.GetFaults().engine().event_gaps_per_mille())) {
    events_.push_back({ clock_.Now(), event });
  }
  if (events_.size() > kMaxRetainedEvents) {
    events_.pop_front();
  }
}

void
EngineFake::SendEvents(const net::HttpRequest& aRequest,
                       net::ResponseWriter& aWriter)
{
  auto from = ReadQueryNumber(aRequest, "from", 0);
  auto visibleUntil =
    clock_.Now() - Millis(faultInjector_.GetFaults().engine().event_lag_ms());
  CacheEvents reply;
  reply.set_next(from);
  for (const auto& delayed : events_) {
    if (delayed.event.sequence() >= from && delayed.at <= visibleUntil) {
      *reply.add_events() = delayed.event;
      reply.set_next(delayed.event.sequence() + 1);
    }
  }
  SendMessage(aWriter, reply);
}

} // namespace waxwingyoke::fakes
