#include "UpstreamLease.h"

#include <utility>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Longer than a fiber waits for its turn after its request was placed. A VM may
// be suspended in between, and would then send what others have sent since.
constexpr Millis kPermitLifetime(200);

} // namespace

UpstreamLease::UpstreamLease(EntryServices& aServices,
                             dispatch::UpstreamPointer aUpstream,
                             std::uint32_t aPromptTokens)
  : services_(aServices)
  , upstream_(std::move(aUpstream))
  , unreadTokens_(aPromptTokens)
{
  ++upstream_->own.running;
  upstream_->useChangedAt = services_.Now();
  upstream_->own.unreadTokens += unreadTokens_;
  services_.MarkUseChanged();
  auto now = services_.Now();
  if (services_.GetUpstreams().TakeSend(*upstream_, now)) {
    permittedAt_ = now;
    permitOrder_ = upstream_->rateLimit.GetState().order;
  }
}

bool
UpstreamLease::ClaimSend()
{
  auto now = services_.Now();
  bool isPermitted = permittedAt_ && now - *permittedAt_ < kPermitLifetime &&
                     permitOrder_ == upstream_->rateLimit.GetState().order;
  permittedAt_.reset();
  return isPermitted || services_.GetUpstreams().TakeSend(*upstream_, now);
}

UpstreamLease::~UpstreamLease()
{
  MarkPromptProcessed();
  --upstream_->own.running;
  upstream_->useChangedAt = services_.Now();
  auto& service = services_.GetService(upstream_->record.service);
  for (auto& [regions, planner] : service.retryPlanners) {
    if (dispatch::IsAllowed(regions, upstream_->region)) {
      planner.RecordRelease(services_.Now());
    }
  }
  services_.MarkUseChanged();
  service.waitQueue.PlaceQueued();
}

void
UpstreamLease::MarkPromptProcessed()
{
  upstream_->own.unreadTokens -= std::exchange(unreadTokens_, 0);
}

} // namespace waxwingyoke::fleet
