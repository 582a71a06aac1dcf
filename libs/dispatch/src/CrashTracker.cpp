#include <dispatch/CrashTracker.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

// Crashes of two upstreams within a minute while the same request ran there
// are unlikely to be a coincidence: a crash ends one batch of requests out of
// thousands.
constexpr std::size_t kCrashesToQuarantineRequest = 2;
constexpr Millis kRetentionTime(60000);
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxRequestsOfCrash = 256;
// Own reports are listed for a few seconds only.
constexpr std::size_t kMaxOwnReports = 256;

// Before a crash is used, the entries have time to report which of its parts
// are sound: a notice to another region and one back, with a margin.
constexpr Millis kSettleTime(500);
// Upstreams that crash within this time may have a cause in common, such as
// their rack's power, and count once.
constexpr Millis kCoincidenceTime(100);
// Crashes, at different times, after which a part is quarantined.
constexpr std::size_t kCrashesOfNewPart = 3;
// The same for a part that requests survived before.
constexpr std::size_t kCrashesOfSoundPart = 5;
// A part was sound before if a request with it survived within this time.
constexpr Millis kSoundTime(30000);
// Requests with other parts that have to survive meanwhile: where nothing
// survives, the parts are not the cause.
constexpr std::size_t kOtherSurvivals = 3;
// One request's retries alone don't show that a part of it is the cause.
constexpr std::size_t kRequestsOfPart = 2;
// Share of the unexplained crashes in which a part has to have run: where
// upstreams crash for other reasons, many parts happen to run in some crashes.
constexpr double kMinCoverage = 0.25;
// The same share for a part whose crashes may be a coincidence, and the number
// of crashes that it needs while no request survives.
constexpr double kOutstandingCoverage = 0.7;
constexpr std::size_t kOutstandingCrashes = 5;
// Upper limit of the probability that at least one of the suspected parts ran
// in that many crashes if all of them are sound.
constexpr double kMaxCoincidence = 0.001;
// The quarantine of a part for which other requests survived meanwhile, and of
// one that only stands out because it ran in every crash.
constexpr Millis kQuarantineTime(10LL * 60 * 1000);
constexpr Millis kCautiousQuarantineTime(20000);
constexpr Millis kConfirmationTime(5000);
// Crashes are weighed this often, for this long after the last report.
constexpr Millis kEvaluationInterval(200);
constexpr Millis kEvaluationTime(15000);
constexpr std::size_t kMaxPartsOfReport = 16;
// How often other entries are told that a part in a crash is sound.
constexpr Millis kAnnounceInterval(500);

/** The number of crashes at different times. */
std::size_t
CountRounds(const std::map<std::uint64_t, Millis>& aCrashes)
{
  std::vector<Millis> times;
  std::ranges::transform(aCrashes,
                         std::back_inserter(times),
                         [](const auto& aCrash) { return aCrash.second; });
  std::ranges::sort(times);
  std::size_t rounds = 0;
  Millis last;
  for (auto time : times) {
    if (rounds == 0 || time - last >= kCoincidenceTime) {
      ++rounds;
      last = time;
    }
  }
  return rounds;
}

std::size_t
CountRoundsFrom(std::map<std::uint64_t, Millis> aCrashes, Millis aTime)
{
  std::erase_if(aCrashes,
                [aTime](const auto& aCrash) { return aCrash.second < aTime; });
  return CountRounds(aCrashes);
}

/** The crashes of the first that the second has not. */
std::map<std::uint64_t, Millis>
Subtract(std::map<std::uint64_t, Millis> aCrashes,
         const std::map<std::uint64_t, Millis>& aOthers)
{
  std::erase_if(aCrashes, [&aOthers](const auto& aCrash) {
    return aOthers.contains(aCrash.first);
  });
  return aCrashes;
}

Millis
FindFirst(const std::map<std::uint64_t, Millis>& aCrashes)
{
  return std::ranges::min_element(
           aCrashes, {}, [](const auto& aCrash) { return aCrash.second; })
    ->second;
}

} // namespace

bool
CrashTracker::HasPart(const Crash& aCrash, std::uint64_t aPart)
{
  return std::ranges::any_of(aCrash.requests, [aPart](const auto& aRequest) {
    return std::ranges::find(aRequest.second.parts, aPart) !=
           aRequest.second.parts.end();
  });
}

