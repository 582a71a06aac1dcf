#include "UpstreamLease.h"

#include <utility>

namespace waxwingyoke::fleet {

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
}

UpstreamLease::~UpstreamLease()
{
  MarkPromptProcessed();
  --upstream_->own.running;
  upstream_->useChangedAt = services_.Now();
  auto& service = services_.GetService(upstream_->record.service);
  service.retryPlanner.RecordRelease(services_.Now());
  services_.MarkUseChanged();
  service.waitQueue.PlaceQueued();
}

void
UpstreamLease::MarkPromptProcessed()
{
  upstream_->own.unreadTokens -= std::exchange(unreadTokens_, 0);
}

} // namespace waxwingyoke::fleet
