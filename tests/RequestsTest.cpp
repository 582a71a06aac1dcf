// The request path with real processes, under the faults that it must tolerate.

#include <doctest/doctest.h>

#include <atomic>
#include <optional>

#include <bed/Bed.h>
#include <bed/Caller.h>
#include <fakes/Tokens.h>
#include <net/Runtime.h>
#include <requests_load/AtMostOnceRun.h>
#include <requests_load/Beds.h>

using namespace waxwingyoke;
using namespace waxwingyoke::requests_load;
using bed::Bed;
using utils::Millis;

namespace {

constexpr Millis kWaitTimeout(20000);
constexpr const char* kCrashMarker = "crash-the-upstream";

bed::BedOptions
MakeChatOptions()
{
  return MakeOptions({ { "a1", "a", 2, 3, 0 } }, { 8, 50 }, 21);
}

void
WithModel(const std::function<void(Bed&)>& aTest)
{
  bed::RunWithBed(MakeChatOptions(), [&](Bed& aBed) {
    utils::Error reason;
    REQUIRE_MESSAGE(PublishModel(aBed, reason), reason.detail);
    aTest(aBed);
  });
}

bed::ChatCall
MakeCall(const std::string& aPrompt, std::size_t aTokens)
{
  bed::ChatCall call;
  call.profile = kChatProfile;
  call.prompt = aPrompt;
  call.tokens = aTokens;
  return call;
}

/** A call that runs in a fiber of its own. */
struct Background
{
  void Start(Bed& aBed, const net::Endpoint& aEntry, const bed::ChatCall& aCall)
  {
    net::Runtime::SpawnHere([this, &aBed, aEntry, aCall] {
      answer = bed::Chat(aBed.GetClient(), aEntry, aCall);
      done = true;
    });
  }

  bool Wait()
  {
    return Bed::WaitFor([this] { return done.load(); }, kWaitTimeout);
  }

  bed::CallerAnswer answer;
  std::atomic<bool> done{ false };
};

// A side whose engine runs a request now; null if there is none.
bed::BedNode*
FindBusySide(Bed& aBed)
{
  for (auto* side : aBed.GetEngineSides()) {
    auto counters = aBed.GetCounters(side->upstream);
    if (counters && counters->running() > 0) {
      return side;
    }
  }
  return nullptr;
}

bed::BedNode*
WaitBusySide(Bed& aBed)
{
  bed::BedNode* side = nullptr;
  Bed::WaitFor(
    [&] {
      side = FindBusySide(aBed);
      return side != nullptr;
    },
    kWaitTimeout);
  return side;
}

void
CheckComplete(const bed::CallerAnswer& aAnswer, const bed::ChatCall& aCall)
{
  CHECK_MESSAGE(aAnswer.complete, aAnswer.errorType << aAnswer.reason.detail);
  CHECK(aAnswer.text ==
        fakes::MakeAnswer(aCall.prompt, aAnswer.version, aCall.tokens));
}

// Waits for each engine, since a crashed one does not answer until it restarts.
std::uint64_t
CountCrashes(Bed& aBed)
{
  std::uint64_t crashes = 0;
  for (auto* side : aBed.GetEngineSides()) {
    std::optional<fakes::Counters> counters;
    REQUIRE(Bed::WaitFor(
      [&] {
        counters = aBed.GetCounters(side->upstream);
        return counters.has_value();
      },
      kWaitTimeout));
    crashes += counters->crashes();
  }
  return crashes;
}

} // namespace

TEST_CASE("calls that must run at most once do so under a sequence of faults")
{
  auto options = MakeOptions({ { "a1", "a", 2, 0, 3 } }, { 32, 0 }, 22);
  options.proxied = true;
  bed::RunWithBed(options, [](Bed& aBed) {
    utils::Error reason;
    REQUIRE_MESSAGE(PublishService(aBed, reason), reason.detail);
    AtMostOnceOptions once;
    once.calls = 1500;
    auto result = RunAtMostOnce(aBed, once, MakePathFaults());
    CHECK(result.calls == once.calls);
    CHECK(result.complete > once.calls / 2);
    CHECK(result.ranMoreThanOnce == 0);
    CHECK(result.ranButReportedNotRun == 0);
    CHECK(result.completeButNotRun == 0);
    CHECK(result.wrongAnswer == 0);
    CHECK(result.late == 0);
  });
}

TEST_CASE(
  "a stream whose side is killed continues at another side and is complete")
{
  WithModel([](Bed& aBed) {
    auto call = MakeCall("a long report", 100);
    Background stream;
    stream.Start(aBed, aBed.GetEntries()[0]->caller, call);
    auto* side = WaitBusySide(aBed);
    REQUIRE(side);
    net::Runtime::Sleep(Millis(300));
    aBed.Kill(*side);
    REQUIRE(stream.Wait());
    CheckComplete(stream.answer, call);
  });
}

