#ifndef waxwingyoke_requests_RetryBudget_h
#define waxwingyoke_requests_RetryBudget_h

#include <atomic>
#include <cstdint>

namespace waxwingyoke::requests {

/**
 * Limits retries to a percentage of the requests, so that an outage can't
 * multiply the load. The budget starts full, with 10 retries, so that an entry
 * with little traffic can retry too. Thread-safe and lock-free.
 */
class RetryBudget
{
public:
  /** aPercent: retries per hundred requests; 0 allows no retry. */
  explicit RetryBudget(std::uint32_t aPercent);

  /** Adds one request's share to the budget. */
  void OnRequest();

  /** Takes one retry from the budget; false if none is left. */
  bool Take();

private:
  std::int64_t percent_;
  /** Hundredths of a retry. */
  std::atomic<std::int64_t> balance_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_RetryBudget_h