void
CrashTracker::RemoveExpired(Millis aNow)
{
  std::erase_if(crashes_, [aNow](const auto& aRow) {
    return aNow - aRow.second.at > kRetentionTime;
  });
  std::erase_if(announcedAt_, [aNow](const auto& aRow) {
    return aNow - aRow.second > kRetentionTime;
  });
  quarantine_.RemoveExpired(aNow);
  if (crashes_.empty()) {
    suspectParts_.clear();
    suspectRequests_.clear();
  }
}

void
CrashTracker::RecordCrash(CrashReport aReport, Millis aNow)
{
  RemoveExpired(aNow);
  if (crashes_.size() >= kMaxCrashes && !crashes_.contains(aReport.upstream)) {
    crashes_.erase(std::ranges::min_element(
      crashes_, {}, [](const auto& aRow) { return aRow.second.at; }));
  }
  auto [row, isNew] = crashes_.try_emplace(aReport.upstream);
  auto& crash = row->second;
  // The earliest report comes closest to the crash itself.
  crash.at = isNew ? aReport.crashedAt : std::min(crash.at, aReport.crashedAt);
  bool isFull = crash.requests.size() >= kMaxRequestsOfCrash;
  if (isFull || crash.requests.contains(aReport.request)) {
    return;
  }
  suspectRequests_.insert(aReport.request);
  suspectParts_.insert(aReport.parts.begin(), aReport.parts.end());
  std::ranges::for_each(aReport.parts,
                        [&](auto aPart) { AnnounceIfSound(aPart, aNow); });
  Crash::Request request{ std::move(aReport.parts), aReport.hasBegun };
  crash.requests.emplace(aReport.request, std::move(request));
  ++crash.reports;
  lastRecordedAt_ = aNow;
}

void
CrashTracker::RecordOwnCrash(CrashReport aReport, Millis aNow)
{
  // Keeps the parts that may be the cause where there are too many to send.
  std::stable_partition(
    aReport.parts.begin(), aReport.parts.end(), [&](std::uint64_t aPart) {
      return !WasSound(aPart, aNow);
    });
  aReport.parts.resize(std::min(aReport.parts.size(), kMaxPartsOfReport));
  if (ownReports_.size() >= kMaxOwnReports) {
    ownReports_.pop_front();
  }
  ownReports_.push_back(aReport);
  RecordCrash(std::move(aReport), aNow);
}

void
CrashTracker::RecordSurvival(std::uint64_t aRequest,
                             const std::vector<std::uint64_t>& aParts,
                             Millis aNow)
{
  sound_.RecordRun(aParts, aNow);
  if (!aParts.empty()) {
    survivals_.RecordOwn(aNow);
  }
  if (suspectRequests_.erase(aRequest) > 0) {
    for (auto& [upstream, crash] : crashes_) {
      crash.requests.erase(aRequest);
    }
  }
  for (auto part : aParts) {
    ReleaseIfSound({ part, aNow }, aNow);
    if (suspectParts_.contains(part)) {
      AnnounceIfSound(part, aNow);
    }
  }
}

void
CrashTracker::ApplySoundPart(const SoundPart& aPart, Millis aNow)
{
  sound_.Apply(aPart);
  ReleaseIfSound(aPart, aNow);
}

void
CrashTracker::ReleaseIfSound(const SoundPart& aPart, Millis aNow)
{
  if (quarantine_.RecordSurvival(aPart.part, aPart.survivedAt, aNow)) {
    released_.push_back(aPart.part);
  }
}

std::vector<std::uint64_t>
CrashTracker::TakeReleased()
{
  return std::exchange(released_, {});
}

bool
CrashTracker::IsKnownSound(std::uint64_t aRequest,
                           const std::vector<std::uint64_t>& aParts,
                           Millis aNow) const
{
  return !suspectRequests_.contains(aRequest) &&
         std::ranges::all_of(
           aParts, [&](std::uint64_t aPart) { return WasSound(aPart, aNow); });
}

bool
CrashTracker::WasSound(std::uint64_t aPart, Millis aNow) const
{
  auto last = sound_.FindLastRun(aPart);
  return last && aNow - *last < kSoundTime;
}

void
CrashTracker::AnnounceIfSound(std::uint64_t aPart, Millis aNow)
{
  auto announced = announcedAt_.find(aPart);
  bool isRecent = announced != announcedAt_.end() &&
                  aNow - announced->second < kAnnounceInterval;
  if (!isRecent && WasSound(aPart, aNow)) {
    announcedAt_[aPart] = aNow;
  }
}

