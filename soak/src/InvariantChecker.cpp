#include "InvariantChecker.h"

#include <algorithm>
#include <array>

#include <Deployment.h>
#include <FakePlatform.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

constexpr int kOk = 200;
// Statuses by which an entry guarantees that the request has not run.
constexpr std::array<int, 4> kNotRunStatuses{ 408, 421, 429, 503 };
// Statuses that a request with a valid key must not receive.
constexpr std::array<int, 3> kDenialStatuses{ 401, 403, 404 };
// Connections are affected for about this long after the end of a fault.
constexpr Millis kFaultEffectTime(1500);
// A run that began this long after its request was sent can end within the
// request's 6 s, the longest silence of 2 s included.
constexpr Millis kLatestRun(3000);

bool
Contains(const auto& aList, int aStatus)
{
  return std::ranges::find(aList, aStatus) != aList.end();
}

} // namespace

const char*
GetPath(RouteKind aKind)
{
  constexpr std::array<const char*, 3> kPaths{ "/stream/", "/once/", "/safe/" };
  return kPaths[static_cast<std::size_t>(aKind)];
}

void
InvariantChecker::AddViolation(const std::string& aText)
{
  violations_.push_back(aText);
}

void
InvariantChecker::RecordRevocation(const std::string& aKey, Millis aNow)
{
  revokedAt_.try_emplace(aKey, aNow);
}

void
InvariantChecker::RecordStop(std::size_t aEntry, Millis aNow)
{
  stops_.push_back({ aEntry, aNow });
}

void
InvariantChecker::RecordAttempt(const Attempt& aAttempt)
{
  attempts_.push_back(aAttempt);
  CheckComplete(aAttempt);
}

void
InvariantChecker::CheckComplete(const Attempt& aAttempt)
{
  if (aAttempt.status != kOk) {
    return;
  }
  bool isStream = aAttempt.route == RouteKind::Stream;
  bool isComplete = isStream
                      ? aAttempt.body == adapter::FakeUpstream::MakeEvents()
                      : aAttempt.body == "by org";
  if (!isComplete) {
    AddViolation("incomplete answer to " + aAttempt.id + ": " + aAttempt.body);
  }
}

// A revoked key must not run requests after the bound, even at an entry that
// the log's changes don't reach.
void
InvariantChecker::CheckRevoked(const Attempt& aAttempt)
{
  auto revoked = revokedAt_.find(aAttempt.key);
  bool isAfterBound =
    revoked != revokedAt_.end() &&
    aAttempt.sentAt > revoked->second + Millis(adapter::kRevokeMs);
  if (isAfterBound && countRuns_(aAttempt.id) > 0) {
    AddViolation("ran with a revoked key: " + aAttempt.id);
  }
}

bool
InvariantChecker::OverlapsFault(Millis aFrom, Millis aTo) const
{
  return std::ranges::any_of(faults_, [&](const FaultPeriod& aFault) {
    return aFault.begin <= aTo && aFault.end + kFaultEffectTime >= aFrom;
  });
}

bool
InvariantChecker::OverlapsCommonFault(Millis aFrom, Millis aTo) const
{
  return std::ranges::any_of(faults_, [&](const FaultPeriod& aFault) {
    return !aFault.isOfProcess && aFault.begin <= aTo &&
           aFault.end + kFaultEffectTime >= aFrom;
  });
}

// A request that was running when its entry received SIGTERM must finish.
void
InvariantChecker::CheckGracefulStop(const Attempt& aAttempt)
{
  bool spansStop = std::ranges::any_of(stops_, [&](const Stop& aStop) {
    return aStop.entry == aAttempt.entry && aAttempt.sentAt < aStop.at &&
           aAttempt.endedAt > aStop.at;
  });
  if (spansStop && aAttempt.status == 0 &&
      !OverlapsFault(aAttempt.sentAt, aAttempt.endedAt) &&
      countRuns_(aAttempt.id) > 0) {
    AddViolation("cut by a graceful stop: " + aAttempt.id);
  }
}

void
InvariantChecker::CheckAtEnd()
{
  for (const auto& attempt : attempts_) {
    auto runs = countRuns_(attempt.id);
    if (attempt.route == RouteKind::Once && runs > 1) {
      AddViolation("ran " + std::to_string(runs) + " times: " + attempt.id);
    }
    if (Contains(kNotRunStatuses, attempt.status) && runs > 0) {
      AddViolation("refused as not run, but ran: " + attempt.id);
    }
    bool isValidKey = !revokedAt_.contains(attempt.key);
    if (Contains(kDenialStatuses, attempt.status) && isValidKey) {
      AddViolation("denied with a valid key: " + attempt.id + " " +
                   std::to_string(attempt.status));
    }
    CheckRevoked(attempt);
    CheckGracefulStop(attempt);
  }
}

/** The entry that each request was sent to, by attempt. */
std::map<std::string, std::size_t>
InvariantChecker::MapEntries() const
{
  std::map<std::string, std::size_t> entries;
  for (const auto& attempt : attempts_) {
    entries[attempt.id] = attempt.entry;
  }
  return entries;
}

