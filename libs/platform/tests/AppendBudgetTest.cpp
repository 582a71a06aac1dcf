#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

#include <platform/AppendBudget.h>
#include <schema/log.pb.h>

using namespace waxwingyoke;
using namespace waxwingyoke::platform;
using utils::Millis;

namespace {

constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kSecondMs = 1000;

/** A log that accepts aRate appends in any second and refuses the rest. */
class RateLimitedLog
{
public:
  explicit RateLimitedLog(std::size_t aRate)
    : rate_(aRate)
  {
  }

  bool Append(std::int64_t aNowMs)
  {
    while (!acceptedAt_.empty() && acceptedAt_.front() <= aNowMs - kSecondMs) {
      acceptedAt_.pop_front();
    }
    if (acceptedAt_.size() >= rate_) {
      return false;
    }
    acceptedAt_.push_back(aNowMs);
    return true;
  }

private:
  std::size_t rate_;
  std::deque<std::int64_t> acceptedAt_;
};

} // namespace

TEST_CASE("claims of many entries do not starve an operator's change")
{
  constexpr std::size_t kEntries = 340;
  constexpr std::size_t kLogRate = 300;
  constexpr std::int64_t kWarmUpMs = 20 * kSecondMs;
  constexpr std::int64_t kEndMs = 60 * kSecondMs;
  constexpr std::int64_t kChangeEveryMs = 700;
  RateLimitedLog log(kLogRate);
  std::vector<AppendBudget> entries(kEntries);
  std::size_t claims = 0;
  std::size_t changeTries = 0;
  std::size_t worstTries = 0;
  for (std::int64_t now = 0; now < kEndMs; now += kStepMs) {
    // The change comes last in each step: it gets only what is left.
    for (auto& entry : entries) {
      if (entry.TryAcquire(AppendUse::Claim, Millis(now))) {
        bool taken = log.Append(now);
        claims += taken && now >= kWarmUpMs ? 1 : 0;
        if (!taken) {
          entry.RecordRefusal(Millis(now));
        }
      }
    }
    bool isWanted =
      now >= kWarmUpMs && (changeTries > 0 || now % kChangeEveryMs == 0);
    if (isWanted) {
      ++changeTries;
      worstTries = std::max(worstTries, changeTries);
      changeTries = log.Append(now) ? 0 : changeTries;
    }
  }
  // The operator's tool retries for several seconds, longer than this bound.
  CHECK(worstTries * kStepMs <= kSecondMs);
  // The entries still use at least half of the log's rate.
  CHECK(claims >= kLogRate * (kEndMs - kWarmUpMs) / kSecondMs / 2);
}

TEST_CASE("a use of lower priority is cut deeper")
{
  constexpr Millis kNow(1000);
  AppendBudget budget;
  auto count = [&budget](AppendUse aUse, Millis aFrom) {
    std::size_t taken = 0;
    for (std::int64_t i = 0; i < kSecondMs; ++i) {
      taken += budget.TryAcquire(aUse, aFrom + Millis(i)) ? 1 : 0;
    }
    return taken;
  };
  for (int i = 0; i < 4; ++i) {
    budget.RecordRefusal(kNow);
  }
  auto claims = count(AppendUse::Claim, kNow);
  auto tickets = count(AppendUse::Ticket, kNow);
  auto quarantine = count(AppendUse::Quarantine, kNow);
  CHECK(claims < tickets);
  CHECK(tickets < quarantine);
  CHECK(count(AppendUse::Change, kNow) == kSecondMs);
  CHECK(budget.GetCount(AppendUse::Claim).heldBack == kSecondMs - claims);
  CHECK(budget.GetCount(AppendUse::Claim).sent == claims);
}

TEST_CASE("a record's use is determined by its body")
{
  schema::LogRecord record;
  record.mutable_profile_change();
  CHECK(FindAppendUse(record.SerializeAsString()) == AppendUse::Change);
  record.mutable_origin_ticket();
  CHECK(FindAppendUse(record.SerializeAsString()) == AppendUse::Ticket);
  record.mutable_claim_batch();
  CHECK(FindAppendUse(record.SerializeAsString()) == AppendUse::Claim);
  CHECK(FindAppendUse("\xff") == AppendUse::Claim);
}
