#include "LogFake.h"

#include <algorithm>
#include <mutex>

#include <schema/platform.pb.h>

#include "Messages.h"

namespace waxwingyoke::fakes {

namespace {

constexpr int kTooManyRequests = 429;

} // namespace

LogFake::LogFake(FaultInjector& aFaultInjector)
  : faultInjector_(aFaultInjector)
{
}

void
LogFake::AddRoutes(net::Router& aRouter)
{
  aRouter.Add("POST",
              "/streams/*",
              faultInjector_.Wrap([this](const auto& aRequest, auto& aWriter) {
                Append(aRequest, aWriter);
              }));
  aRouter.Add("GET",
              "/streams/*",
              faultInjector_.Wrap([this](const auto& aRequest, auto& aWriter) {
                Read(aRequest, aWriter);
              }));
}

void
LogFake::Trim(Stream& aStream) const
{
  auto keep = faultInjector_.GetFaults().log().retention();
  while (keep > 0 && aStream.records.size() > keep) {
    aStream.records.pop_front();
    ++aStream.firstOffset;
  }
}

void
LogFake::Append(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter)
{
  auto& counters = faultInjector_.GetCounters();
  if (!rate_.Take(1, faultInjector_.GetFaults().log().appends_per_s())) {
    counters.set_refused_appends(counters.refused_appends() + 1);
    SendStatus(aWriter, kTooManyRequests, "over the append rate limit");
    return;
  }
  counters.set_appends(counters.appends() + 1);
  auto& stream = streams_[GetPathPart(aRequest, 1)];
  schema::AppendReply reply;
  reply.set_offset(stream.GetNextOffset());
  stream.records.push_back(aRequest.body);
  Trim(stream);
  appended_.notify_all();
  SendMessage(aWriter, reply);
}

void
LogFake::Read(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter)
{
  constexpr std::uint64_t kDefaultRecords = 1000;
  auto& counters = faultInjector_.GetCounters();
  counters.set_reads(counters.reads() + 1);
  auto from = ReadQueryNumber(aRequest, "from", 0);
  auto max = ReadQueryNumber(aRequest, "max", kDefaultRecords);
  utils::Millis wait(
    static_cast<std::int64_t>(ReadQueryNumber(aRequest, "wait_ms", 0)));
  auto& stream = streams_[GetPathPart(aRequest, 1)];
  {
    std::unique_lock lock(mutex_);
    appended_.wait_for(
      lock, wait.ToChrono(), [&] { return stream.GetNextOffset() > from; });
  }
  Trim(stream);
  schema::LogPage page;
  page.set_first_offset(stream.firstOffset);
  page.set_next_offset(stream.GetNextOffset());
  auto first = std::max(from, stream.firstOffset);
  auto end = std::min(stream.GetNextOffset(), first + max);
  for (auto offset = first; offset < end; ++offset) {
    auto* record = page.add_records();
    record->set_offset(offset);
    record->set_payload(stream.records[offset - stream.firstOffset]);
  }
  SendMessage(aWriter, page);
}

} // namespace waxwingyoke::fakes