// A crash in which a quarantined part ran needs no other cause.
bool
CrashTracker::IsExplained(const Crash& aCrash) const
{
  return std::ranges::any_of(aCrash.requests, [&](const auto& aRequest) {
    return quarantine_.Explains(aRequest.second.parts, aCrash.at);
  });
}

bool
CrashTracker::IsRequestQuarantined(std::uint64_t aRequest, Millis aNow) const
{
  if (!suspectRequests_.contains(aRequest)) {
    return false;
  }
  auto count = std::ranges::count_if(crashes_, [&](const auto& aRow) {
    const auto& crash = aRow.second;
    return aNow - crash.at <= kRetentionTime &&
           crash.requests.contains(aRequest) && !IsExplained(crash);
  });
  return static_cast<std::size_t>(count) >= kCrashesToQuarantineRequest;
}

bool
CrashTracker::Suspect::Covers(const Suspect& aOther) const
{
  return std::ranges::all_of(aOther.crashes, [this](const auto& aCrash) {
    return crashes.contains(aCrash.first);
  });
}

// Of parts that ran in the same crashes, a rare one is the likelier cause: a
// common one is likely to have run beside it.
bool
CrashTracker::Suspect::IsWorse(const Suspect& aOther) const
{
  return std::tuple(
           crashes.size(), begunCrashes.size(), aOther.requests.size()) >
         std::tuple(
           aOther.crashes.size(), aOther.begunCrashes.size(), requests.size());
}

void
CrashTracker::AddToSuspects(std::uint64_t aUpstream,
                            const Crash& aCrash,
                            Suspects& aSuspects) const
{
  for (const auto& [hash, request] : aCrash.requests) {
    for (auto part : request.parts) {
      auto& suspect = aSuspects[part];
      suspect.crashes[aUpstream] = aCrash.at;
      suspect.requests.insert(hash);
      if (request.hasBegun) {
        suspect.begunCrashes.insert(aUpstream);
      }
    }
  }
}

CrashTracker::Suspects
CrashTracker::CollectSuspects(Millis aNow) const
{
  Suspects suspects;
  for (const auto& [upstream, crash] : crashes_) {
    if (aNow - crash.at >= kSettleTime && !IsExplained(crash)) {
      AddToSuspects(upstream, crash, suspects);
    }
  }
  return suspects;
}

// In which share of the unexplained crashes since its first one the part ran.
double
CrashTracker::GetCoverage(const Suspect& aSuspect, Millis aNow) const
{
  auto first = FindFirst(aSuspect.crashes);
  auto all = std::ranges::count_if(crashes_, [&](const auto& aRow) {
    const auto& crash = aRow.second;
    return crash.at >= first && aNow - crash.at >= kSettleTime &&
           !IsExplained(crash);
  });
  return static_cast<double>(aSuspect.crashes.size()) /
         static_cast<double>(std::max<std::ptrdiff_t>(all, 1));
}

// Estimates, since the part's first crash, which share of the requests crashes
// with another cause broke off. Crashes in which the part ran are left out: it
// may have caused them.
double
CrashTracker::EstimateCrashShare(const Suspect& aSuspect, Millis aNow) const
{
  auto first = FindFirst(aSuspect.crashes);
  double broken = 0;
  for (const auto& [upstream, crash] : crashes_) {
    bool counts = crash.at >= first && aNow - crash.at >= kSettleTime &&
                  !aSuspect.crashes.contains(upstream) && !IsExplained(crash);
    broken += counts ? static_cast<double>(crash.reports) : 0;
  }
  auto survived = static_cast<double>(survivals_.CountFrom(first));
  // Half a run of each outcome is added, as few runs say little.
  return (broken + 0.5) / (broken + survived + 1);
}

// Where many requests are broken off for other reasons, some parts of sound
// ones run in several crashes in a row.
bool
CrashTracker::IsCoincidence(const Suspects& aSuspects,
                            const Suspect& aSuspect,
                            std::size_t aRounds,
                            Millis aNow) const
{
  auto chance =
    std::pow(EstimateCrashShare(aSuspect, aNow), static_cast<double>(aRounds));
  return chance * static_cast<double>(aSuspects.size()) > kMaxCoincidence;
}

// The crashes of a part that survived before, less those that a part which
// never did may have caused.
CrashTracker::Suspect
CrashTracker::LeaveUnexplained(const Suspects& aSuspects,
                               const Suspect& aSuspect,
                               Millis aNow) const
{
  auto left = aSuspect;
  for (const auto& [part, other] : aSuspects) {
    if (other.crashes.size() < 2 || WasSound(part, aNow)) {
      continue;
    }
    left.crashes = Subtract(std::move(left.crashes), other.crashes);
  }
  return left;
}

