#include "Callers.h"

#include <Deployment.h>
#include <net/Runtime.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

constexpr Millis kConnectTimeout(1000);
// The 6 s deadline of the requests, and a margin for the response's transfer.
constexpr Millis kResponseTimeout(6500);
constexpr Millis kRequestInterval(20);
constexpr Millis kPollInterval(20);

} // namespace

void
Callers::Start(net::Runtime& aRuntime, int aCount)
{
  running_ = aCount;
  for (int i = 0; i < aCount; ++i) {
    aRuntime.Spawn([this, i] {
      SendRequests(bed_.options.seed * 1000 + static_cast<std::uint64_t>(i));
      --running_;
    });
  }
}

void
Callers::Stop()
{
  stopping_ = true;
  while (running_ > 0) {
    net::Runtime::Sleep(kPollInterval);
  }
}

void
Callers::SendRequests(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  while (!stopping_) {
    auto route = static_cast<RouteKind>(random() % 3);
    auto entry = random() % bed_.entries.size();
    const auto key = keys[random() % keys.size()];
    Send(route, entry, key);
    net::Runtime::Sleep(kRequestInterval);
  }
}

int
Callers::Send(RouteKind aRoute, std::size_t aEntry, const std::string& aKey)
{
  return SendWithParts(aRoute, aEntry, aKey, "").status;
}

Attempt
Callers::SendPrompt(std::size_t aEntry,
                    const std::string& aKey,
                    const std::string& aParts)
{
  return SendWithParts(RouteKind::Stream, aEntry, aKey, aParts);
}

Attempt
Callers::SendWithParts(RouteKind aRoute,
                       std::size_t aEntry,
                       const std::string& aKey,
                       const std::string& aParts)
{
  Attempt attempt;
  attempt.id = "id" + std::to_string(++sent_);
  attempt.route = aRoute;
  attempt.key = aKey;
  attempt.entry = aEntry;
  auto request =
    adapter::MakeCallerRequest(GetPath(aRoute) + attempt.id, attempt.id, aKey);
  if (!aParts.empty()) {
    request.fields.Set("Waxwingyoke-Prompt-Prefix",
                       aParts + "," + attempt.id + ":60");
  }
  attempt.sentAt = clock_.Now();
  utils::Error ignored;
  auto response =
    client_.Call(bed_.GetCallerEndpoint(bed_.entries[aEntry]),
                 request,
                 { kConnectTimeout, kResponseTimeout, kResponseTimeout },
                 ignored);
  attempt.endedAt = clock_.Now();
  if (response) {
    attempt.status = response->status;
    attempt.body = response->body;
  }
  checker_.RecordAttempt(attempt);
  return attempt;
}

} // namespace waxwingyoke::soak
