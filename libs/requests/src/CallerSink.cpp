#include "CallerSink.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::requests {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "data: [DONE]";
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

std::uint64_t
CountEvents(std::string_view aData)
{
  std::uint64_t count = 0;
  for (auto at = aData.find(kEventEnd); at != std::string_view::npos;
       at = aData.find(kEventEnd, at + kEventEnd.size())) {
    ++count;
  }
  return count;
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
  if (!isStream_) {
    held_ += aData;
    return true;
  }
  return WriteEvents(aData);
}

bool
CallerSink::WriteEvents(std::string_view aData)
{
  held_ += aData;
  // What is complete goes out, up to the end mark if there is one.
  auto end = held_.rfind(kEventEnd);
  auto ready = end == std::string::npos ? 0 : end + kEventEnd.size();
  ready = std::min(ready, held_.find(kDone));
  if (ready == 0) {
    return true;
  }
  if (!given_) {
    given_ = true;
    if (!writer_.Start(head_->status(), MakeFields(*head_))) {
      return false;
    }
  }
  auto events = std::string_view(held_).substr(0, ready);
  events_ += CountEvents(events);
  bool written = writer_.Write(events);
  held_.erase(0, ready);
  return written;
}

bool
CallerSink::HasEndMark() const
{
  return !isStream_ || !needsEndMark_ || held_.starts_with(kDone);
}

void
CallerSink::Finish()
{
  if (!isStream_) {
    given_ = true;
    net::HttpResponse response;
    if (head_) {
      response.status = head_->status();
      response.fields = MakeFields(*head_);
    }
    response.body = std::move(held_);
    writer_.Send(response);
    return;
  }
  if (!given_) {
    writer_.Start(head_->status(), MakeFields(*head_));
  }
  writer_.Write(held_);
  writer_.Finish();
}

void
CallerSink::Fail(const utils::Error& aError, utils::Millis aRetryAfter)
{
  if (given_) {
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
  held_.clear();
  isStream_ = false;
}

} // namespace waxwingyoke::requests
