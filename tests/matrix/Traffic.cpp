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
  if (!ready_.empty()) {
    return ready_[random_() % ready_.size()];
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
Traffic::Balance()
{
  constexpr Millis kPause(100);
  while (!stopping_) {
    std::vector<net::Endpoint> ready;
    for (const auto* entry : bed_.GetEntries()) {
      if (IsReady(*entry)) {
        ready.push_back(entry->caller);
      }
    }
    ready_ = std::move(ready);
    net::Runtime::Sleep(kPause);
  }
  --active_;
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
              std::to_string(next_++);
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
    // A caller that does not know the outcome, and one that does, ask again.
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
Traffic::Loop(CallKind aKind)
{
  while (!stopping_) {
    CallOnce(aKind);
    net::Runtime::Sleep(kPauseBetweenCalls);
  }
  --active_;
}

void
Traffic::Start(const std::vector<CallKind>& aKinds, std::size_t aCallers)
{
  ++active_;
  net::Runtime::SpawnHere([this] { Balance(); });
  for (auto kind : aKinds) {
    for (std::size_t i = 0; i < aCallers; ++i) {
      ++active_;
      net::Runtime::SpawnHere([this, kind] { Loop(kind); });
    }
  }
}

void
Traffic::Stop()
{
  constexpr Millis kPoll(20);
  stopping_ = true;
  while (active_ > 0) {
    net::Runtime::Sleep(kPoll);
  }
  ready_.clear();
}

} // namespace waxwingyoke::matrix
