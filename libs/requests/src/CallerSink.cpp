#include "CallerSink.h"

#include <algorithm>
#include <utility>

#include <net/EventStream.h>
#include <utils/Hash.h>

namespace waxwingyoke::requests {

namespace {

constexpr std::string_view kEndMark = "data: [DONE]";
constexpr std::int64_t kMillisPerSecond = 1000;

net::HttpFields
MakeFields(const schema::AnswerHead& aHead)
{
  net::HttpFields fields;
  for (const auto& field : aHead.fields()) {
    fields.Add(field.name(), field.value());
  }
  fields.Set("X-Version", aHead.version());
  return fields;
}

// Hashes the event's content, without the ids that differ between attempts.
std::uint64_t
HashEvent(std::string_view aEvent)
{
  auto choices = aEvent.find("\"choices\"");
  return utils::StableHash(
    aEvent.substr(choices == std::string_view::npos ? 0 : choices));
}

// Calls aAction with each complete event of aData, in order.
template<typename Action>
void
ForEachEvent(std::string_view aData, Action aAction)
{
  for (auto end = net::FindEventEnd(aData); end != std::string_view::npos;
       end = net::FindEventEnd(aData)) {
    aAction(aData.substr(0, end));
    aData.remove_prefix(end);
  }
}

// The size of all complete events at the beginning of aData.
std::size_t
GetCompleteBytes(std::string_view aData)
{
  std::size_t bytes = 0;
  ForEachEvent(aData,
               [&bytes](std::string_view aEvent) { bytes += aEvent.size(); });
  return bytes;
}

} // namespace

CallerSink::CallerSink(net::ResponseWriter& aWriter, bool aNeedsEndMark)
  : writer_(aWriter)
  , needsEndMark_(aNeedsEndMark)
{
}

bool
CallerSink::OnHead(const schema::AnswerHead& aHead)
{
  if (head_) {
    return true;
  }
  head_ = aHead;
  auto fields = MakeFields(aHead);
  isStream_ = fields.Find("Content-Type").starts_with("text/event-stream");
  return true;
}

bool
CallerSink::OnData(std::string_view aData)
{
  buffer_ += aData;
  if (!isStream_) {
    return true;
  }
  SkipReplayedEvents();
  return !diverged_ && WriteCompleteEvents();
}

void
CallerSink::SkipReplayedEvents()
{
  while (replayedEvents_ < sentEventHashes_.size() && !diverged_) {
    auto end = net::FindEventEnd(buffer_);
    if (end == std::string::npos) {
      return;
    }
    auto hash = HashEvent(std::string_view(buffer_).substr(0, end));
    diverged_ = hash != sentEventHashes_[replayedEvents_++];
    buffer_.erase(0, end);
  }
}

bool
CallerSink::WriteCompleteEvents()
{
  if (replayedEvents_ < sentEventHashes_.size()) {
    return true;
  }
  // Sends all complete events, up to the end mark if there is one.
  auto ready = std::min(GetCompleteBytes(buffer_), buffer_.find(kEndMark));
  if (ready == 0) {
    return true;
  }
  if (!hasSentData_) {
    hasSentData_ = true;
    if (!writer_.Start(head_->status(), MakeFields(*head_))) {
      return false;
    }
  }
  auto events = std::string_view(buffer_).substr(0, ready);
  ForEachEvent(events, [this](std::string_view aEvent) {
    sentEventHashes_.push_back(HashEvent(aEvent));
  });
  replayedEvents_ = sentEventHashes_.size();
  bool written = writer_.Write(events);
  buffer_.erase(0, ready);
  return written;
}

bool
CallerSink::IsComplete() const
{
  if (!isStream_) {
    // Only a stream can continue a stream that was partly sent.
    return !hasSentData_;
  }
  bool caughtUp = replayedEvents_ == sentEventHashes_.size();
  return caughtUp && (needsEndMark_ ? buffer_.starts_with(kEndMark)
                                    : !net::EndsInsideEvent(buffer_));
}

void
CallerSink::Finish()
{
  if (!isStream_) {
    hasSentData_ = true;
    net::HttpResponse response;
    if (head_) {
      response.status = head_->status();
      response.fields = MakeFields(*head_);
    }
    response.body = std::move(buffer_);
    writer_.Send(response);
    return;
  }
  if (!hasSentData_) {
    writer_.Start(head_->status(), MakeFields(*head_));
  }
  writer_.Write(buffer_);
  writer_.Finish();
}

void
CallerSink::Fail(const utils::Error& aError, utils::Millis aRetryAfter)
{
  if (hasSentData_) {
    writer_.Write("event: error\ndata: " + net::MakeErrorJson(aError) + "\n\n");
    writer_.Finish();
    return;
  }
  auto response = net::MakeErrorResponse(aError);
  if (aRetryAfter.value > 0) {
    auto seconds =
      (aRetryAfter.value + kMillisPerSecond - 1) / kMillisPerSecond;
    response.fields.Set("Retry-After", std::to_string(seconds));
  }
  writer_.Send(response);
}

void
CallerSink::Reset()
{
  head_.reset();
  buffer_.clear();
  isStream_ = false;
  replayedEvents_ = 0;
}

} // namespace waxwingyoke::requests
