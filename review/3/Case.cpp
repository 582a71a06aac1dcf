// A configuration takes the only tenant, and with it all keys, away.

#include <algorithm>
#include <vector>

#include "../stand/Deployment.h"

using namespace waxwingyoke;
using namespace waxwingyoke::review;
using utils::Millis;

namespace {

// RevokeMs of the settings and a second more.
constexpr Millis kWait(6000);
constexpr int kRequests = 10;
constexpr Millis kPause(200);
constexpr const char* kTenant =
  R"({"Name":"org","ApiKeys":["key1","key2"],"Priority":1})";

bool
HasRun(const Deployment& aDeployment, const std::string& aAttempt)
{
  auto ran = [&aAttempt](const Runner& aRunner) {
    return std::any_of(
      aRunner.GetRuns().begin(), aRunner.GetRuns().end(), [&](const Run& aRun) {
        return aRun.attempt == aAttempt;
      });
  };
  return ran(aDeployment.engine1) || ran(aDeployment.engine2) ||
         ran(aDeployment.plain);
}

int
Test(Deployment& aDeployment)
{
  bool isRevoked = HasTrouble();
  aDeployment.Publish(2, isRevoked ? "" : kTenant);
  net::Runtime::Sleep(kWait);
  int ranRevoked = 0;
  int ranUnknown = 0;
  for (int i = 0; i < kRequests; ++i) {
    auto revoked = aDeployment.Call("/once/a", "key1");
    auto unknown = aDeployment.Call("/once/a", "never-held");
    ranRevoked += isRevoked && HasRun(aDeployment, revoked.attempt) ? 1 : 0;
    ranUnknown += HasRun(aDeployment, unknown.attempt) ? 1 : 0;
    net::Runtime::Sleep(kPause);
  }
  aDeployment.Record(
    std::to_string(ranRevoked) + " of " + std::to_string(kRequests) +
    " requests with a revoked key ran, " + std::to_string(ranUnknown) + " of " +
    std::to_string(kRequests) + " with a key that no configuration held");
  return ranRevoked + ranUnknown > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, {}, Test);
}
