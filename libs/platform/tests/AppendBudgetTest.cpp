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

/** A log that takes so many appends in each second and refuses the rest. */
class BusyLog
{
public:
  explicit BusyLog(std::size_t aRate)
    : rate_(aRate)
  {
  }

  bool Append(std::int64_t aNowMs)
  {
    while (!taken_.empty() && taken_.front() <= aNowMs - kSecondMs) {
      taken_.pop_front();
    }
    if (taken_.size() >= rate_) {
      return false;
    }
    taken_.push_back(aNowMs);
    return true;
  }

private:
  std::size_t rate_;
  std::deque<std::int64_t> taken_;
};

} // namespace

TEST_CASE("claims of many entries can't starve an operator's change")
{
  constexpr std::size_t kEntries = 340;
  constexpr std::size_t kLogRate = 300;
  constexpr std::int64_t kWarmUpMs = 20 * kSecondMs;
  constexpr std::int64_t kEndMs = 60 * kSecondMs;
  constexpr std::int64_t kChangeEveryMs = 700;
  BusyLog log(kLogRate);
  std::vector<AppendBudget> entries(kEntries);
  std::size_t claims = 0;
  std::size_t changeTries = 0;
  std::size_t worstTries = 0;
  for (std::int64_t now = 0; now < kEndMs; now += kStepMs) {
    // The change is last in each step: whatever is left is its.
    for (auto& entry : entries) {
      if (entry.Take(AppendUse::Claim, Millis(now))) {
        bool taken = log.Append(now);
        claims += taken && now >= kWarmUpMs ? 1 : 0;
        if (!taken) {
          entry.NoteRefusal(Millis(now));
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
  // The tool tries for some seconds, a hundred times more than this.
  CHECK(worstTries * kStepMs <= kSecondMs);
  // The log is not left idle either.
  CHECK(claims >= kLogRate * (kEndMs - kWarmUpMs) / kSecondMs / 2);
}

TEST_CASE("uses give way in their order")
{
  constexpr Millis kNow(1000);
  AppendBudget budget;
  auto count = [&budget](AppendUse aUse, Millis aFrom) {
    std::size_t taken = 0;
    for (std::int64_t i = 0; i < kSecondMs; ++i) {
      taken += budget.Take(aUse, aFrom + Millis(i)) ? 1 : 0;
    }
    return taken;
  };
  for (int i = 0; i < 4; ++i) {
    budget.NoteRefusal(kNow);
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

TEST_CASE("a record's use follows from its body")
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
