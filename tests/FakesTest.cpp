// The behaviour of the fakes that other tests rely on: the injected faults of
// the log, the engine's checks of digests and fencing tokens, and its crash.

#include <doctest/doctest.h>

#include <bed/Bed.h>
#include <fakes/Tokens.h>
#include <platform/EngineClient.h>
#include <platform/LogClient.h>
#include <schema/Json.h>

using namespace waxwingyoke;
using namespace waxwingyoke::bed;

namespace {

BedOptions
MakeOptions()
{
  BedOptions options;
  options.sites = { { "pecs-1", "dunantul-s", 0, 1, 1 } };
  options.startDaemons = false;
  return options;
}

fakes::VersionSpec
MakeSpec()
{
  fakes::VersionSpec spec;
  spec.set_model("m");
  spec.set_bytes(300000);
  spec.set_chunk_bytes(65536);
  spec.set_seed(7);
  return spec;
}

std::optional<schema::EngineState>
Load(Bed& aBed,
     const std::string& aVersion,
     std::uint64_t aFencing,
     utils::Error& aReason)
{
  schema::LoadOrder order;
  order.set_version(aVersion);
  order.set_fencing(aFencing);
  order.set_source(aBed.GetEndpoint(Service::Store).ToString());
  platform::EngineClient engine(aBed.GetClient(),
                                aBed.GetEngineSides()[0]->upstream);
  return engine.Load(order, utils::Millis(10000), aReason);
}

} // namespace

TEST_CASE("the log assigns offsets, trims, refuses and loses answers as set")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    utils::Error reason;
    platform::LogClient log(aBed.GetClient(), aBed.GetEndpoint(Service::Log));
    CHECK(log.Append("s", "one", reason) == 0);
    fakes::Faults faults;
    faults.set_lost_answers_per_mille(1000);
    aBed.SetFaults(Service::Log, faults);
    CHECK_FALSE(log.Append("s", "two", reason));
    CHECK(reason.kind == utils::ErrorKind::OutcomeUnknown);
    faults.Clear();
    faults.mutable_log()->set_retention(1);
    aBed.SetFaults(Service::Log, faults);
    auto page = log.Read("s", 1, 10, {}, reason);
    REQUIRE(page);
    REQUIRE(page->records_size() == 1);
    CHECK(page->records(0).payload() == "two");
    CHECK_FALSE(log.Read("s", 0, 10, {}, reason));
    CHECK(reason.kind == utils::ErrorKind::LogTrimmed);
    faults.set_outage(true);
    aBed.SetFaults(Service::Log, faults);
    CHECK_FALSE(log.Append("s", "three", reason));
    CHECK(reason.kind == utils::ErrorKind::LogUnavailable);
  });
}

TEST_CASE(
  "the engine loads only a version with correct digests and a fencing token "
  "that is not older")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    utils::Error reason;
    auto version = aBed.MakeVersion(MakeSpec(), reason);
    REQUIRE_MESSAGE(version, reason.detail);
    auto state = Load(aBed, version->version(), 5, reason);
    REQUIRE_MESSAGE(state, reason.detail);
    CHECK(state->version() == version->version());
    CHECK_FALSE(Load(aBed, version->version(), 4, reason));
    CHECK(reason.kind == utils::ErrorKind::Conflict);
    CHECK(aBed.GetViolations().empty());
    CHECK(aBed.GetCounters(Service::Store)->bytes_served() == 300000);

    fakes::Faults faults;
    faults.mutable_store()->set_corrupt_per_mille(1000);
    aBed.SetFaults(Service::Store, faults);
    CHECK_FALSE(Load(aBed, version->version(), 6, reason));
    CHECK(aBed.GetViolations().size() == 1);
    CHECK(aBed.CountEnginesWith("") == 1);
  });
}

TEST_CASE(
  "a crashed engine does not answer until it restarts without a version")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    utils::Error reason;
    auto version = aBed.MakeVersion(MakeSpec(), reason);
    REQUIRE(version);
    REQUIRE(Load(aBed, version->version(), 1, reason));
    auto& side = *aBed.GetEngineSides()[0];
    auto before = aBed.GetEngineState(side);
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.body =
      R"({"messages":[{"role":"user","content":"crash-the-upstream"}]})";
    CHECK_FALSE(aBed.GetClient().Call(side.upstream, request, {}, reason));
    CHECK(Bed::WaitFor([&] { return aBed.GetEngineState(side).has_value(); },
                       utils::Millis(10000)));
    auto after = aBed.GetEngineState(side);
    REQUIRE(after);
    CHECK(after->version().empty());
    CHECK(after->incarnation() != before->incarnation());
    CHECK(aBed.CountPromptRuns("crash-the-upstream") == 1);
  });
}
