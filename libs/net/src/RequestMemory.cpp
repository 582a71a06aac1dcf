#include <net/RequestMemory.h>

#include <algorithm>
#include <utility>

#include <telemetry/Metrics.h>

namespace waxwingyoke::net {

namespace {

telemetry::Gauge&
GetHeldBytes()
{
  static auto& sBytes =
    telemetry::Metrics::Get().GetGauge("http_request_memory_bytes");
  return sBytes;
}

} // namespace

std::size_t
RequestMemory::GetUsed() const
{
  std::scoped_lock lock(mutex_);
  return used_;
}

bool
RequestMemory::HasRoom(std::size_t aBytes, bool aIsSmall) const
{
  return used_ + aBytes <= (aIsSmall ? limit_ + limit_ / 2 : limit_);
}

// Makes the request that stalled first give way, unless one that has to still
// holds its memory.
void
RequestMemory::MakeRoom(utils::Millis aNow)
{
  bool isRoomComing =
    std::ranges::any_of(shares_, [](const RequestShare* aShare) {
      return aShare->mustGiveWay_ && aShare->bytes_ > 0;
    });
  if (isRoomComing) {
    return;
  }
  RequestShare* stalled = nullptr;
  for (auto* share : shares_) {
    bool isStalled = !share->isPinned_ && share->bytes_ > 0 &&
                     aNow - share->progressAt_ >= kStallTime;
    if (isStalled &&
        (stalled == nullptr || share->progressAt_ < stalled->progressAt_)) {
      stalled = share;
    }
  }
  if (stalled != nullptr) {
    stalled->mustGiveWay_ = true;
  }
}

RequestShare::RequestShare(std::shared_ptr<RequestMemory> aMemory,
                           utils::Millis aNow)
  : memory_(std::move(aMemory))
  , progressAt_(aNow)
{
  if (memory_) {
    std::scoped_lock lock(memory_->mutex_);
    memory_->shares_.insert(this);
  }
}

RequestShare::~RequestShare()
{
  if (memory_) {
    std::scoped_lock lock(memory_->mutex_);
    memory_->used_ -= bytes_;
    memory_->shares_.erase(this);
    GetHeldBytes().Set(static_cast<std::int64_t>(memory_->used_));
  }
}

bool
RequestShare::Resize(std::size_t aBytes, utils::Millis aNow)
{
  if (!memory_) {
    return true;
  }
  std::scoped_lock lock(memory_->mutex_);
  bool isGranted =
    aBytes <= bytes_ ||
    memory_->HasRoom(aBytes - bytes_, aBytes <= RequestMemory::kSmallBytes);
  if (!isGranted) {
    memory_->MakeRoom(aNow);
  } else {
    memory_->used_ = memory_->used_ - bytes_ + aBytes;
    bytes_ = aBytes;
    GetHeldBytes().Set(static_cast<std::int64_t>(memory_->used_));
  }
  return isGranted;
}

void
RequestShare::RecordProgress(utils::Millis aNow)
{
  if (memory_) {
    std::scoped_lock lock(memory_->mutex_);
    progressAt_ = aNow;
  }
}

void
RequestShare::Pin()
{
  if (memory_) {
    std::scoped_lock lock(memory_->mutex_);
    isPinned_ = true;
    mustGiveWay_ = false;
  }
}

bool
RequestShare::MustGiveWay() const
{
  if (!memory_) {
    return false;
  }
  std::scoped_lock lock(memory_->mutex_);
  return mustGiveWay_;
}

} // namespace waxwingyoke::net
