#include "FaultPlan.h"

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

constexpr std::array kNames{
  FaultName{ FaultKind::LinkDelay, "link_delay" },
  FaultName{ FaultKind::LinkCut, "link_cut" },
  FaultName{ FaultKind::LinkHoldToTarget, "link_hold_to_target" },
  FaultName{ FaultKind::LinkHoldToClient, "link_hold_to_client" },
  FaultName{ FaultKind::LinkSilence, "link_silence" },
  FaultName{ FaultKind::LinkCutAnswers, "link_cut_answers" },
  FaultName{ FaultKind::Pause, "pause" },
  FaultName{ FaultKind::Kill, "kill" },
  FaultName{ FaultKind::Terminate, "terminate" },
  FaultName{ FaultKind::LogAway, "log_away" },
  FaultName{ FaultKind::Publish, "publish" },
  FaultName{ FaultKind::RotateKey, "rotate_key" },
  FaultName{ FaultKind::NameVersion, "name_version" },
  FaultName{ FaultKind::UpstreamBreaks, "upstream_breaks" },
  FaultName{ FaultKind::UpstreamLoses, "upstream_loses" },
  FaultName{ FaultKind::UpstreamFails, "upstream_fails" },
  FaultName{ FaultKind::UpstreamFull, "upstream_full" },
  FaultName{ FaultKind::Drain, "drain" },
  FaultName{ FaultKind::DamagePiece, "damage_piece" },
};
static_assert(kNames.size() == static_cast<std::size_t>(FaultKind::Count));

// Between two faults, and how long one lasts: several overlap at most times.
constexpr std::int64_t kShortestGapMs = 100;
constexpr std::int64_t kLongestGapMs = 700;
constexpr std::int64_t kShortestMs = 200;
constexpr std::int64_t kLongestMs = 2500;
constexpr Millis kPoll(20);
// The grace time and what a start takes.
constexpr Millis kStopTime(6000);
constexpr std::uint32_t kDelayMs = 300;
constexpr std::uint32_t kCutPerMille = 200;

std::int64_t
Draw(std::mt19937_64& aRandom, std::int64_t aFrom, std::int64_t aTo)
{
  return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(aRandom);
}

} // namespace

FaultPlan::FaultPlan(SoakBed& aBed, Callers& aCallers, Ledger& aLedger)
  : bed_(aBed)
  , callers_(aCallers)
  , ledger_(aLedger)
  , random_(aBed.options.seed)
{
}

void
FaultPlan::Run(net::Runtime& aRuntime, Millis aEnd)
{
  while (clock_.Now() < aEnd) {
    const auto& fault = kNames[random_() % kNames.size()];
    auto draw = random_();
    Millis time(Draw(random_, kShortestMs, kLongestMs));
    ++played_[fault.name];
    ++running_;
    aRuntime.Spawn([this, &fault, draw, time] {
      auto begin = clock_.Now();
      Play(fault.kind, draw, time);
      // A stop by itself must cut nothing, so it is no excuse for a cut.
      if (fault.kind != FaultKind::Terminate) {
        ledger_.NoteFault({ fault.name, begin, clock_.Now() });
      }
      --running_;
    });
    net::Runtime::Sleep(Millis(Draw(random_, kShortestGapMs, kLongestGapMs)));
  }
  while (running_ > 0) {
    net::Runtime::Sleep(kPoll);
  }
  bed_.SetLink({});
}

void
FaultPlan::Play(FaultKind aKind, std::uint64_t aDraw, Millis aTime)
{
  switch (aKind) {
    case FaultKind::LinkDelay:
    case FaultKind::LinkCut:
    case FaultKind::LinkHoldToTarget:
    case FaultKind::LinkHoldToClient:
    case FaultKind::LinkSilence:
    case FaultKind::LinkCutAnswers:
      PlayLink(aKind, aDraw, aTime);
      break;
    case FaultKind::Pause:
    case FaultKind::Kill:
    case FaultKind::Terminate:
      PlayProcess(aKind, aDraw, aTime);
      break;
    case FaultKind::LogAway:
      bed_.log.SetAway(true);
      net::Runtime::Sleep(aTime);
      bed_.log.SetAway(false);
      break;
    case FaultKind::Publish:
      bed_.Publish();
      break;
    case FaultKind::RotateKey:
      RotateKey();
      break;
    case FaultKind::NameVersion:
      bed_.NameVersion();
      break;
    default:
      PlayUpstream(aKind, aDraw, aTime);
      break;
  }
}

void
FaultPlan::PlayLink(FaultKind aKind, std::uint64_t aDraw, Millis aTime)
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
  bed_.SetLink(faults);
  net::Runtime::Sleep(aTime);
  fakes::LinkFaults lifted;
  lifted.set_listen(faults.listen());
  bed_.SetLink(lifted);
}

void
FaultPlan::PlayProcess(FaultKind aKind, std::uint64_t aDraw, Millis aTime)
{
  auto count = bed_.entries.size() + bed_.sides.size();
  auto index = aDraw % count;
  bool isEntry = index < bed_.entries.size();
  auto& daemon =
    isEntry ? bed_.entries[index] : bed_.sides[index - bed_.entries.size()];
  if (!daemon.process || !daemon.process->IsRunning()) {
    return;
  }
  if (aKind == FaultKind::Pause) {
    daemon.process->Signal(SIGSTOP);
    net::Runtime::Sleep(aTime);
    daemon.process->Signal(SIGCONT);
    return;
  }
  if (aKind == FaultKind::Kill) {
    daemon.process->Signal(SIGKILL);
  } else {
    if (isEntry) {
      ledger_.NoteStop(index, clock_.Now());
    }
    daemon.process->Signal(SIGTERM);
    daemon.process->WaitForEnd(kStopTime);
  }
  net::Runtime::Sleep(aTime);
  Restart(daemon);
}

void
FaultPlan::Restart(Daemon& aDaemon)
{
  utils::Error reason;
  if (!bed_.StartDaemon(aDaemon, reason)) {
    ledger_.AddViolation("not started: " + reason.detail);
  }
}

// The oldest key goes; callers use it for a while yet.
void
FaultPlan::RotateKey()
{
  auto& keys = bed_.keysInForce;
  auto added = "key" + std::to_string(++keysMade_);
  keys.push_back(added);
  auto revoked = keys.front();
  keys.erase(keys.begin());
  bed_.Publish();
  ledger_.NoteRevoked(revoked, clock_.Now());
  // The new key is used once it must be in force.
  constexpr Millis kInForce(2500);
  net::Runtime::Sleep(kInForce);
  constexpr std::size_t kMostKeys = 6;
  callers_.keys.push_back(added);
  if (callers_.keys.size() > kMostKeys) {
    callers_.keys.erase(callers_.keys.begin());
  }
}

void
FaultPlan::PlayUpstream(FaultKind aKind, std::uint64_t aDraw, Millis aTime)
{
  auto index = aDraw % bed_.upstreams.size();
  auto& upstream = *bed_.upstreams[index];
  auto& faults = upstream.faults;
  switch (aKind) {
    case FaultKind::UpstreamBreaks:
      faults.breakAfterEvents = 2;
      break;
    case FaultKind::UpstreamLoses:
      faults.loseAnswers = true;
      break;
    case FaultKind::UpstreamFails:
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
        static_cast<std::uint32_t>(aDraw % adapter::OriginStandIn::kPieces));
      break;
  }
  net::Runtime::Sleep(aTime);
  faults = {};
  bed_.SetDraining(index, false);
}

} // namespace waxwingyoke::soak
