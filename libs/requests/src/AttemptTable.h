#ifndef waxwingyoke_requests_AttemptTable_h
#define waxwingyoke_requests_AttemptTable_h

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <utils/Time.h>

#include "Attempts.h"

namespace waxwingyoke::requests {

/** Attempts for all threads: parts by the id's hash, a mutex for each. */
class AttemptTable
{
public:
  explicit AttemptTable(AttemptsLimits aLimits = {})
  {
    for (auto& part : parts_) {
      part = std::make_unique<Part>(aLimits);
    }
  }

  /** Calls aAction with the part of that id; it must not suspend. */
  template<typename Action>
  auto With(const std::string& aId, Action aAction)
  {
    auto& part = *parts_[std::hash<std::string>()(aId) % kParts];
    std::scoped_lock lock(part.mutex);
    return aAction(part.attempts, clock_.Now());
  }

private:
  static constexpr std::size_t kParts = 8;

  struct Part
  {
    explicit Part(const AttemptsLimits& aLimits)
      : attempts(aLimits)
    {
    }
    std::mutex mutex;
    Attempts attempts;
  };

  utils::Clock clock_;
  std::array<std::unique_ptr<Part>, kParts> parts_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_AttemptTable_h