TEST_CASE("a stream over a silent connection runs once and is complete")
{
  auto options = MakeChatOptions();
  options.proxied = true;
  bed::RunWithBed(options, [](Bed& aBed) {
    utils::Error reason;
    REQUIRE_MESSAGE(PublishModel(aBed, reason), reason.detail);
    auto call = MakeCall("a long report", 100);
    Background stream;
    stream.Start(aBed, aBed.GetEntries()[0]->caller, call);
    auto* side = WaitBusySide(aBed);
    REQUIRE(side);
    fakes::LinkFaults silence;
    silence.set_silence_open(true);
    REQUIRE(aBed.SetLink(*side, bed::Link::Control, silence));
    REQUIRE(stream.Wait());
    CheckComplete(stream.answer, call);
    CHECK(aBed.CountPromptRuns(call.prompt) == 1);
  });
}

TEST_CASE("terminated sides and entries finish their running requests")
{
  WithModel([](Bed& aBed) {
    auto call = MakeCall("a long report", 100);
    Background stream;
    stream.Start(aBed, aBed.GetEntries()[0]->caller, call);
    auto* side = WaitBusySide(aBed);
    REQUIRE(side);
    aBed.Terminate(*side);
    aBed.Terminate(*aBed.GetEntries()[0]);
    REQUIRE(stream.Wait());
    CheckComplete(stream.answer, call);
    CHECK(side->process->WaitForEnd(kWaitTimeout));
    CHECK(aBed.GetEntries()[0]->process->WaitForEnd(kWaitTimeout));
    auto other = MakeCall("another", 5);
    CheckComplete(
      bed::Chat(aBed.GetClient(), aBed.GetEntries()[1]->caller, other), other);
  });
}

TEST_CASE("a caller that disconnects cancels its request in the engine")
{
  WithModel([](Bed& aBed) {
    auto call = MakeCall("a report nobody reads", 1000);
    call.deadline = Millis(60000);
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.body = std::string("{\"model\":\"") + kChatProfile +
                   "\",\"stream\":true,\"max_tokens\":1000,\"messages\":[]}";
    utils::Error reason;
    auto stream =
      aBed.GetClient().Open(aBed.GetEntries()[0]->caller, request, {}, reason);
    REQUIRE_MESSAGE(stream, reason.detail);
    auto* side = WaitBusySide(aBed);
    REQUIRE(side);
    stream.reset();
    CHECK(Bed::WaitFor([&] { return FindBusySide(aBed) == nullptr; },
                       kWaitTimeout));
    CHECK(aBed.GetCounters(side->upstream)->cancels() > 0);
  });
}

TEST_CASE(
  "a request that crashes upstreams is quarantined, concurrent ones are not")
{
  WithModel([](Bed& aBed) {
    auto crasher = MakeCall(kCrashMarker, 10);
    std::vector<bed::ChatCall> calls;
    std::vector<Background> concurrentCalls(6);
    for (std::size_t i = 0; i < concurrentCalls.size(); ++i) {
      calls.push_back(MakeCall("neighbour " + std::to_string(i), 60));
      concurrentCalls[i].Start(
        aBed, aBed.GetEntries()[i % 2]->caller, calls[i]);
    }
    REQUIRE(WaitBusySide(aBed));
    // A send may reach no engine while a crashed one restarts, so the number of
    // sends is not checked.
    std::size_t sends = 0;
    bed::CallerAnswer last;
    CHECK(Bed::WaitFor(
      [&] {
        last = bed::Chat(
          aBed.GetClient(), aBed.GetEntries()[sends++ % 2]->caller, crasher);
        CHECK_FALSE(last.complete);
        return last.errorType == "quarantined";
      },
      kWaitTimeout));
    CHECK(last.run == "no");
    for (auto& concurrentCall : concurrentCalls) {
      CHECK(concurrentCall.Wait());
      CHECK(concurrentCall.answer.errorType != "quarantined");
    }
    // The quarantine holds at every entry.
    for (const auto& entry : aBed.GetEntries()) {
      last = bed::Chat(aBed.GetClient(), entry->caller, crasher);
      CHECK(last.errorType == "quarantined");
      CHECK(last.run == "no");
    }
    CHECK(CountCrashes(aBed) == 2);
    for (const auto& call : calls) {
      CHECK(Bed::WaitFor(
        [&] {
          return bed::Chat(aBed.GetClient(), aBed.GetEntries()[0]->caller, call)
            .complete;
        },
        kWaitTimeout));
    }
  });
}
