#include "RetryBudget.h"

namespace waxwingyoke::requests {

namespace {

// Both in hundredths of a retry.
constexpr std::int64_t kRetryCost = 100;
constexpr std::int64_t kMaxBalance = 10 * kRetryCost;

} // namespace

RetryBudget::RetryBudget(std::uint32_t aPercent)
  : percent_(aPercent)
  , balance_(aPercent == 0 ? 0 : kMaxBalance)
{
}

void
RetryBudget::OnRequest()
{
  if (balance_.load(std::memory_order_relaxed) < kMaxBalance) {
    balance_.fetch_add(percent_, std::memory_order_relaxed);
  }
}

bool
RetryBudget::Take()
{
  auto balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kRetryCost) {
    if (balance_.compare_exchange_weak(balance, balance - kRetryCost)) {
      return true;
    }
  }
  return false;
}

} // namespace waxwingyoke::requests
