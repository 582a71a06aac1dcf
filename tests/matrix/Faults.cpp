#include "Faults.h"

#include <algorithm>

#include <net/Runtime.h>

namespace waxwingyoke::matrix {

namespace {

using bed::BedNode;
using bed::Link;
using bed::Service;

using Action = std::function<void(Cell&)>;
using Pick = std::function<std::vector<BedNode*>(Cell&)>;

std::vector<BedNode*>
PickSides(Cell& aCell)
{
  return { aCell.victimSide, aCell.victimService };
}

std::vector<BedNode*>
PickEntry(Cell& aCell)
{
  return { aCell.victimEntry };
}

// All VMs of the victim side's region.
std::vector<BedNode*>
PickRegion(Cell& aCell)
{
  std::vector<BedNode*> nodes;
  for (auto& node : aCell.bed.GetNodes()) {
    if (node->vm.region() == aCell.victimSide->vm.region()) {
      nodes.push_back(node.get());
    }
  }
  return nodes;
}

void
DoNothing(Cell&)
{
}

Action
ForEach(const Pick& aPick, const std::function<void(Cell&, BedNode&)>& aAct)
{
  return [aPick, aAct](Cell& aCell) {
    for (auto* node : aPick(aCell)) {
      aAct(aCell, *node);
    }
  };
}

Fault
MakeKill(const std::string& aName, const Pick& aPick)
{
  return {
    aName,
    ForEach(aPick, [](Cell& aCell, BedNode& aNode) { aCell.bed.Kill(aNode); }),
    ForEach(aPick,
            [](Cell& aCell, BedNode& aNode) {
              utils::Error reason;
              // The step may have restarted it already.
              if (!aNode.process && !aCell.bed.StartNode(aNode, reason)) {
                aCell.AddFinding("the daemon did not restart: " +
                                 reason.detail);
              }
            }),
    false
  };
}

Fault
MakePause(const std::string& aName, const Pick& aPick)
{
  return {
    aName,
    ForEach(aPick, [](Cell& aCell, BedNode& aNode) { aCell.bed.Pause(aNode); }),
    ForEach(aPick,
            [](Cell& aCell, BedNode& aNode) { aCell.bed.Resume(aNode); }),
    false
  };
}

using SetLinkFaults = std::function<void(fakes::LinkFaults&)>;

Fault
MakeLinkFault(const std::string& aName,
              const Pick& aPick,
              const std::vector<Link>& aLinks,
              const SetLinkFaults& aSet)
{
  auto apply = [aPick, aLinks](const fakes::LinkFaults& aFaults) {
    return ForEach(aPick, [aLinks, aFaults](Cell& aCell, BedNode& aNode) {
      for (auto link : aLinks) {
        aCell.bed.SetLink(aNode, link, aFaults);
      }
    });
  };
  fakes::LinkFaults faults;
  aSet(faults);
  return { aName, apply(faults), apply({}), false };
}

using SetFakeFaults = std::function<void(fakes::Faults&)>;

Fault
MakeServiceFault(const std::string& aName,
                 const std::vector<Service>& aServices,
                 const SetFakeFaults& aSet,
                 bool aRequestsUnaffected)
{
  auto apply = [aServices](const fakes::Faults& aFaults) {
    return [aServices, aFaults](Cell& aCell) {
      for (auto service : aServices) {
        aCell.bed.SetFaults(service, aFaults);
      }
    };
  };
  fakes::Faults faults;
  aSet(faults);
  return { aName, apply(faults), apply({}), aRequestsUnaffected };
}

// Pauses a reader of the log while the log trims records that it has not read.
Fault
MakeTrim()
{
  constexpr std::uint64_t kRetainedRecords = 2;
  auto inject = [](Cell& aCell) {
    aCell.bed.Pause(*aCell.victimSide);
    fakes::Faults faults;
    faults.mutable_log()->set_retention(kRetainedRecords);
    aCell.bed.SetFaults(Service::Log, faults);
    aCell.StartChange(aCell.MakeVersion());
    aCell.StartChange(aCell.MakeVersion());
  };
  auto lift = [](Cell& aCell) {
    aCell.bed.Resume(*aCell.victimSide);
    fakes::Faults faults;
    // Holds all records of a burst, but not all of the run.
    constexpr std::uint64_t kDefaultRetainedRecords = 1000;
    faults.mutable_log()->set_retention(kDefaultRetainedRecords);
    aCell.bed.SetFaults(Service::Log, faults);
  };
  return { "log trimmed past a reader", inject, lift, false };
}

void
RaceOperators(Cell& aCell)
{
  aCell.StartChange(aCell.MakeVersion());
  aCell.StartChange(aCell.MakeVersion());
}

constexpr int kCrasherAttempts = 6;
constexpr utils::Millis kCrasherPause(300);
constexpr utils::Millis kCrasherDeadline(3000);

// Sends a request that crashes its upstream, and retries it after each failure.
void
SendCrasher(Cell& aCell)
{
  auto* cell = &aCell;
  net::Runtime::SpawnHere([cell] {
    for (int i = 0; i < kCrasherAttempts; ++i) {
      bed::ChatCall call;
      call.profile = kModelProfile;
      call.prompt = "crash-the-upstream " + std::to_string(cell->seed);
      call.deadline = kCrasherDeadline;
      Chat(cell->bed.GetClient(), cell->victimEntry->caller, call);
      net::Runtime::Sleep(kCrasherPause);
    }
  });
}

// The retries of SendCrasher take longer than kFaultDuration.
void
WaitForCrasher(Cell&)
{
  constexpr utils::Millis kExtraDuration(6000);
  net::Runtime::Sleep(kExtraDuration);
}

std::vector<Fault>
MakeProcessFaults()
{
  return {
    { "none", &DoNothing, &DoNothing, true },
    MakeKill("sides killed", &PickSides),
    MakeKill("entry killed", &PickEntry),
    MakePause("sides paused and woken", &PickSides),
    MakePause("entry paused and woken", &PickEntry),
    { "request crashes its upstream", &SendCrasher, &WaitForCrasher, false },
  };
}

std::vector<Fault>
MakeLinkFaults()
{
  return {
    MakeLinkFault("link stalled",
                  &PickSides,
                  { Link::Control },
                  [](auto& aFaults) {
                    aFaults.set_hold_to_client(true);
                    aFaults.set_hold_to_target(true);
                  }),
    MakeLinkFault("link cut one way",
                  &PickSides,
                  { Link::Control },
                  [](auto& aFaults) { aFaults.set_hold_to_client(true); }),
    MakeLinkFault("connections silent",
                  &PickSides,
                  { Link::Control, Link::Upstream, Link::Log },
                  [](auto& aFaults) { aFaults.set_silence_open(true); }),
    MakeLinkFault(
      "answers lost after the act",
      &PickSides,
      { Link::Control },
      [](auto& aFaults) { aFaults.set_cut_answers_per_mille(300); }),
    MakeLinkFault(
      "upstream's answers lost",
      &PickSides,
      { Link::Upstream },
      [](auto& aFaults) { aFaults.set_cut_answers_per_mille(300); }),
    MakeLinkFault("answers late and crossed",
                  &PickSides,
                  { Link::Control, Link::Upstream },
                  [](auto& aFaults) {
                    aFaults.set_delay_ms(150);
                    aFaults.set_jitter_ms(300);
                  }),
    MakeLinkFault("region cut off",
                  &PickRegion,
                  { Link::Control, Link::Log },
                  [](auto& aFaults) {
                    aFaults.set_hold_to_client(true);
                    aFaults.set_hold_to_target(true);
                  }),
  };
}

std::vector<Fault>
MakePlatformFaults()
{
  return {
    MakeServiceFault(
      "chunks corrupt",
      { Service::Store, Service::Origin },
      [](auto& aFaults) {
        aFaults.mutable_store()->set_corrupt_per_mille(300);
        aFaults.mutable_store()->set_truncate_per_mille(100);
      },
      true),
    MakeServiceFault(
      "store stalls",
      { Service::Store },
      [](auto& aFaults) { aFaults.mutable_store()->set_stall_per_mille(500); },
      true),
    MakeServiceFault(
      "store and origin down",
      { Service::Store, Service::Origin },
      [](auto& aFaults) { aFaults.set_outage(true); },
      true),
    MakeServiceFault(
      "log down",
      { Service::Log },
      [](auto& aFaults) { aFaults.set_outage(true); },
      false),
    MakeServiceFault(
      "log slow",
      { Service::Log },
      [](auto& aFaults) {
        aFaults.set_delay_ms(300);
        aFaults.mutable_log()->set_appends_per_s(10);
      },
      false),
    MakeServiceFault(
      "log's answers lost",
      { Service::Log },
      [](auto& aFaults) { aFaults.set_lost_answers_per_mille(300); },
      false),
    MakeTrim(),
    { "version changed midway",
      [](Cell& aCell) { aCell.StartChange(aCell.MakeVersion()); },
      &DoNothing,
      false },
    { "operators racing", &RaceOperators, &DoNothing, false },
    MakeServiceFault(
      "VM list behind",
      { Service::VmList },
      [](auto& aFaults) { aFaults.mutable_vm_list()->set_lag_ms(5000); },
      true),
  };
}

} // namespace

const std::vector<Fault>&
GetFaults()
{
  static const auto kFaults = [] {
    auto faults = MakeProcessFaults();
    for (auto part : { MakeLinkFaults(), MakePlatformFaults() }) {
      faults.insert(faults.end(), part.begin(), part.end());
    }
    return faults;
  }();
  return kFaults;
}

std::vector<const Fault*>
FindFaults(const std::vector<std::string>& aNames)
{
  std::vector<const Fault*> found;
  for (const auto& name : aNames) {
    auto fault = std::ranges::find(GetFaults(), name, &Fault::name);
    if (fault != GetFaults().end()) {
      found.push_back(&*fault);
    }
  }
  return found;
}

} // namespace waxwingyoke::matrix
