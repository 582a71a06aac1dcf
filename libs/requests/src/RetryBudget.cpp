#include "RetryBudget.h"

namespace waxwingyoke::requests {

namespace {

constexpr std::int64_t kRetry = 100;
constexpr std::int64_t kReserve = 10 * kRetry;

} // namespace

RetryBudget::RetryBudget(std::uint32_t aPercent)
  : percent_(aPercent)
  , balance_(aPercent == 0 ? 0 : kReserve)
{
}

void
RetryBudget::OnRequest()
{
  if (balance_.load(std::memory_order_relaxed) < kReserve) {
    balance_.fetch_add(percent_, std::memory_order_relaxed);
  }
}

bool
RetryBudget::Take()
{
  auto balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kRetry) {
    if (balance_.compare_exchange_weak(balance, balance - kRetry)) {
      return true;
    }
  }
  return false;
}

} // namespace waxwingyoke::requests
