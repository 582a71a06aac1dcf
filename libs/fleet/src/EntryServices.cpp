#include "EntryServices.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <iterator>
#include <utility>

#include <utils/Hash.h>

#include "Exchange.h"

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// A read of the operator's topic waits for this fraction of the time in which a
// configuration takes effect: what one read confirmed may be twice as old by
// the end of the next.
constexpr std::int64_t kConfigWaitDivisor = 2;
// The same for the time in which a key is revoked: entries that ask this one
// get what is as old as its last read, and ask before half of that time.
constexpr std::int64_t kRevokeWaitDivisor = 5;
// Age of the configuration, in tenths of the time for which a key may be
// accepted without confirmation, from which an entry that relies on others
// reads the log itself.
constexpr std::int64_t kPeersIntervalInTenths = 5;
// Upper bound of the backoff while the log fails. Short, because API keys are
// not accepted until the configuration is confirmed again.
constexpr Millis kMaxBackoff(400);
// Requests that fail in the same crash are reported within this time; then the
// upstream is probed once for all of them.
constexpr Millis kProbeDelay(30);
constexpr Millis kProbeTimeout(400);
// How long an upstream that can be reached after its connections broke may take
// to show in the directory as another incarnation.
constexpr Millis kReplacementTime(3000);
constexpr Millis kReplacementPoll(100);
// Peers to ask when a version was named. Entries end their reads at different
// times, so that one of a few has read the topic shortly before.
constexpr int kNamingRequests = 3;
// Work that has not started on an outdated version is cancelled this long
// before the version's limit. Covers the time that closing a connection takes,
// with a retransmission, and the upstream's pass that runs meanwhile.
constexpr Millis kStartMargin(400);
// No request is sent to an outdated version in this period before it would be
// cancelled. Equals the usual first-event objective.
constexpr Millis kLastSendMargin(500);
// Shares of the fleet's retry slack, which all entries divide, and of the retry
// ratio. Below 1 because a retry may arrive in another window than the one it
// was counted in.
constexpr double kSlackShare = 0.6;
constexpr double kRatioShare = 0.8;
// PollOptions::rewriteTime in tenths of the time for which a key may be
// accepted without confirmation. The log's unavailability before the restore
// counts against the same time; if both exceed it, all requests with keys are
// refused.
constexpr std::int64_t kRewriteShareInTenths = 3;
// Other processes send hundreds of notices a second. The queues are served at
// most once in this time for slots that the notices report as free.
constexpr Millis kServeQueuesInterval(10);
// Share of the process's memory, in bytes, for answers that are buffered. Low,
// as the heap may keep as much again in the former buffers of growing strings.
constexpr double kAnswerMemoryShare = 0.25;
// Where the settings don't state the memory.
constexpr std::size_t kDefaultAnswerMemory = 64 << 20;

std::size_t
GetAnswerMemory(const platform::FleetSettings& aSettings)
{
  return aSettings.memoryBytes == 0
           ? kDefaultAnswerMemory
           : static_cast<std::size_t>(
               static_cast<double>(aSettings.memoryBytes) * kAnswerMemoryShare);
}

} // namespace

std::string
FormatDigest(std::uint64_t aDigest)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, aDigest);
  return text.data();
}

std::vector<std::uint64_t>
HashParts(const std::vector<std::string>& aIds)
{
  std::vector<std::uint64_t> hashes;
  std::ranges::transform(
    aIds, std::back_inserter(hashes), [](const std::string& aId) {
      return utils::StableHash(aId);
    });
  return hashes;
}

EntryMetrics
EntryMetrics::Make()
{
  auto& metrics = telemetry::Metrics::Get();
  return { metrics.GetCounter("fleet_requests_total"),
           metrics.GetCounter("fleet_served_total"),
           metrics.GetCounter("fleet_refused_total"),
           metrics.GetCounter("fleet_failed_total"),
           metrics.GetCounter("fleet_sends_total"),
           metrics.GetCounter("fleet_streams_resumed_total"),
           metrics.GetCounter("fleet_streams_broken_total"),
           metrics.GetCounter("fleet_streams_truncated_total"),
           metrics.GetCounter("fleet_upstream_crashes_total"),
           metrics.GetCounter("fleet_quarantine_refusals_total"),
           metrics.GetCounter("fleet_region_refusals_total"),
           metrics.GetCounter("fleet_hedges_total"),
           metrics.GetCounter("fleet_hedges_used_total"),
           metrics.GetCounter("fleet_hedges_failed_total"),
           metrics.GetCounter("fleet_rate_limits_named_total"),
           metrics.GetCounter("fleet_rate_limited_sends_total"),
           metrics.GetCounter("fleet_answers_dropped_total"),
           metrics.GetDistribution("fleet_first_part_ms"),
           metrics.GetDistribution("fleet_request_ms") };
}

