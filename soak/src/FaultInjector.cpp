#include "FaultInjector.h"

#include <algorithm>
#include <array>
#include <csignal>

#include <net/Runtime.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

struct FaultName
{
  FaultKind kind;
  const char* name;
};

constexpr std::array kFaultNames{
  FaultName{ FaultKind::LinkDelay, "link_delay" },
  FaultName{ FaultKind::LinkCut, "link_cut" },
  FaultName{ FaultKind::LinkHoldToTarget, "link_hold_to_target" },
  FaultName{ FaultKind::LinkHoldToClient, "link_hold_to_client" },
  FaultName{ FaultKind::LinkSilence, "link_silence" },
  FaultName{ FaultKind::LinkCutAnswers, "link_cut_answers" },
  FaultName{ FaultKind::Pause, "pause" },
  FaultName{ FaultKind::Kill, "kill" },
  FaultName{ FaultKind::Terminate, "terminate" },
  FaultName{ FaultKind::LogUnavailable, "log_away" },
  FaultName{ FaultKind::Publish, "publish" },
  FaultName{ FaultKind::RotateKey, "rotate_key" },
  FaultName{ FaultKind::NameVersion, "name_version" },
  FaultName{ FaultKind::UpstreamBreaksStreams, "upstream_breaks" },
  FaultName{ FaultKind::UpstreamDropsAnswers, "upstream_loses" },
  FaultName{ FaultKind::UpstreamFailsRequests, "upstream_fails" },
  FaultName{ FaultKind::UpstreamFull, "upstream_full" },
  FaultName{ FaultKind::Drain, "drain" },
  FaultName{ FaultKind::DamagePiece, "damage_piece" },
};
static_assert(kFaultNames.size() == static_cast<std::size_t>(FaultKind::Count));

// Interval between the starts of two faults, and a fault's duration. The ranges
// make several faults overlap most of the time.
constexpr std::int64_t kMinIntervalMs = 100;
constexpr std::int64_t kMaxIntervalMs = 700;
constexpr std::int64_t kMinDurationMs = 200;
constexpr std::int64_t kMaxDurationMs = 2500;
constexpr Millis kPollInterval(20);
constexpr std::uint32_t kDelayMs = 300;
constexpr std::uint32_t kCutPerMille = 200;
// The bit of a fault's draw that decides how an upstream ends a stream that it
// breaks off; other bits pick the upstream.
constexpr int kEndBrokenResponseBit = 32;
// The bit that decides whether the log comes back from a copy.
constexpr int kRestoreLogBit = 33;
// Age of the copy when the log goes away, and the time that the operator and
// the upstreams take to write again after the log is back.
constexpr Millis kCopyAge(1000);
constexpr Millis kRewriteDelay(300);
// Connections that a link silenced stay silent after the fault, until their
// ends replace them.
constexpr Millis kSilenceEffectTime(3000);
// The mix of a seed, by its remainder. The seeds that were listed in SEEDS.txt
// before the other mixes existed keep the usual one.
constexpr std::array kMixes{ FaultMix::Both,        FaultMix::Usual,
                             FaultMix::Suspensions, FaultMix::Usual,
                             FaultMix::Usual,       FaultMix::Both,
                             FaultMix::Suspensions, FaultMix::Both,
                             FaultMix::Both,        FaultMix::CrashParts,
                             FaultMix::Suspensions, FaultMix::Usual,
                             FaultMix::CrashParts,  FaultMix::Both,
                             FaultMix::Suspensions, FaultMix::Both };
// Of these remainders the usual mix is replaced, by another divisor.
constexpr std::uint64_t kRateLimitDivisor = 32;
constexpr std::array<std::uint64_t, 3> kRateLimitRemainders{ 17, 19, 27 };

/** Seeds with silences of upstreams, and the faults beside them. */
struct SilenceMix
{
  std::uint64_t remainder;
  FaultMix beside;
};

