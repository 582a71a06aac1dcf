#include "LateOrderInjector.h"

#include <algorithm>

#include <net/Runtime.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

// Distinguishes the draws from those of the other faults of the same seed.
constexpr std::uint64_t kSeedOffset = 0x6c617465;
// Times in ms: between two rounds, of an order's delay, and of a load.
constexpr std::int64_t kMinIntervalMs = 200;
constexpr std::int64_t kMaxIntervalMs = 1200;
constexpr std::int64_t kMinDelayMs = 500;
constexpr std::int64_t kMaxDelayMs = 6000;
constexpr std::int64_t kMaxLoadMs = 800;
constexpr std::int64_t kMaxDelayedOrders = 2;
// From the arrival of an order until a piece is damaged that it may take.
constexpr std::int64_t kMaxDamageDelayMs = 500;
// One in so many rounds names a version, and leaves an order without an answer.
constexpr std::int64_t kRoundsPerNaming = 4;
constexpr std::int64_t kRoundsPerLostAnswer = 3;

std::int64_t
Draw(std::mt19937_64& aRandom, std::int64_t aFrom, std::int64_t aTo)
{
  return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(aRandom);
}

} // namespace

LateOrderInjector::LateOrderInjector(
  SoakBed& aBed,
  std::function<void()> aNameVersion,
  std::map<std::string, int>& aInjectedCounts)
  : bed_(aBed)
  , nameVersion_(std::move(aNameVersion))
  , injectedCounts_(aInjectedCounts)
  , random_(aBed.options.seed ^ kSeedOffset)
{
}

void
LateOrderInjector::Run(Millis aEnd)
{
  for (std::size_t i = 0; i < bed_.options.sides; ++i) {
    auto& engine = *bed_.upstreams[i];
    engine.onOrder = [this, &engine](std::uint64_t) {
      net::Runtime::SpawnHere([this, &engine] { DamageSoon(engine); });
    };
  }
  while (clock_.Now() < aEnd) {
    InjectAt(*bed_.upstreams[random_() % bed_.options.sides]);
    if (Draw(random_, 1, kRoundsPerNaming) == 1) {
      nameVersion_();
    }
    net::Runtime::Sleep(Millis(Draw(random_, kMinIntervalMs, kMaxIntervalMs)));
  }
  std::for_each_n(
    bed_.upstreams.begin(), bed_.options.sides, [](const auto& aEngine) {
      aEngine->onOrder = nullptr;
      aEngine->faults.delayedOrders = 0;
      aEngine->faults.unansweredOrders = 0;
      aEngine->faults.loadTime = Millis(0);
    });
}

void
LateOrderInjector::DamageSoon(adapter::FakeUpstream& aEngine)
{
  net::Runtime::Sleep(Millis(Draw(random_, 0, kMaxDamageDelayMs)));
  aEngine.Damage(static_cast<std::uint32_t>(
    Draw(random_, 0, adapter::FakeOrigin::kPieces - 1)));
}

void
LateOrderInjector::InjectAt(adapter::FakeUpstream& aEngine)
{
  auto& faults = aEngine.faults;
  faults.orderDelay = Millis(Draw(random_, kMinDelayMs, kMaxDelayMs));
  faults.delayedOrders = static_cast<int>(Draw(random_, 0, kMaxDelayedOrders));
  faults.unansweredOrders = Draw(random_, 1, kRoundsPerLostAnswer) == 1 ? 1 : 0;
  faults.loadTime = Millis(Draw(random_, 0, kMaxLoadMs));
  ++injectedCounts_["late_orders"];
}

} // namespace waxwingyoke::soak