EntryServices::EntryServices(net::Runtime& aRuntime,
                             const platform::FleetSettings& aSettings,
                             const FleetPorts& aPorts)
  : runtime_(aRuntime)
  , settings_(aSettings)
  , ports_(aPorts)
  , config_(ports_.log,
            ports_.codecs,
            { std::min(aSettings.bounds.configApply / kConfigWaitDivisor,
                       aSettings.bounds.revoke / kRevokeWaitDivisor),
              Millis(0),
              false,
              aSettings.bounds.revoke * kPeersIntervalInTenths / 10,
              kMaxBackoff,
              aSettings.bounds.revoke * kRewriteShareInTenths / 10,
              kNamingRequests })
  , answerBudget_(GetAnswerMemory(aSettings))
  , metrics_(EntryMetrics::Make())
{
  upstreams_.SetRoster(dispatch::EntryRoster(
    { utils::StableHash(aSettings.vm), aSettings.region }, aSettings.regions));
  upstreams_.SetRegions(aSettings.regions);
}

ServiceState&
EntryServices::GetService(const std::string& aName)
{
  auto& service = services_[aName];
  auto entries = static_cast<double>(std::max<std::size_t>(entryCount_, 1));
  const auto& bounds = settings_.bounds;
  service.retryBudget.SetLimits({ bounds.retryRatio * kRatioShare,
                                  bounds.retrySlack * kSlackShare / entries,
                                  bounds.retryWindow });
  return service;
}

std::shared_ptr<const dispatch::EngineModel>
EntryServices::FindEngine(const platform::ServiceInfo& aService)
{
  if (!aService.engine) {
    return nullptr;
  }
  auto version = config_.GetConfig()->version;
  if (version != enginesVersion_) {
    engines_.clear();
    enginesVersion_ = version;
  }
  auto& model = engines_[aService.name];
  if (!model) {
    model = std::make_shared<const dispatch::EngineModel>(*aService.engine);
  }
  return model;
}

dispatch::Trust
EntryServices::GetTrust() const
{
  return dispatch::ClassifyAge(
    config_.GetAge(),
    { settings_.bounds.configApply, settings_.bounds.revoke });
}

// Rate limited because each attempt to place a request examines all upstreams.
void
EntryServices::ServeWaitQueues()
{
  auto now = Now();
  if (now - queuesServedAt_ < kServeQueuesInterval) {
    return;
  }
  queuesServedAt_ = now;
  std::ranges::for_each(
    services_, [](auto& aRow) { aRow.second.waitQueue.PlaceQueued(); });
}

void
EntryServices::ApplyEvacuations()
{
  static auto& sEvacuated =
    telemetry::Metrics::Get().GetGauge("fleet_evacuated_data_centres");
  auto evacuated = config_.GetEvacuated();
  if (evacuated == upstreams_.GetEvacuated()) {
    return;
  }
  sEvacuated.Set(static_cast<std::int64_t>(evacuated.size()));
  upstreams_.SetEvacuated(std::move(evacuated));
  queuesServedAt_ = Millis(0);
  ServeWaitQueues();
  std::ranges::for_each(exchanges_,
                        [](Exchange* aExchange) { aExchange->CheckQueued(); });
}

bool
EntryServices::HasQueuedRequests() const
{
  return std::ranges::any_of(services_, [](const auto& aRow) {
    return !aRow.second.waitQueue.IsEmpty();
  });
}

std::uint64_t
EntryServices::FindMinVersion(const std::string& aModel) const
{
  return config_.FindVersionOfAge(
    aModel, settings_.bounds.version - kStartMargin - kLastSendMargin);
}

Millis
EntryServices::FindStartTimeout(const std::string& aModel,
                                std::uint64_t aVersion) const
{
  auto limitStart = config_.FindLimitStart(aModel, aVersion);
  auto left = settings_.bounds.version - kStartMargin;
  return limitStart ? left - (config_.Now() - *limitStart) : Millis(0);
}

void
EntryServices::RecordBrokenConnection(
  const dispatch::UpstreamPointer& aUpstream,
  BrokenRequest aRequest)
{
  auto& requests = pendingProbes_[aUpstream->record.id];
  requests.push_back(std::move(aRequest));
  if (requests.size() == 1) {
    runtime_.Spawn([this, aUpstream] { ProbeUpstream(aUpstream); });
  }
}

