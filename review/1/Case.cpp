// A side machine freezes while it checks the staged pieces of a new version,
// and one that it has checked turns bad meanwhile.

#include <algorithm>
#include <csignal>
#include <memory>

#include "../stand/Deployment.h"

using namespace waxwingyoke;
using namespace waxwingyoke::review;
using utils::Millis;

namespace {

// node_freeze: for_s 4.0 in the site file.
constexpr Millis kFreezeTime(4000);
// From the freeze until the piece turns bad.
constexpr Millis kSpoilDelay(200);
constexpr std::uint32_t kSpoiltPiece = 3;
// The machine freezes once the check has read this many pieces.
constexpr std::uint32_t kFreezeAtPiece = 24;
constexpr Millis kSwitchTime(30000);

/** Freezes the side of one runner during its check of the staged pieces. */
class Freezer
{
public:
  Freezer(Deployment& aDeployment, Runner& aRunner, bed::Process& aSide)
    : deployment_(aDeployment)
    , runner_(aRunner)
    , side_(aSide)
  {
    runner_.onStagedRead = [this](std::uint32_t aPiece) { HandleRead(aPiece); };
  }
  ~Freezer() { runner_.onStagedRead = nullptr; }
  Freezer(const Freezer&) = delete;
  Freezer& operator=(const Freezer&) = delete;

  bool HasFrozen() const { return hasFrozen_; }

private:
  // The check reads all pieces in their order; reads for other sides don't.
  void HandleRead(std::uint32_t aPiece)
  {
    nextPiece_ = aPiece == nextPiece_ || aPiece == 0 ? aPiece + 1 : 0;
    bool isCheck = nextPiece_ == kFreezeAtPiece && runner_.HasStaged(2);
    if (isCheck && !hasFrozen_) {
      hasFrozen_ = true;
      net::Runtime::SpawnHere([this] { Freeze(); });
    }
  }

  void Freeze()
  {
    side_.Signal(SIGSTOP);
    deployment_.Record("the side of " + runner_.GetId() + " freezes");
    net::Runtime::Sleep(kSpoilDelay);
    runner_.Spoil(kSpoiltPiece);
    deployment_.Record("a staged piece of " + runner_.GetId() + " turns bad");
    net::Runtime::Sleep(kFreezeTime - kSpoilDelay);
    side_.Signal(SIGCONT);
    deployment_.Record("the side of " + runner_.GetId() + " goes on");
  }

  Deployment& deployment_;
  Runner& runner_;
  bed::Process& side_;
  std::uint32_t nextPiece_ = 0;
  bool hasFrozen_ = false;
};

bool
HasRun(const Runner& aRunner, std::uint64_t aVersion)
{
  const auto& runs = aRunner.GetRuns();
  return std::any_of(runs.begin(), runs.end(), [&](const Run& aRun) {
    return aRun.version == aVersion;
  });
}

/** Whether a token was made with weights that were bad when they were taken. */
bool
HasUsedBadWeights(const Runner& aRunner)
{
  const auto& loads = aRunner.GetLoads();
  return std::any_of(loads.begin(), loads.end(), [&](const Load& aLoad) {
    return !aLoad.badPieces.empty() && HasRun(aRunner, aLoad.version);
  });
}

// Several at a time, as one alone always goes to the same runner.
void
SendUntilAllAnswer(Deployment& aDeployment)
{
  constexpr Millis kTime(10000);
  constexpr int kAtOnce = 12;
  aDeployment.WaitUntil(kTime, [&] {
    int running = kAtOnce;
    for (int i = 0; i < kAtOnce; ++i) {
      net::Runtime::SpawnHere([&] {
        aDeployment.Call("/stream/a", "key1");
        --running;
      });
    }
    while (running > 0) {
      net::Runtime::Sleep(Millis(10));
    }
    return HasRun(aDeployment.engine1, 2) && HasRun(aDeployment.engine2, 2);
  });
}

int
Test(Deployment& aDeployment)
{
  std::unique_ptr<Freezer> freezer;
  // The second to load: its check runs alone, without reads for other sides.
  if (HasTrouble()) {
    freezer = std::make_unique<Freezer>(
      aDeployment, aDeployment.engine2, aDeployment.GetSide(1));
  }
  aDeployment.NameVersion(2);
  bool hasSwitched = aDeployment.WaitUntil(kSwitchTime, [&] {
    aDeployment.Call("/stream/a", "key1");
    return aDeployment.engine1.GetVersion() == 2 &&
           aDeployment.engine2.GetVersion() == 2;
  });
  if (!hasSwitched || (freezer && !freezer->HasFrozen())) {
    return kCouldNotRun;
  }
  SendUntilAllAnswer(aDeployment);
  bool isBroken = HasUsedBadWeights(aDeployment.engine1) ||
                  HasUsedBadWeights(aDeployment.engine2);
  return isBroken ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, {}, Test);
}
