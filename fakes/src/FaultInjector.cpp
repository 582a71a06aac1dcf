#include "FaultInjector.h"

#include <algorithm>
#include <utility>

#include <net/Runtime.h>

#include "Messages.h"

namespace waxwingyoke::fakes {

namespace {

using utils::Millis;

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::int64_t kMicrosPerSecond = 1000000;

// Discards an answer: the handler takes effect, but its caller gets no answer.
class DiscardingWriter : public net::ResponseWriter
{
public:
  bool Send(const net::HttpResponse&) override { return true; }
  bool Start(int, const net::HttpFields&) override { return true; }
  bool Write(std::string_view) override { return true; }
  bool Finish() override { return true; }
  bool IsPeerDisconnected() override { return false; }
  bool IsStarted() const override { return true; }
};

} // namespace

FaultInjector::FaultInjector(std::uint64_t aSeed)
  : random_(aSeed)
{
}

bool
FaultInjector::ShouldInject(std::uint32_t aPerMille)
{
  constexpr std::uint64_t kMille = 1000;
  return aPerMille > 0 && random_() % kMille < aPerMille;
}

void
FaultInjector::OnCounters(std::function<void(Counters&)> aHook)
{
  counterHook_ = std::move(aHook);
}

void
FaultInjector::AddRoutes(net::Router& aRouter)
{
  aRouter.Add("POST", "/faults", [this](const auto& aRequest, auto& aWriter) {
    Faults faults;
    if (ReadMessage(aRequest, aWriter, faults)) {
      faults_ = faults;
      SendMessage(aWriter, faults_);
    }
  });
  aRouter.Add("GET", "/faults", [this](const auto&, auto& aWriter) {
    SendMessage(aWriter, faults_);
  });
  aRouter.Add("GET", "/counters", [this](const auto&, auto& aWriter) {
    auto counters = counters_;
    if (counterHook_) {
      counterHook_(counters);
    }
    SendMessage(aWriter, counters);
  });
}

net::HttpHandler
FaultInjector::Wrap(net::HttpHandler aHandler)
{
  return
    [this, handler = std::move(aHandler)](const auto& aRequest, auto& aWriter) {
      constexpr Millis kPollInterval(20);
      constexpr int kUnavailable = 503;
      constexpr int kOk = 200;
      counters_.set_requests(counters_.requests() + 1);
      while (faults_.silent() && !aWriter.IsPeerDisconnected()) {
        net::Runtime::Sleep(kPollInterval);
      }
      if (faults_.delay_ms() > 0) {
        net::Runtime::Sleep(Millis(faults_.delay_ms()));
      }
      if (faults_.outage()) {
        SendStatus(aWriter, kUnavailable, "outage");
        return;
      }
      if (!ShouldInject(faults_.lost_answers_per_mille())) {
        handler(aRequest, aWriter);
        return;
      }
      DiscardingWriter discarding;
      handler(aRequest, discarding);
      // An answer that is started but not finished makes the server close the
      // connection.
      aWriter.Start(kOk, {});
    };
}

bool
TokenBucket::Take(std::uint64_t aAmount, std::uint64_t aRate)
{
  if (aRate == 0) {
    return true;
  }
  auto now = clock_.Now().value * kMicrosPerMilli;
  if (usedUntil_ > now) {
    return false;
  }
  // Allows a burst of a tenth of a second's rate.
  usedUntil_ = std::max(usedUntil_, now - kMicrosPerSecond / 10) +
               static_cast<std::int64_t>(aAmount * kMicrosPerSecond / aRate);
  return true;
}

void
TokenBucket::Pace(std::uint64_t aAmount, std::uint64_t aRate)
{
  if (aRate == 0) {
    return;
  }
  auto now = clock_.Now().value * kMicrosPerMilli;
  usedUntil_ = std::max(usedUntil_, now) +
               static_cast<std::int64_t>(aAmount * kMicrosPerSecond / aRate);
  net::Runtime::Sleep(Millis((usedUntil_ - now) / kMicrosPerMilli));
}

} // namespace waxwingyoke::fakes