constexpr std::uint64_t kSilenceDivisor = 32;
constexpr std::array kSilenceMixes{ SilenceMix{ 4, FaultMix::Usual },
                                    SilenceMix{ 6, FaultMix::Suspensions },
                                    SilenceMix{ 8, FaultMix::RateLimits },
                                    SilenceMix{ 22, FaultMix::OnlySilences },
                                    SilenceMix{ 23, FaultMix::RateLimits },
                                    SilenceMix{ 30, FaultMix::Suspensions } };

// Seeds in which engines accept orders late, beside the faults of the seed's
// mix.
constexpr std::uint64_t kLateOrderDivisor = 32;
constexpr std::array<std::uint64_t, 4> kLateOrderRemainders{ 3, 5, 13, 26 };

/** Null if the seed has none. */
const SilenceMix*
FindSilenceMix(std::uint64_t aSeed)
{
  const auto* found = std::ranges::find(
    kSilenceMixes, aSeed % kSilenceDivisor, &SilenceMix::remainder);
  return found == kSilenceMixes.end() ? nullptr : found;
}

std::int64_t
Draw(std::mt19937_64& aRandom, std::int64_t aFrom, std::int64_t aTo)
{
  return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(aRandom);
}

} // namespace

FaultInjector::FaultInjector(SoakBed& aBed,
                             Callers& aCallers,
                             InvariantChecker& aChecker,
                             VersionLimitCheck& aVersionLimit)
  : bed_(aBed)
  , callers_(aCallers)
  , checker_(aChecker)
  , versionLimit_(aVersionLimit)
  , processes_(aBed, aChecker, aVersionLimit)
  , random_(aBed.options.seed)
  , suspensions_(aBed, processes_, aChecker, aVersionLimit, injectedCounts_)
  , crashParts_(aBed,
                aCallers,
                processes_,
                aChecker,
                aVersionLimit,
                injectedCounts_)
  , rateLimits_(aBed, processes_, aChecker, injectedCounts_)
  , silences_(aBed, aChecker, injectedCounts_)
  , lateOrders_(
      aBed,
      [this] { suspensions_.NameVersion(); },
      injectedCounts_)
{
}

bool
FaultInjector::HasLateOrders() const
{
  return std::ranges::find(kLateOrderRemainders,
                           bed_.options.seed % kLateOrderDivisor) !=
         kLateOrderRemainders.end();
}

FaultMix
FaultInjector::PickMix() const
{
  auto seed = bed_.options.seed;
  if (const auto* silences = FindSilenceMix(seed)) {
    return silences->beside;
  }
  bool isRateLimits =
    std::ranges::find(kRateLimitRemainders, seed % kRateLimitDivisor) !=
    kRateLimitRemainders.end();
  return isRateLimits ? FaultMix::RateLimits : kMixes[seed % kMixes.size()];
}

void
FaultInjector::Run(net::Runtime& aRuntime, Millis aEnd)
{
  if (FindSilenceMix(bed_.options.seed) != nullptr) {
    ++running_;
    aRuntime.Spawn([this, &aRuntime, aEnd] {
      silences_.Run(aRuntime, aEnd);
      --running_;
    });
  }
  if (HasLateOrders()) {
    ++running_;
    aRuntime.Spawn([this, aEnd] {
      lateOrders_.Run(aEnd);
      --running_;
    });
  }
  InjectMix(aRuntime, aEnd, PickMix());
  while (running_ > 0) {
    net::Runtime::Sleep(kPollInterval);
  }
  bed_.SetLink({});
}

void
FaultInjector::InjectMix(net::Runtime& aRuntime, Millis aEnd, FaultMix aMix)
{
  if (aMix == FaultMix::RateLimits) {
    rateLimits_.Run(aRuntime, aEnd);
  } else if (aMix == FaultMix::CrashParts) {
    crashParts_.Run(aRuntime, aEnd);
  }
  if (aMix == FaultMix::Suspensions || aMix == FaultMix::Both) {
    ++running_;
    aRuntime.Spawn([this, &aRuntime, aEnd] {
      suspensions_.Run(aRuntime, aEnd);
      --running_;
    });
  }
  if (aMix == FaultMix::Usual || aMix == FaultMix::Both) {
    InjectUsual(aRuntime, aEnd);
  }
}