// The shortest quarantine that the evidence against a part allows; empty if it
// does not suffice.
std::optional<Millis>
CrashTracker::WeighEvidence(const Suspects& aSuspects,
                            std::uint64_t aPart,
                            Millis aNow) const
{
  const auto& suspect = aSuspects.at(aPart);
  bool isRare = suspect.crashes.size() < kCrashesOfNewPart ||
                suspect.requests.size() < kRequestsOfPart;
  if (isRare) {
    return std::nullopt;
  }
  auto since = FindFirst(suspect.crashes);
  auto lastRun = sound_.FindLastRun(aPart);
  bool wasSound = WasSound(aPart, aNow);
  std::size_t rounds = 0;
  if (wasSound) {
    since = std::max(since, *lastRun);
    rounds = CountRoundsFrom(LeaveUnexplained(aSuspects, suspect, aNow).crashes,
                             since);
  } else {
    rounds = CountRounds(suspect.crashes);
  }
  auto needed = wasSound ? kCrashesOfSoundPart : kCrashesOfNewPart;
  auto coverage = rounds < needed ? 0 : GetCoverage(suspect, aNow);
  if (coverage < kMinCoverage) {
    return std::nullopt;
  }
  bool othersSurvive = sound_.CountRunsAfter(since) >= kOtherSurvivals;
  if (othersSurvive && !IsCoincidence(aSuspects, suspect, rounds, aNow)) {
    return kQuarantineTime;
  }
  auto outstanding = othersSurvive ? kCrashesOfNewPart : kOutstandingCrashes;
  bool standsOut = !lastRun && suspect.crashes.size() >= outstanding &&
                   coverage >= kOutstandingCoverage;
  return standsOut ? std::optional(kCautiousQuarantineTime) : std::nullopt;
}

// Whether another part that no request has survived with since ran in the same
// crashes. A later crash mostly tells them apart.
bool
CrashTracker::IsAmbiguous(const Suspects& aSuspects,
                          std::uint64_t aPart,
                          const Suspect& aSuspect) const
{
  if (CountRounds(aSuspect.crashes) >= kCrashesOfSoundPart) {
    return false;
  }
  auto first = FindFirst(aSuspect.crashes);
  return std::ranges::any_of(aSuspects, [&](const auto& aOther) {
    const auto& [part, other] = aOther;
    auto lastRun = sound_.FindLastRun(part);
    bool isSound = lastRun && *lastRun >= first - kSoundTime;
    return part != aPart && !isSound && other.Covers(aSuspect) &&
           other.begunCrashes.size() >= aSuspect.begunCrashes.size();
  });
}

std::optional<QuarantinedPart>
CrashTracker::QuarantineWorst(Millis aNow)
{
  auto suspects = CollectSuspects(aNow);
  std::optional<std::uint64_t> worst;
  std::optional<Millis> shortest;
  for (const auto& [part, suspect] : suspects) {
    bool isWorse = !worst || suspect.IsWorse(suspects[*worst]);
    auto evidence =
      isWorse ? WeighEvidence(suspects, part, aNow) : std::optional<Millis>();
    if (evidence && !IsAmbiguous(suspects, part, suspect)) {
      worst = part;
      shortest = evidence;
    }
  }
  return worst ? std::optional(quarantine_.Impose(*worst, *shortest, aNow))
               : std::nullopt;
}

// A part on probation that ran in a crash since needs no further evidence.
std::optional<QuarantinedPart>
CrashTracker::QuarantineAgain(Millis aNow)
{
  for (const auto& row : crashes_) {
    const auto& crash = row.second;
    for (const auto& [hash, request] : crash.requests) {
      auto again =
        std::ranges::find_if(request.parts, [&](std::uint64_t aPart) {
          return quarantine_.HasRelapsed(aPart, crash.at, aNow);
        });
      if (again != request.parts.end()) {
        return quarantine_.Impose(*again, kCautiousQuarantineTime, aNow);
      }
    }
  }
  return std::nullopt;
}