void
EntryServices::ProbeUpstream(const dispatch::UpstreamPointer& aUpstream)
{
  // The state may describe the next incarnation by the end of the probe.
  const auto record = aUpstream->record;
  net::Runtime::Sleep(kProbeDelay);
  bool reachable = GetClient().CanConnect(record.endpoint, kProbeTimeout);
  auto requests = std::move(pendingProbes_[record.id]);
  pendingProbes_.erase(record.id);
  if (reachable) {
    std::erase_if(requests, [this](const BrokenRequest& aRequest) {
      if (aRequest.looksComplete) {
        crashes_.RecordSurvival(
          aRequest.digest, HashParts(aRequest.sharedParts), Now());
      }
      return aRequest.looksComplete;
    });
  }
  if (requests.empty()) {
    return;
  }
  aUpstream->health.RecordOutcome(reachable ? dispatch::Outcome::Failed
                                            : dispatch::Outcome::Unreachable,
                                  Now());
  bool crashed = !reachable || WaitForReplacement(record);
  logger_.Info("connections to an upstream broke",
               { { "upstream", record.id },
                 { "requests", std::to_string(requests.size()) },
                 { "reachable", reachable ? "yes" : "no" },
                 { "crashed", crashed ? "yes" : "no" } });
  if (!crashed) {
    return;
  }
  metrics_.upstreamCrashes.Add();
  for (const auto& request : requests) {
    RecordCrash(record, request);
  }
  MarkUseChanged();
}

// An upstream that starts again at once, or before this process resumes, can be
// reached. The directory shows that it is another incarnation.
bool
EntryServices::WaitForReplacement(const platform::Upstream& aRecord)
{
  auto end = Now() + kReplacementTime;
  while (Now() < end) {
    net::Runtime::Sleep(kReplacementPoll);
    auto row = upstreams_.GetAll().find(aRecord.id);
    if (row == upstreams_.GetAll().end()) {
      return !aRecord.draining;
    }
    if (row->second->leaving || row->second->record.draining) {
      return false;
    }
    if (row->second->record.startedMs != aRecord.startedMs) {
      return true;
    }
  }
  return false;
}

void
EntryServices::RecordCrash(const platform::Upstream& aUpstream,
                           const BrokenRequest& aRequest)
{
  bool isCandidate =
    aRequest.writingTime.value_or(Millis(0)) < dispatch::kCrashWindow;
  if (isCandidate) {
    auto incarnation = utils::StableHash(
      aUpstream.id, static_cast<std::uint64_t>(aUpstream.startedMs));
    dispatch::CrashReport report{ aRequest.digest,
                                  incarnation,
                                  HashParts(aRequest.sharedParts),
                                  Now(),
                                  aRequest.hasBegun };
    crashes_.RecordOwnCrash(std::move(report), Now());
  }
  std::string parts;
  for (const auto& part : aRequest.sharedParts) {
    parts += (parts.empty() ? "" : ",") + part;
  }
  logger_.Info(
    "a request ran at an upstream that crashed",
    { { "request", aRequest.attemptId },
      { "digest", FormatDigest(aRequest.digest) },
      { "shared_parts", parts },
      { "upstream", aUpstream.id },
      { "writing_ms",
        aRequest.writingTime ? std::to_string(aRequest.writingTime->value)
                             : std::string() },
      { "may_be_cause", isCandidate ? "yes" : "no" } });
}

// Only an answer that the upstream itself made for a request that ran there
// ends its limit: a refusal, or an answer from something in between, may lack
// the field. One that another incarnation gave says nothing of this one.
void
EntryServices::RecordRateLimit(dispatch::UpstreamState& aUpstream,
                               const platform::UpstreamHead& aHead,
                               Millis aSentAt)
{
  if (aHead.rateLimit || aHead.hasOddRateLimit) {
    metrics_.rateLimitsNamed.Add();
  }
  bool isEnd = !aHead.rateLimit && !aHead.hasOddRateLimit && aHead.stamped &&
               !aHead.notRun;
  if (aHead.misdirected || (!aHead.rateLimit && !isEnd)) {
    return;
  }
  if (aUpstream.rateLimit.Observe(aHead.rateLimit, aSentAt, Now())) {
    MarkUseChanged();
    LogRateLimit(aUpstream, settings_.vm);
  }
}

void
EntryServices::LogRateLimit(const dispatch::UpstreamState& aUpstream,
                            const std::string& aFrom) const
{
  const auto& state = aUpstream.rateLimit.GetState();
  logger_.Info(
    state.rate ? "an upstream limits its rate" : "a rate limit has ended",
    { { "upstream", aUpstream.record.id },
      { "per_second", state.rate ? std::to_string(*state.rate) : "" },
      { "order", std::to_string(state.order) },
      { "from", aFrom },
      { "own_running", std::to_string(aUpstream.own.running) } });
}

bool
EntryServices::TakeUseChange()
{
  return std::exchange(useChanged_, false);
}

} // namespace waxwingyoke::fleet