void
FaultInjector::InjectUsual(net::Runtime& aRuntime, Millis aEnd)
{
  while (clock_.Now() < aEnd) {
    const auto& fault = kFaultNames[random_() % kFaultNames.size()];
    auto draw = random_();
    Millis duration(Draw(random_, kMinDurationMs, kMaxDurationMs));
    ++injectedCounts_[fault.name];
    ++running_;
    aRuntime.Spawn([this, &fault, draw, duration] {
      auto begin = clock_.Now();
      Inject(fault.kind, draw, duration);
      // A graceful stop must not cut requests, so it is not recorded as a fault
      // that excuses a cut.
      if (fault.kind != FaultKind::Terminate) {
        bool isOfProcess =
          fault.kind == FaultKind::Pause || fault.kind == FaultKind::Kill;
        checker_.RecordFault({ fault.name, begin, clock_.Now(), isOfProcess });
      }
      --running_;
    });
    net::Runtime::Sleep(Millis(Draw(random_, kMinIntervalMs, kMaxIntervalMs)));
  }
}

void
FaultInjector::Inject(FaultKind aKind, std::uint64_t aDraw, Millis aDuration)
{
  switch (aKind) {
    case FaultKind::LinkDelay:
    case FaultKind::LinkCut:
    case FaultKind::LinkHoldToTarget:
    case FaultKind::LinkHoldToClient:
    case FaultKind::LinkSilence:
    case FaultKind::LinkCutAnswers:
      InjectLinkFault(aKind, aDraw, aDuration);
      break;
    case FaultKind::Pause:
    case FaultKind::Kill:
    case FaultKind::Terminate:
      InjectProcessFault(aKind, aDraw, aDuration);
      break;
    case FaultKind::LogUnavailable:
      MakeLogUnavailable(aDraw, aDuration);
      break;
    case FaultKind::Publish:
      bed_.Publish();
      break;
    case FaultKind::RotateKey:
      RotateKey();
      break;
    case FaultKind::NameVersion:
      suspensions_.NameVersion();
      break;
    default:
      InjectUpstreamFault(aKind, aDraw, aDuration);
      break;
  }
}

void
FaultInjector::InjectLinkFault(FaultKind aKind,
                               std::uint64_t aDraw,
                               Millis aDuration)
{
  fakes::LinkFaults faults;
  const auto& links = bed_.GetLinks();
  faults.set_listen(links[aDraw % links.size()]);
  faults.set_delay_ms(aKind == FaultKind::LinkDelay ? kDelayMs : 0);
  faults.set_cut(aKind == FaultKind::LinkCut);
  faults.set_hold_to_target(aKind == FaultKind::LinkHoldToTarget);
  faults.set_hold_to_client(aKind == FaultKind::LinkHoldToClient);
  faults.set_silence_open(aKind == FaultKind::LinkSilence);
  faults.set_cut_answers_per_mille(
    aKind == FaultKind::LinkCutAnswers ? kCutPerMille : 0);
  auto begin = clock_.Now();
  bed_.SetLink(faults);
  net::Runtime::Sleep(aDuration);
  fakes::LinkFaults noFaults;
  noFaults.set_listen(faults.listen());
  bed_.SetLink(noFaults);
  auto effectTime =
    aKind == FaultKind::LinkSilence ? kSilenceEffectTime : Millis(0);
  versionLimit_.RecordDisruption(begin, clock_.Now() + effectTime);
}

