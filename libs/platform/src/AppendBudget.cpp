#include <platform/AppendBudget.h>

#include <algorithm>

#include <schema/log.pb.h>

namespace waxwingyoke::platform {

namespace {

using utils::Millis;

/** Rate limits of one use. */
struct UseTraits
{
  std::string_view name;
  bool isLimited;
  /** Appends per second. */
  double initialRate;
  double minRate;
  double maxRate;
  /** Added to the rate each second. */
  double increase;
  /** A refusal multiplies the rate by this. */
  double decreaseFactor;
};

constexpr std::array<UseTraits, static_cast<std::size_t>(AppendUse::Count)>
  kTraits{ {
    { "change", false, 0, 0, 0, 0, 1 },
    { "quarantine", true, 10, 1, 50, 1, 0.9 },
    { "permit", true, 10, 0.5, 100, 1, 0.8 },
    { "ticket", true, 20, 0.5, 100, 1, 0.7 },
    { "snapshot", true, 1, 0.1, 1, 0.1, 0.6 },
    { "claim", true, 20, 0.1, 200, 0.5, 0.5 },
  } };

// A burst is what the rate allows in this time, and at least one append.
constexpr double kBurstSeconds = 1;
constexpr double kMillisPerSecond = 1000;

} // namespace

std::string_view
GetName(AppendUse aUse)
{
  return kTraits.at(static_cast<std::size_t>(aUse)).name;
}

AppendUse
FindAppendUse(std::string_view aPayload)
{
  schema::LogRecord record;
  if (!record.ParseFromArray(aPayload.data(),
                             static_cast<int>(aPayload.size()))) {
    return AppendUse::Claim;
  }
  switch (record.body_case()) {
    case schema::LogRecord::kProfileChange:
      return AppendUse::Change;
    case schema::LogRecord::kQuarantineChange:
      return AppendUse::Quarantine;
    case schema::LogRecord::kPermitRequest:
    case schema::LogRecord::kPermitRelease:
      return AppendUse::Permit;
    case schema::LogRecord::kOriginTicket:
      return AppendUse::Ticket;
    case schema::LogRecord::kSnapshot:
      return AppendUse::Snapshot;
    default:
      return AppendUse::Claim;
  }
}

AppendBudget::Bucket&
AppendBudget::Refill(std::size_t aUse, Millis aNow)
{
  const auto& traits = kTraits.at(aUse);
  auto& bucket = buckets_.at(aUse);
  if (bucket.rate == 0) {
    bucket.rate = traits.initialRate;
    bucket.tokens = traits.initialRate * kBurstSeconds;
    bucket.filledAt = aNow;
  }
  auto passed = std::max(aNow - bucket.filledAt, Millis(0));
  auto seconds = static_cast<double>(passed.value) / kMillisPerSecond;
  bucket.filledAt = std::max(aNow, bucket.filledAt);
  bucket.rate =
    std::min(bucket.rate + traits.increase * seconds, traits.maxRate);
  auto burst = std::max(1.0, bucket.rate * kBurstSeconds);
  bucket.tokens = std::min(bucket.tokens + bucket.rate * seconds, burst);
  return bucket;
}

bool
AppendBudget::TryAcquire(AppendUse aUse, Millis aNow)
{
  auto index = static_cast<std::size_t>(aUse);
  std::scoped_lock lock(mutex_);
  if (!kTraits.at(index).isLimited) {
    ++buckets_.at(index).count.sent;
    return true;
  }
  auto& bucket = Refill(index, aNow);
  if (bucket.tokens < 1) {
    ++bucket.count.heldBack;
    return false;
  }
  bucket.tokens -= 1;
  ++bucket.count.sent;
  return true;
}

void
AppendBudget::RecordRefusal(Millis aNow)
{
  std::scoped_lock lock(mutex_);
  for (std::size_t i = 0; i < kUses; ++i) {
    const auto& traits = kTraits.at(i);
    if (!traits.isLimited) {
      continue;
    }
    auto& bucket = Refill(i, aNow);
    bucket.rate = std::max(bucket.rate * traits.decreaseFactor, traits.minRate);
    bucket.tokens = std::min(bucket.tokens, bucket.rate * kBurstSeconds);
  }
}

AppendCount
AppendBudget::GetCount(AppendUse aUse) const
{
  std::scoped_lock lock(mutex_);
  return buckets_.at(static_cast<std::size_t>(aUse)).count;
}

} // namespace waxwingyoke::platform
