#include "CallerSink.h"

#include <algorithm>
#include <utility>

#include <utils/Hash.h>

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

// What an event says, without the ids that differ from attempt to attempt.
std::uint64_t
MarkEvent(std::string_view aEvent)
{
  auto choices = aEvent.find("\"choices\"");
  return utils::StableHash(
    aEvent.substr(choices == std::string_view::npos ? 0 : choices));
}

// Calls aAction with each whole event of aData in turn.
template<typename Action>
void
ForEachEvent(std::string_view aData, Action aAction)
{
  for (auto end = aData.find(kEventEnd); end != std::string_view::npos;
       end = aData.find(kEventEnd)) {
    end += kEventEnd.size();
    aAction(aData.substr(0, end));
    aData.remove_prefix(end);
  }
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
  held_ += aData;
  if (!isStream_) {
    return true;
  }
  SkipReplayed();
  return !parted_ && WriteEvents();
}

void
CallerSink::SkipReplayed()
{
  while (replayed_ < marks_.size() && !parted_) {
    auto end = held_.find(kEventEnd);
    if (end == std::string::npos) {
      return;
    }
    end += kEventEnd.size();
    auto mark = MarkEvent(std::string_view(held_).substr(0, end));
    parted_ = mark != marks_[replayed_++];
    held_.erase(0, end);
  }
}

bool
CallerSink::WriteEvents()
{
  if (replayed_ < marks_.size()) {
    return true;
  }
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
  ForEachEvent(events, [this](std::string_view aEvent) {
    marks_.push_back(MarkEvent(aEvent));
  });
  replayed_ = marks_.size();
  bool written = writer_.Write(events);
  held_.erase(0, ready);
  return written;
}

bool
CallerSink::HasEndMark() const
{
  if (!isStream_) {
    // Nothing else can go on with a stream.
    return !given_;
  }
  bool caughtUp = replayed_ == marks_.size();
  return caughtUp && (!needsEndMark_ || held_.starts_with(kDone));
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
  replayed_ = 0;
}

} // namespace waxwingyoke::requests
