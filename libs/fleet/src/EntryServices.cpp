#include "EntryServices.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// How long a read of the operator's topic waits, as a share of the time in
// which a configuration takes effect: what the last read proved may be twice
// as old by the end of the next.
constexpr std::int64_t kConfigWaitDivisor = 2;
// While the log fails: soon back after its return, as keys are not trusted
// without it.
constexpr Millis kLongestPause(400);
// Requests that fail together come in within this time; then the upstream is
// asked for a connection.
constexpr Millis kProbeDelay(30);
constexpr Millis kProbeTimeout(400);
// Before the time at which nothing may begin on an older version, work that has
// not begun is taken back: the name took a moment to get here, and closing a
// connection takes another.
constexpr Millis kBeginMargin(400);
// Nothing is sent to an older version so long before it would be taken back:
// the usual objective of a first event.
constexpr Millis kLastSend(500);
// Of the fleet's slack, for all entries together: a second send may arrive in
// another window than it was counted in.
constexpr double kSlackShare = 0.6;
constexpr double kRatioShare = 0.8;
// Notices of other processes come hundreds of times a second; a place that
// they tell of is tried for once in this time.
constexpr Millis kServeInterval(10);

} // namespace

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
            { aSettings.bounds.configApply / kConfigWaitDivisor,
              Millis(0),
              false,
              kLongestPause })
  , metrics_(EntryMetrics::Make())
{
}

ServiceState&
EntryServices::GetService(const std::string& aName)
{
  auto& service = services_[aName];
  auto entries = static_cast<double>(std::max<std::size_t>(entryCount_, 1));
  const auto& bounds = settings_.bounds;
  service.retries.SetTerms({ bounds.retryRatio * kRatioShare,
                             bounds.retrySlack * kSlackShare / entries,
                             bounds.retryWindow });
  return service;
}

const dispatch::EngineModel*
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
    model = std::make_unique<dispatch::EngineModel>(*aService.engine);
  }
  return model.get();
}

dispatch::Trust
EntryServices::GetTrust() const
{
  return dispatch::JudgeAge(
    config_.GetAge(),
    { settings_.bounds.configApply, settings_.bounds.revoke });
}

// Each try to place a request looks at all upstreams.
void
EntryServices::ServeLines()
{
  auto now = Now();
  if (now - linesServedAt_ < kServeInterval) {
    return;
  }
  linesServedAt_ = now;
  std::ranges::for_each(services_,
                        [](auto& aRow) { aRow.second.line.Serve(); });
}

std::uint64_t
EntryServices::FindMinVersion(const std::string& aModel) const
{
  return config_.FindVersionOfAge(
    aModel, settings_.bounds.version - kBeginMargin - kLastSend);
}

std::optional<Millis>
EntryServices::FindTimeToBegin(const std::string& aModel,
                               std::uint64_t aVersion) const
{
  auto succeeded = config_.FindSuccessorTime(aModel, aVersion);
  if (!succeeded) {
    return std::nullopt;
  }
  auto age = config_.Now() - *succeeded;
  return settings_.bounds.version - kBeginMargin - age;
}

void
EntryServices::NoteBroken(const dispatch::UpstreamPointer& aUpstream,
                          std::uint64_t aRequest)
{
  auto& requests = broken_[aUpstream->record.id];
  requests.push_back(aRequest);
  if (requests.size() == 1) {
    runtime_.Spawn([this, aUpstream] { ProbeBroken(aUpstream); });
  }
}

void
EntryServices::ProbeBroken(const dispatch::UpstreamPointer& aUpstream)
{
  net::Runtime::Sleep(kProbeDelay);
  const auto& record = aUpstream->record;
  bool there = GetClient().CanConnect(record.endpoint, kProbeTimeout);
  auto requests = std::move(broken_[record.id]);
  broken_.erase(record.id);
  aUpstream->health.Note(
    there ? dispatch::Outcome::Failed : dispatch::Outcome::Unreachable, Now());
  logger_.Info("connections to an upstream broke",
               { { "upstream", record.id },
                 { "requests", std::to_string(requests.size()) },
                 { "crashed", there ? "no" : "yes" } });
  if (there) {
    return;
  }
  for (auto request : requests) {
    crashes_.Note({ request, aUpstream->hash }, Now());
  }
  NoteUseChange();
}

bool
EntryServices::TakeUseChange()
{
  return std::exchange(useChanged_, false);
}

} // namespace waxwingyoke::fleet
