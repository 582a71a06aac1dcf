#include "Steps.h"

#include <algorithm>

#include <net/Runtime.h>

namespace waxwingyoke::matrix {

namespace {

using bed::Bed;
using bed::BedNode;
using bed::Service;
using utils::Millis;

const std::vector<CallKind> kAllKinds{ CallKind::Idempotent,
                                       CallKind::Keyed,
                                       CallKind::Unkeyed,
                                       CallKind::Streaming };
constexpr Millis kExitTimeout(40000);
constexpr Millis kStartTimeout(15000);

void
DoNothing(Cell&)
{
}

void
PublishProfiles(Cell& aCell)
{
  aCell.PublishAndWait(true);
}

// Limits the sources of weights, so that the faults occur during the transfer.
void
ThrottleSources(Cell& aCell)
{
  constexpr std::uint64_t kBytesPerSecond = 1 << 20;
  fakes::Faults faults;
  faults.mutable_store()->set_bytes_per_s(kBytesPerSecond);
  aCell.bed.SetFaults(Service::Store, faults);
  aCell.bed.SetFaults(Service::Origin, faults);
}

void
RestoreSources(Cell& aCell)
{
  aCell.bed.SetFaults(Service::Store, {});
  aCell.bed.SetFaults(Service::Origin, {});
}

void
SleepRandomly(Cell& aCell)
{
  constexpr std::uint64_t kMaxPauseMs = 200;
  net::Runtime::Sleep(
    Millis(static_cast<std::int64_t>(aCell.random() % kMaxPauseMs)));
}

void
StartChange(Cell& aCell)
{
  aCell.StartChange(aCell.MakeVersion());
}

// The change is published during the fault.
Step
MakePublish()
{
  return { "publish",      kAllKinds,    &PublishProfiles,
           &SleepRandomly, &StartChange, &DoNothing,
           false };
}

Step
MakeSpread()
{
  auto prepare = [](Cell& aCell) {
    aCell.PublishAndWait(false);
    ThrottleSources(aCell);
  };
  auto start = [](Cell& aCell) {
    StartChange(aCell);
    Bed::WaitFor(
      [&] {
        auto counters = aCell.bed.GetCounters(Service::Store);
        auto origin = aCell.bed.GetCounters(Service::Origin);
        return (counters && counters->bytes_served() > 0) ||
               (origin && origin->bytes_served() > 0);
      },
      kStartTimeout);
    SleepRandomly(aCell);
  };
  return { "spread",   kAllKinds,       prepare, start,
           &DoNothing, &RestoreSources, false };
}

bool
IsAnyLoading(Cell& aCell)
{
  return std::ranges::any_of(aCell.bed.GetEngineSides(),
                             [&](const BedNode* aSide) {
                               auto state = aCell.bed.GetEngineState(*aSide);
                               return state && state->loading();
                             });
}

Step
MakeLoad()
{
  auto start = [](Cell& aCell) {
    StartChange(aCell);
    Bed::WaitFor([&] { return IsAnyLoading(aCell); }, kStartTimeout);
  };
  auto prepare = [](Cell& aCell) { aCell.PublishAndWait(false); };
  return { "load", kAllKinds, prepare, start, &DoNothing, &DoNothing, false };
}

Step
MakeSwitchOver()
{
  auto start = [](Cell& aCell) {
    StartChange(aCell);
    Bed::WaitFor([&] { return IsAnyLoading(aCell); }, kStartTimeout);
    SleepRandomly(aCell);
  };
  return { "switch-over", kAllKinds, &PublishProfiles, start, &DoNothing,
           &DoNothing,    false };
}

Step
MakeRequest(const std::string& aName, CallKind aKind)
{
  // Each repetition adds callers of the same kind.
  return { "request, " + aName,
           { aKind, aKind, aKind, aKind },
           &PublishProfiles,
           &SleepRandomly,
           &DoNothing,
           &DoNothing,
           false };
}

void
CheckExit(Cell& aCell, BedNode& aNode)
{
  if (aNode.process && !aNode.process->WaitForEnd(kExitTimeout)) {
    aCell.AddFinding("shutdown: " + aNode.vm.id() + " did not exit in time");
  } else if (aNode.process && aNode.process->GetWaitStatus() != 0) {
    aCell.AddFinding("shutdown: " + aNode.vm.id() +
                     " exited with wait status " +
                     std::to_string(aNode.process->GetWaitStatus()));
  }
}

// The VM list marks the VM as leaving; its daemon gets no signal.
Step
MakeDrain()
{
  auto start = [](Cell& aCell) {
    aCell.bed.SetLeaving(*aCell.targetSide);
    SleepRandomly(aCell);
  };
  auto finish = [](Cell& aCell) {
    // The lag of the VM list under its fault, 5 s, and a few seconds in which
    // the daemons read the list and stop sending.
    constexpr Millis kLeaveDelay(8000);
    net::Runtime::Sleep(kLeaveDelay);
    auto before = aCell.bed.GetCounters(aCell.targetSide->upstream);
    net::Runtime::Sleep(Millis(1000));
    auto after = aCell.bed.GetCounters(aCell.targetSide->upstream);
    if (before && after && before->prompts_size() != after->prompts_size()) {
      aCell.AddFinding("leaving: the upstream still received new work");
    }
  };
  return {
    "drain", kAllKinds, &PublishProfiles, start, &DoNothing, finish, true
  };
}

Step
MakeShutdown()
{
  auto start = [](Cell& aCell) {
    aCell.bed.Terminate(*aCell.targetSide);
    aCell.bed.Terminate(*aCell.targetEntry);
    SleepRandomly(aCell);
  };
  auto finish = [](Cell& aCell) {
    CheckExit(aCell, *aCell.targetSide);
    CheckExit(aCell, *aCell.targetEntry);
  };
  return { "shutdown", kAllKinds, &PublishProfiles, start, &DoNothing,
           finish,     true };
}

void
Restart(Cell& aCell, BedNode& aNode)
{
  if (aNode.process) {
    aCell.bed.Terminate(aNode);
    CheckExit(aCell, aNode);
  }
  utils::Error reason;
  if (!aCell.bed.StartNode(aNode, reason) ||
      !aCell.bed.WaitHealthy(aNode, kExitTimeout)) {
    aCell.AddFinding("upgrade: " + aNode.vm.id() +
                     " did not become healthy after its restart");
  }
}

// Restarts the daemons one by one: one side before the fault, one entry during
// it and all others after it.
Step
MakeUpgrade()
{
  auto isVictim = [](Cell& aCell, const BedNode& aNode) {
    return &aNode == aCell.victimSide || &aNode == aCell.victimService ||
           &aNode == aCell.victimEntry;
  };
  auto start = [](Cell& aCell) { Restart(aCell, *aCell.targetSide); };
  auto during = [](Cell& aCell) { Restart(aCell, *aCell.targetEntry); };
  auto finish = [isVictim](Cell& aCell) {
    for (auto& node : aCell.bed.GetNodes()) {
      bool restarted =
        node.get() == aCell.targetSide || node.get() == aCell.targetEntry;
      if (!restarted || isVictim(aCell, *node)) {
        Restart(aCell, *node);
      }
    }
  };
  return {
    "upgrade", kAllKinds, &PublishProfiles, start, during, finish, false
  };
}

} // namespace

const std::vector<Step>&
GetSteps()
{
  static const std::vector<Step> kSteps{
    MakePublish(),
    MakeSpread(),
    MakeLoad(),
    MakeSwitchOver(),
    MakeRequest("idempotent", CallKind::Idempotent),
    MakeRequest("keyed", CallKind::Keyed),
    MakeRequest("unkeyed", CallKind::Unkeyed),
    MakeRequest("streaming", CallKind::Streaming),
    MakeDrain(),
    MakeShutdown(),
    MakeUpgrade(),
  };
  return kSteps;
}

const Step*
FindStep(const std::string& aName)
{
  auto step = std::ranges::find(GetSteps(), aName, &Step::name);
  return step == GetSteps().end() ? nullptr : &*step;
}

} // namespace waxwingyoke::matrix
