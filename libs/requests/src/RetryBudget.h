#ifndef waxwingyoke_requests_RetryBudget_h
#define waxwingyoke_requests_RetryBudget_h

#include <atomic>
#include <cstdint>

namespace waxwingyoke::requests {

/**
 * Lets retries be a share of the requests at most, so that an outage can't
 * multiply the load. A small reserve serves an entry with little traffic.
 * Safe from every thread, without a lock.
 */
class RetryBudget
{
public:
  explicit RetryBudget(std::uint32_t aPercent);

  /** A request came. */
  void OnRequest();

  /** Whether one retry may be made; takes it if so. */
  bool Take();

private:
  std::int64_t percent_;
  /** In hundredths of a retry. */
  std::atomic<std::int64_t> balance_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_RetryBudget_h
