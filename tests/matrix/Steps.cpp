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
constexpr Millis kExitTime(40000);
constexpr Millis kMomentTime(15000);

void
Nothing(Cell&)
{
}

void
Serve(Cell& aCell)
{
  aCell.PublishAndWait(true);
}

// So slow a source that faults strike midway.
void
SlowSources(Cell& aCell)
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
PauseBySeed(Cell& aCell)
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

// The change itself is made while the fault lasts.
Step
MakePublish()
{
  return { "publish",    kAllKinds, &Serve, &PauseBySeed,
           &StartChange, &Nothing,  false };
}

Step
MakeSpread()
{
  auto prepare = [](Cell& aCell) {
    aCell.PublishAndWait(false);
    SlowSources(aCell);
  };
  auto act = [](Cell& aCell) {
    StartChange(aCell);
    Bed::WaitFor(
      [&] {
        auto counters = aCell.bed.GetCounters(Service::Store);
        auto origin = aCell.bed.GetCounters(Service::Origin);
        return (counters && counters->bytes_served() > 0) ||
               (origin && origin->bytes_served() > 0);
      },
      kMomentTime);
    PauseBySeed(aCell);
  };
  return {
    "spread", kAllKinds, prepare, act, &Nothing, &RestoreSources, false
  };
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
  auto act = [](Cell& aCell) {
    StartChange(aCell);
    Bed::WaitFor([&] { return IsAnyLoading(aCell); }, kMomentTime);
  };
  auto prepare = [](Cell& aCell) { aCell.PublishAndWait(false); };
  return { "load", kAllKinds, prepare, act, &Nothing, &Nothing, false };
}

Step
MakeSwitchOver()
{
  auto act = [](Cell& aCell) {
    StartChange(aCell);
    Bed::WaitFor([&] { return IsAnyLoading(aCell); }, kMomentTime);
    PauseBySeed(aCell);
  };
  return { "switch-over", kAllKinds, &Serve, act, &Nothing, &Nothing, false };
}

Step
MakeRequest(const std::string& aName, CallKind aKind)
{
  // More callers of the one kind.
  return { "request, " + aName,
           { aKind, aKind, aKind, aKind },
           &Serve,
           &PauseBySeed,
           &Nothing,
           &Nothing,
           false };
}

void
ExpectEnd(Cell& aCell, BedNode& aNode)
{
  if (aNode.process && !aNode.process->WaitForEnd(kExitTime)) {
    aCell.Find("shutdown: " + aNode.vm.id() + " did not end");
  } else if (aNode.process && aNode.process->GetWaitStatus() != 0) {
    aCell.Find("shutdown: " + aNode.vm.id() + " ended with status " +
               std::to_string(aNode.process->GetWaitStatus()));
  }
}

// The list says that the VM leaves; its daemon is told nothing.
Step
MakeDrain()
{
  auto act = [](Cell& aCell) {
    aCell.bed.SetLeaving(*aCell.targetSide);
    PauseBySeed(aCell);
  };
  auto finish = [](Cell& aCell) {
    // The list's lag under its fault, and a few seconds.
    constexpr Millis kNotice(8000);
    net::Runtime::Sleep(kNotice);
    auto before = aCell.bed.GetCounters(aCell.targetSide->upstream);
    net::Runtime::Sleep(Millis(1000));
    auto after = aCell.bed.GetCounters(aCell.targetSide->upstream);
    if (before && after && before->prompts_size() != after->prompts_size()) {
      aCell.Find("leaving: the upstream still received new work");
    }
  };
  return { "drain", kAllKinds, &Serve, act, &Nothing, finish, true };
}

Step
MakeShutdown()
{
  auto act = [](Cell& aCell) {
    aCell.bed.Terminate(*aCell.targetSide);
    aCell.bed.Terminate(*aCell.targetEntry);
    PauseBySeed(aCell);
  };
  auto finish = [](Cell& aCell) {
    ExpectEnd(aCell, *aCell.targetSide);
    ExpectEnd(aCell, *aCell.targetEntry);
  };
  return { "shutdown", kAllKinds, &Serve, act, &Nothing, finish, true };
}

void
Replace(Cell& aCell, BedNode& aNode)
{
  if (aNode.process) {
    aCell.bed.Terminate(aNode);
    ExpectEnd(aCell, aNode);
  }
  utils::Error reason;
  if (!aCell.bed.StartNode(aNode, reason) ||
      !aCell.bed.WaitHealthy(aNode, kExitTime)) {
    aCell.Find("upgrade: " + aNode.vm.id() + " did not start");
  }
}

// One daemon after the other is replaced; the second half after the fault.
Step
MakeUpgrade()
{
  auto isVictim = [](Cell& aCell, const BedNode& aNode) {
    return &aNode == aCell.victimSide || &aNode == aCell.victimService ||
           &aNode == aCell.victimEntry;
  };
  auto act = [](Cell& aCell) { Replace(aCell, *aCell.targetSide); };
  auto during = [](Cell& aCell) { Replace(aCell, *aCell.targetEntry); };
  auto finish = [isVictim](Cell& aCell) {
    for (auto& node : aCell.bed.GetNodes()) {
      bool replaced =
        node.get() == aCell.targetSide || node.get() == aCell.targetEntry;
      if (!replaced || isVictim(aCell, *node)) {
        Replace(aCell, *node);
      }
    }
  };
  return { "upgrade", kAllKinds, &Serve, act, during, finish, false };
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