void
FaultInjector::InjectProcessFault(FaultKind aKind,
                                  std::uint64_t aDraw,
                                  Millis aDuration)
{
  auto daemon = aDraw % processes_.CountDaemons();
  switch (aKind) {
    case FaultKind::Pause:
      processes_.Suspend(daemon, aDuration);
      break;
    case FaultKind::Kill:
      processes_.Restart(daemon, SIGKILL, aDuration);
      break;
    default:
      processes_.Restart(daemon, SIGTERM, aDuration);
      break;
  }
}

// Every other time the log comes back from a copy made before it went away and
// loses what it acknowledged since.
void
FaultInjector::MakeLogUnavailable(std::uint64_t aDraw, Millis aDuration)
{
  bool restores = (aDraw >> kRestoreLogBit & 1) != 0 && !isLogCopyInUse_;
  if (restores) {
    isLogCopyInUse_ = true;
    bed_.log.TakeCopy();
    net::Runtime::Sleep(kCopyAge);
  }
  auto begin = clock_.Now();
  bed_.log.SetUnavailable(true);
  net::Runtime::Sleep(aDuration);
  if (restores) {
    bed_.log.RestoreCopy();
  }
  bed_.log.SetUnavailable(false);
  if (restores) {
    ++injectedCounts_["log_restored"];
    net::Runtime::Sleep(kRewriteDelay);
    bed_.WriteAgain();
    isLogCopyInUse_ = false;
  }
  versionLimit_.RecordDisruption(begin, clock_.Now());
}

// Adds a key and revokes the oldest one, which callers use for a while yet.
void
FaultInjector::RotateKey()
{
  auto& keys = bed_.activeKeys;
  auto added = "key" + std::to_string(++keysMade_);
  keys.push_back(added);
  auto revoked = keys.front();
  keys.erase(keys.begin());
  bed_.Publish();
  checker_.RecordRevocation(revoked, clock_.Now());
  // Callers use the new key once the configuration must be applied: the 2 s
  // that settings without ConfigApplyMs have, and a margin.
  constexpr Millis kConfigApplyTime(2500);
  net::Runtime::Sleep(kConfigApplyTime);
  constexpr std::size_t kMaxKeys = 6;
  callers_.keys.push_back(added);
  if (callers_.keys.size() > kMaxKeys) {
    callers_.keys.erase(callers_.keys.begin());
  }
}

void
FaultInjector::InjectUpstreamFault(FaultKind aKind,
                                   std::uint64_t aDraw,
                                   Millis aDuration)
{
  auto index = aDraw % bed_.upstreams.size();
  auto& upstream = *bed_.upstreams[index];
  auto& faults = upstream.faults;
  switch (aKind) {
    case FaultKind::UpstreamBreaksStreams:
      faults.breakAfterEvents = 2;
      faults.endBrokenResponse = (aDraw >> kEndBrokenResponseBit & 1) != 0;
      break;
    case FaultKind::UpstreamDropsAnswers:
      faults.dropAnswers = true;
      break;
    case FaultKind::UpstreamFailsRequests:
      faults.failAnswers = true;
      break;
    case FaultKind::UpstreamFull:
      faults.full = true;
      break;
    case FaultKind::Drain:
      bed_.SetDraining(index, true);
      break;
    default:
      upstream.Damage(
        static_cast<std::uint32_t>(aDraw % adapter::FakeOrigin::kPieces));
      break;
  }
  net::Runtime::Sleep(aDuration);
  // A series of suspensions may hold the engine, it may be silent, and it may
  // accept orders late.
  adapter::UpstreamFaults kept;
  kept.refuseOrders = faults.refuseOrders;
  kept.queueTime = faults.queueTime;
  kept.silentAfterEvents = faults.silentAfterEvents;
  kept.silence = faults.silence;
  kept.delayedOrders = faults.delayedOrders;
  kept.orderDelay = faults.orderDelay;
  kept.unansweredOrders = faults.unansweredOrders;
  kept.loadTime = faults.loadTime;
  faults = kept;
  bed_.SetDraining(index, false);
}

} // namespace waxwingyoke::soak
