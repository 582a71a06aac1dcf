// Each fault of the fault-injecting proxy has the effect that other tests rely
// on.

#include <doctest/doctest.h>

#include <functional>

#include <bed/Bed.h>

using namespace waxwingyoke;
using namespace waxwingyoke::bed;

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr std::uint16_t kProxiedUpstreamPort = kUpstreamPort + 100;

// The result of one call through the proxy.
struct Outcome
{
  ErrorKind kind = ErrorKind::None;
  std::string body;
};

// A fault of the proxy and the result that a call must have.
struct Row
{
  const char* name;
  std::function<void(fakes::LinkFaults&)> set;
  ErrorKind expected;
  /** Whether the service ran the call. */
  bool ran;
};

const std::vector<Row> kRows{
  { "nothing", [](auto&) {}, ErrorKind::None, true },
  { "delay and jitter",
    [](auto& aFaults) {
      aFaults.set_delay_ms(5);
      aFaults.set_jitter_ms(5);
    },
    ErrorKind::None,
    true },
  { "slow",
    [](auto& aFaults) { aFaults.set_bytes_per_s(20000); },
    ErrorKind::None,
    true },
  { "stall",
    [](auto& aFaults) {
      aFaults.set_hold_to_target(true);
      aFaults.set_hold_to_client(true);
    },
    ErrorKind::TimedOut,
    false },
  { "answers held",
    [](auto& aFaults) { aFaults.set_hold_to_client(true); },
    ErrorKind::TimedOut,
    true },
  { "requests held",
    [](auto& aFaults) { aFaults.set_hold_to_target(true); },
    ErrorKind::TimedOut,
    false },
  { "cut",
    [](auto& aFaults) { aFaults.set_cut(true); },
    ErrorKind::ConnectionLost,
    false },
  { "answer cut",
    [](auto& aFaults) { aFaults.set_cut_answers_per_mille(1000); },
    ErrorKind::ConnectionLost,
    true },
};

Outcome
Call(Bed& aBed, const std::string& aBody)
{
  net::HttpRequest request;
  request.method = "POST";
  request.body = aBody;
  net::CallTimeouts timeouts{ Millis(500), Millis(500), Millis(500) };
  net::Endpoint peer{ aBed.GetServiceSides()[0]->vm.address(),
                      kProxiedUpstreamPort };
  utils::Error reason;
  // A new client, so that no pooled connection is used.
  net::HttpClient client;
  auto answer = client.Call(peer, request, timeouts, reason);
  return { reason.kind, answer ? answer->body : "" };
}

} // namespace

TEST_CASE("each fault of the proxy has its effect, and none once it is cleared")
{
  BedOptions options;
  options.sites = { { "pecs-1", "dunantul-s", 0, 0, 1 } };
  options.startDaemons = false;
  options.proxied = true;
  RunWithBed(options, [](Bed& aBed) {
    auto& side = *aBed.GetServiceSides()[0];
    for (const auto& row : kRows) {
      CAPTURE(std::string(row.name));
      fakes::LinkFaults faults;
      row.set(faults);
      REQUIRE(aBed.SetLink(side, Link::Upstream, faults));
      CHECK(Call(aBed, row.name).kind == row.expected);
      CHECK(aBed.CountServiceRuns(row.name) == (row.ran ? 1 : 0));
      REQUIRE(aBed.SetLink(side, Link::Upstream, {}));
      CHECK(Call(aBed, "after").kind == ErrorKind::None);
    }
  });
}

TEST_CASE("silence holds the open connections but not new ones")
{
  BedOptions options;
  options.sites = { { "pecs-1", "dunantul-s", 0, 0, 1 } };
  options.startDaemons = false;
  options.proxied = true;
  RunWithBed(options, [](Bed& aBed) {
    auto& side = *aBed.GetServiceSides()[0];
    net::Endpoint peer{ side.vm.address(), kProxiedUpstreamPort };
    net::HttpClient client;
    net::CallTimeouts timeouts{ Millis(500), Millis(500), Millis(500) };
    utils::Error reason;
    REQUIRE(client.Call(peer, {}, timeouts, reason));
    fakes::LinkFaults faults;
    faults.set_silence_open(true);
    REQUIRE(aBed.SetLink(side, Link::Upstream, faults));
    CHECK_FALSE(client.Call(peer, {}, timeouts, reason));
    CHECK(reason.kind == ErrorKind::TimedOut);
    CHECK(client.Call(peer, {}, timeouts, reason));
  });
}

TEST_CASE("the proxy refuses connections while its target is down")
{
  BedOptions options;
  options.sites = { { "pecs-1", "dunantul-s", 0, 0, 1 } };
  options.startDaemons = false;
  options.proxied = true;
  RunWithBed(options, [](Bed& aBed) {
    CHECK(Call(aBed, "before").kind == ErrorKind::None);
    CHECK(Call(aBed, "crash-the-upstream").kind == ErrorKind::ConnectionLost);
    CHECK(Call(aBed, "at once").kind == ErrorKind::ConnectFailed);
    CHECK(
      Bed::WaitFor([&] { return Call(aBed, "later").kind == ErrorKind::None; },
                   Millis(10000)));
  });
}