// Whether upstreams crash half as often, at most, since the part is quarantined
// as they did while it ran in their crashes.
bool
CrashTracker::HasHelped(const QuarantinedPart& aPart, Millis aNow) const
{
  auto imposedAt = aPart.until - aPart.duration;
  std::map<std::uint64_t, Millis> before;
  std::map<std::uint64_t, Millis> after;
  for (const auto& [upstream, crash] : crashes_) {
    if (crash.at <= imposedAt && HasPart(crash, aPart.part)) {
      before[upstream] = crash.at;
    } else if (crash.at > imposedAt && !IsExplained(crash)) {
      after[upstream] = crash.at;
    }
  }
  if (before.empty()) {
    return after.empty();
  }
  auto timeBefore = (imposedAt - FindFirst(before)).value;
  auto timeAfter = (aNow - imposedAt).value;
  auto roundsBefore = static_cast<std::int64_t>(CountRounds(before));
  auto roundsAfter = static_cast<std::int64_t>(CountRounds(after));
  return roundsAfter * timeBefore * 2 <= roundsBefore * timeAfter;
}

// A quarantine that was imposed while nothing survived proves right if requests
// survive from then on and upstreams crash less.
std::vector<QuarantinedPart>
CrashTracker::Confirm(Millis aNow)
{
  std::vector<QuarantinedPart> confirmed;
  for (const auto& part : quarantine_.List(aNow)) {
    auto imposedAt = part.until - part.duration;
    bool isProven = part.duration < kQuarantineTime &&
                    aNow - imposedAt >= kConfirmationTime &&
                    sound_.CountRunsAfter(imposedAt) >= kOtherSurvivals &&
                    HasHelped(part, aNow);
    if (isProven) {
      confirmed.push_back(
        { part.part, aNow + kQuarantineTime, kQuarantineTime });
      quarantine_.Apply(confirmed.back());
    }
  }
  return confirmed;
}

// Where two parts ran in the same crashes, the wrong one may have been
// quarantined first, or another entry may have decided otherwise. Once the
// other one is quarantined too and explains more, a part goes free that too few
// crashes are left for.
void
CrashTracker::ReleaseExplained(Millis aNow)
{
  auto quarantined = quarantine_.List(aNow);
  if (quarantined.size() < 2) {
    return;
  }
  Suspects suspects;
  for (const auto& [upstream, crash] : crashes_) {
    AddToSuspects(upstream, crash, suspects);
  }
  for (const auto& released : quarantined) {
    auto suspect = suspects.find(released.part);
    bool isExplained =
      suspect != suspects.end() &&
      std::ranges::any_of(quarantined, [&](const QuarantinedPart& aOther) {
        auto other = suspects.find(aOther.part);
        return other != suspects.end() && other != suspect &&
               quarantine_.IsQuarantined(aOther.part, aNow) &&
               other->second.IsWorse(suspect->second) &&
               CountRounds(Subtract(suspect->second.crashes,
                                    other->second.crashes)) < kCrashesOfNewPart;
      });
    if (isExplained && quarantine_.Release(released.part, aNow)) {
      released_.push_back(released.part);
    }
  }
}

std::vector<QuarantinedPart>
CrashTracker::Evaluate(Millis aNow)
{
  std::vector<QuarantinedPart> imposed;
  bool isIdle = crashes_.empty() || aNow - lastRecordedAt_ > kEvaluationTime;
  if (isIdle || aNow - evaluatedAt_ < kEvaluationInterval) {
    return imposed;
  }
  evaluatedAt_ = aNow;
  while (auto part = QuarantineAgain(aNow)) {
    imposed.push_back(*part);
  }
  // Each part that is found explains crashes that others are suspected for.
  while (auto part = QuarantineWorst(aNow)) {
    imposed.push_back(*part);
  }
  ReleaseExplained(aNow);
  std::ranges::copy(Confirm(aNow), std::back_inserter(imposed));
  return imposed;
}

std::vector<CrashReport>
CrashTracker::ListReportsSince(Millis aSince) const
{
  std::vector<CrashReport> reports;
  std::ranges::copy_if(ownReports_,
                       std::back_inserter(reports),
                       [aSince](const CrashReport& aReport) {
                         return aReport.crashedAt >= aSince;
                       });
  return reports;
}

std::vector<SoundPart>
CrashTracker::ListSoundSince(Millis aSince) const
{
  std::vector<SoundPart> parts;
  for (const auto& [part, at] : announcedAt_) {
    auto lastRun = sound_.FindLastRun(part);
    if (at >= aSince && lastRun) {
      parts.push_back({ part, *lastRun });
    }
  }
  std::ranges::sort(parts, {}, &SoundPart::survivedAt);
  return parts;
}

} // namespace waxwingyoke::dispatch
