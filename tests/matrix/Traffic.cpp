#include "Traffic.h"

#include <net/Runtime.h>

namespace waxwingyoke::matrix {

namespace {

using utils::Millis;

constexpr Millis kPauseBetweenCalls(30);
constexpr Millis kDeadline(8000);

const char*
GetName(CallKind aKind)
{
  switch (aKind) {
    case CallKind::Idempotent:
      return "idempotent";
    case CallKind::Keyed:
      return "keyed";
    case CallKind::Unkeyed:
      return "unkeyed";
    case CallKind::Streaming:
      return "streaming";
  }
  return "";
}

} // namespace

Traffic::Traffic(bed::Bed& aBed, std::uint64_t aSeed)
  : bed_(aBed)
  , seed_(aSeed)
  , random_(aSeed)
{
}

net::Endpoint
Traffic::PickEntry()
{
  if (!readyEntries_.empty()) {
    return readyEntries_[random_() % readyEntries_.size()];
  }
  auto entries = bed_.GetEntries();
  return entries[random_() % entries.size()]->caller;
}

bool
Traffic::IsReady(const bed::BedNode& aEntry)
{
  constexpr int kOk = 200;
  constexpr net::CallTimeouts kTimeouts{ Millis(200),
                                         Millis(300),
                                         Millis(300) };
  net::HttpRequest request;
  request.target = "/readyz";
  utils::Error ignored;
  auto answer =
    bed_.GetClient().Call(aEntry.control, request, kTimeouts, ignored);
  return answer && answer->status == kOk;
}

void
Traffic::PollReadiness()
{
  constexpr Millis kPause(100);
  while (!stopping_) {
    std::vector<net::Endpoint> ready;
    for (const auto* entry : bed_.GetEntries()) {
      if (IsReady(*entry)) {
        ready.push_back(entry->caller);
      }
    }
    readyEntries_ = std::move(ready);
    net::Runtime::Sleep(kPause);
  }
  --activeFibers_;
}

bed::CallerAnswer
Traffic::Send(const CallRecord& aRecord,
              const std::string& aKey,
              const net::Endpoint& aEntry)
{
  if (aRecord.kind == CallKind::Streaming) {
    bed::ChatCall chat;
    chat.profile = kModelProfile;
    chat.prompt = aRecord.id;
    chat.tokens = kStreamTokens;
    chat.deadline = kDeadline;
    return Chat(bed_.GetClient(), aEntry, chat);
  }
  bed::ServiceCall call;
  call.profile = kServiceProfile;
  call.idempotencyKey = aKey;
  call.deadline = kDeadline;
  if (aRecord.kind == CallKind::Idempotent) {
    call.method = "GET";
    call.path = aRecord.id;
  } else {
    call.path = "/changes";
    call.body = aRecord.id;
  }
  return CallService(bed_.GetClient(), aEntry, call);
}

CallRecord&
Traffic::AddRecord(CallKind aKind)
{
  records_.push_back(std::make_unique<CallRecord>());
  auto& record = *records_.back();
  record.kind = aKind;
  record.id = std::string(aKind == CallKind::Idempotent ? "/status/" : "") +
              GetName(aKind) + "-" + std::to_string(seed_) + "-" +
              std::to_string(nextId_++);
  return record;
}

const CallRecord&
Traffic::CallOnce(CallKind aKind)
{
  auto& record = AddRecord(aKind);
  bool keyed = aKind == CallKind::Keyed;
  auto key = keyed ? bed::MakeIdempotencyKey() : "";
  record.answers.push_back(Send(record, key, PickEntry()));
  if (keyed) {
    // The retry under the same key must not run the request again, whether or
    // not the first answer was received.
    record.answers.push_back(Send(record, key, PickEntry()));
  }
  return record;
}

const CallRecord&
Traffic::CallOnceAt(CallKind aKind, const net::Endpoint& aEntry)
{
  auto& record = AddRecord(aKind);
  auto key = aKind == CallKind::Keyed ? bed::MakeIdempotencyKey() : "";
  record.answers.push_back(Send(record, key, aEntry));
  return record;
}

void
Traffic::RunCaller(CallKind aKind)
{
  while (!stopping_) {
    CallOnce(aKind);
    net::Runtime::Sleep(kPauseBetweenCalls);
  }
  --activeFibers_;
}

void
Traffic::Start(const std::vector<CallKind>& aKinds, std::size_t aCallers)
{
  ++activeFibers_;
  net::Runtime::SpawnHere([this] { PollReadiness(); });
  for (auto kind : aKinds) {
    for (std::size_t i = 0; i < aCallers; ++i) {
      ++activeFibers_;
      net::Runtime::SpawnHere([this, kind] { RunCaller(kind); });
    }
  }
}

void
Traffic::Stop()
{
  constexpr Millis kPoll(20);
  stopping_ = true;
  while (activeFibers_ > 0) {
    net::Runtime::Sleep(kPoll);
  }
  readyEntries_.clear();
}

} // namespace waxwingyoke::matrix