// The platform's bound: in any window one and a half times the limit, and some
// requests more. It counts from a while after the limit was named.
void
InvariantChecker::CheckRateLimits(const VersionLimitCheck& aStability)
{
  constexpr Millis kWindow(4000);
  constexpr double kTolerance = 1.5;
  constexpr std::ptrdiff_t kSlack = 5;
  auto entries = MapEntries();
  for (const auto& limit : rateLimits_) {
    auto since = limit.begin + VersionLimitCheck::kStable;
    std::vector<Millis> times;
    for (const auto& arrival : limit.arrivals) {
      auto entry = entries.find(arrival.attempt);
      if (arrival.at >= since && arrival.at < limit.end &&
          entry != entries.end() &&
          aStability.IsStable(entry->second, arrival.at)) {
        times.push_back(arrival.at);
      }
    }
    auto seconds = static_cast<double>(kWindow.value) / 1000;
    auto bound =
      static_cast<std::ptrdiff_t>(kTolerance * limit.rate * seconds) + kSlack;
    for (auto first = times.begin(); first != times.end(); ++first) {
      auto count =
        std::lower_bound(first, times.end(), *first + kWindow) - first;
      if (count > bound) {
        AddViolation("got " + std::to_string(count) +
                     " requests in a window with a limit of " +
                     std::to_string(limit.rate) + " a second, allowed " +
                     std::to_string(bound));
        break;
      }
    }
  }
}

bool
InvariantChecker::IsSoundRun(const UpstreamRun& aRun,
                             const Attempt& aAttempt) const
{
  return aRun.at <= aAttempt.sentAt + kLatestRun &&
         std::ranges::none_of(breaks_, [&](const UpstreamPeriod& aBreak) {
           return aBreak.upstream == aRun.upstream &&
                  aBreak.begin <= aAttempt.endedAt && aBreak.end >= aRun.at;
         });
}

bool
InvariantChecker::MeetsSilence(const UpstreamRun& aRun) const
{
  return std::ranges::any_of(silences_, [&](const UpstreamPeriod& aSilence) {
    return aSilence.upstream == aRun.upstream && aSilence.begin <= aRun.at &&
           aSilence.end > aRun.at;
  });
}

bool
InvariantChecker::IsExemptFromSilences(
  const Attempt& aAttempt,
  const std::vector<UpstreamRun>& aRuns,
  const VersionLimitCheck& aStability) const
{
  if (OverlapsCommonFault(aAttempt.sentAt, aAttempt.endedAt) ||
      !aStability.IsUndisturbed(
        aAttempt.entry, aAttempt.sentAt - kFaultEffectTime, aAttempt.endedAt)) {
    return true;
  }
  // An entry can't prove that a request has not run which an upstream kept
  // waiting until its version's limit.
  if (aRuns.empty()) {
    return std::ranges::any_of(holds_, [&](const FaultPeriod& aHold) {
      return aHold.begin <= aAttempt.endedAt && aHold.end >= aAttempt.sentAt;
    });
  }
  return std::ranges::none_of(
    aRuns, [&](const UpstreamRun& aRun) { return IsSoundRun(aRun, aAttempt); });
}

std::string
InvariantChecker::Describe(const Attempt& aAttempt,
                           const std::vector<UpstreamRun>& aRuns)
{
  auto text = aAttempt.id + " " + GetPath(aAttempt.route) + " " +
              std::to_string(aAttempt.status) + " after " +
              std::to_string((aAttempt.endedAt - aAttempt.sentAt).value) +
              " ms, entry " + std::to_string(aAttempt.entry);
  for (const auto& run : aRuns) {
    text += ", ran at " + run.upstream + " after " +
            std::to_string((run.at - aAttempt.sentAt).value) + " ms";
  }
  return text;
}

int
InvariantChecker::CheckSilences(const VersionLimitCheck& aStability,
                                const std::vector<EngineRecords>& aUpstreams)
{
  if (silences_.empty()) {
    return 0;
  }
  std::map<std::string, std::vector<UpstreamRun>> runs;
  for (const auto& upstream : aUpstreams) {
    for (const auto& start : upstream.starts) {
      runs[start.attempt].push_back({ upstream.id, start.at });
    }
  }
  int silent = 0;
  for (const auto& attempt : attempts_) {
    const auto& own = runs[attempt.id];
    if (IsExemptFromSilences(attempt, own, aStability)) {
      continue;
    }
    silent += std::ranges::any_of(
      own, [this](const auto& aRun) { return MeetsSilence(aRun); });
    // Other checks cover what was refused and what was denied.
    if (attempt.status != kOk && !Contains(kNotRunStatuses, attempt.status) &&
        !Contains(kDenialStatuses, attempt.status)) {
      AddViolation("failed without a fault but silences: " +
                   Describe(attempt, own));
    }
  }
  return silent;
}

void
InvariantChecker::CheckVersionLimit(const VersionLimitCheck& aLimit,
                                    const std::vector<EngineRecords>& aEngines)
{
  auto entries = MapEntries();
  for (const auto& engine : aEngines) {
    for (const auto& start : engine.starts) {
      auto entry = entries.find(start.attempt);
      if (entry == entries.end()) {
        AddViolation("ran without a caller: " + start.attempt);
      } else if (aLimit.IsTooLate(start, entry->second)) {
        AddViolation(aLimit.Describe(start, entry->second, engine.id));
      }
    }
  }
}

int
InvariantChecker::Count(int aStatus) const
{
  return static_cast<int>(
    std::ranges::count(attempts_, aStatus, &Attempt::status));
}

} // namespace waxwingyoke::soak
