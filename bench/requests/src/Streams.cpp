#include <requests_load/Streams.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string_view>

#include <net/Runtime.h>
#include <telemetry/Logger.h>

#include <requests_load/Beds.h>

namespace waxwingyoke::requests_load {

namespace {

using utils::Millis;

constexpr int kOk = 200;
constexpr double kMillisPerSecond = 1000;
constexpr Millis kGrace(5000);
// Long enough for an answer's last event.
constexpr std::size_t kEndChars = 40;

net::HttpRequest
MakeRequest(const StreamCall& aCall)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.fields.Set("Content-Type", "application/json");
  request.fields.Set("X-Organisation", aCall.organisation);
  request.fields.Set("X-Priority", std::to_string(aCall.priority));
  request.fields.Set("X-Deadline-Ms", std::to_string(aCall.deadline.value));
  request.body =
    std::string("{\"model\":\"") + kChatProfile +
    "\",\"stream\":true,\"max_tokens\":" + std::to_string(aCall.tokens) +
    ",\"messages\":[{\"role\":\"user\",\"content\":" +
    telemetry::QuoteJson(aCall.prompt) + "}]}";
  return request;
}

// Counts the events that begin in aPart. aTail keeps the end of the text, which
// may be the first half of a begin marker that the next part completes.
std::size_t
CountEvents(std::string& aTail, std::string_view aPart)
{
  constexpr std::string_view kBegin = "\"delta\"";
  aTail += aPart;
  std::size_t count = 0;
  std::size_t at = 0;
  for (auto next = aTail.find(kBegin); next != std::string::npos;
       next = aTail.find(kBegin, at)) {
    ++count;
    at = next + kBegin.size();
  }
  auto keep = std::min(aTail.size() - at, kBegin.size() - 1);
  aTail.erase(0, aTail.size() - keep);
  return count;
}

void
ReadTokens(net::ResponseStream& aStream, Millis aTimeout, StreamSample& aSample)
{
  std::string tail;
  std::string end;
  std::string part;
  utils::Error reason;
  double last = 0;
  auto result = aStream.Read(part, aTimeout, reason);
  while (result == net::ReadResult::Data) {
    auto now = GetPreciseMillis();
    auto events = CountEvents(tail, part);
    if (events > 0 && aSample.tokens == 0) {
      aSample.firstToken = now - aSample.startedAt;
    } else if (events > 0) {
      aSample.gaps.push_back(now - last);
    }
    last = events > 0 ? now : last;
    aSample.tokens += events;
    end += part;
    end.erase(0, end.size() - std::min(end.size(), kEndChars));
    result = aStream.Read(part, aTimeout, reason);
  }
  aSample.complete = result == net::ReadResult::End && aSample.status == kOk &&
                     end.find("[DONE]") != std::string::npos;
}

} // namespace

double
GetPreciseMillis()
{
  using Precise = std::chrono::duration<double, std::milli>;
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Precise>(now).count();
}

StreamSample
RunStream(net::HttpClient& aClient,
          const net::Endpoint& aPeer,
          const StreamCall& aCall)
{
  StreamSample sample;
  sample.priority = aCall.priority;
  sample.startedAt = GetPreciseMillis();
  utils::Error reason;
  net::CallTimeouts timeouts;
  timeouts.head = aCall.deadline + kGrace;
  auto stream = aClient.Open(aPeer, MakeRequest(aCall), timeouts, reason);
  if (stream) {
    sample.status = stream->GetStatus();
    ReadTokens(*stream, timeouts.head, sample);
  }
  sample.total = GetPreciseMillis() - sample.startedAt;
  return sample;
}

std::vector<StreamSample>
RunLoad(net::HttpClient& aClient, const Load& aLoad)
{
  auto count = static_cast<std::size_t>(
    aLoad.requestsPerSecond * static_cast<double>(aLoad.duration.value) /
    kMillisPerSecond);
  std::vector<StreamSample> samples(count);
  std::atomic<std::size_t> left(count);
  auto begin = GetPreciseMillis();
  for (std::size_t i = 0; i < count; ++i) {
    auto due = begin + static_cast<double>(i) * kMillisPerSecond /
                         aLoad.requestsPerSecond;
    auto pause = static_cast<std::int64_t>(due - GetPreciseMillis());
    if (pause > 0) {
      net::Runtime::Sleep(Millis(pause));
    }
    if (aLoad.onArrival) {
      aLoad.onArrival(i);
    }
    net::Runtime::SpawnHere([&, i] {
      samples[i] = RunStream(aClient, aLoad.pickPeer(i), aLoad.makeCall(i));
      --left;
    });
  }
  constexpr Millis kPoll(10);
  while (left > 0) {
    net::Runtime::Sleep(kPoll);
  }
  return samples;
}

double
GetQuantile(std::vector<double> aSamples, double aShare)
{
  if (aSamples.empty()) {
    return 0;
  }
  auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aSamples.size() - 1));
  std::ranges::nth_element(
    aSamples, aSamples.begin() + static_cast<std::ptrdiff_t>(index));
  return aSamples[index];
}

double
GetGoodput(const std::vector<StreamSample>& aSamples,
           double aFromMillis,
           double aToMillis)
{
  auto completeCount =
    std::ranges::count_if(aSamples, [&](const StreamSample& aOne) {
      auto end = aOne.startedAt + aOne.total;
      return aOne.complete && end >= aFromMillis && end < aToMillis;
    });
  return static_cast<double>(completeCount) * kMillisPerSecond /
         (aToMillis - aFromMillis);
}

} // namespace waxwingyoke::requests_load
