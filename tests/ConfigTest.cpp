// An accepted profile change comes into force on every process and stays in
// force, under faults of the log, the links and the processes.

#include <doctest/doctest.h>

#include <algorithm>

#include <bed/Bed.h>
#include <net/Runtime.h>
#include <profiles/Publisher.h>

using namespace waxwingyoke;
using namespace waxwingyoke::bed;

namespace {

using profiles::PublishResult;
using utils::Millis;

constexpr Millis kWaitTimeout(60000);

BedOptions
MakeOptions()
{
  BedOptions options;
  options.sites = { { "budapest-1", "kozep-mo", 1, 2, 1 },
                    { "debrecen-1", "alfold-east", 1, 2, 1 } };
  return options;
}

schema::ProfileChange
MakeChange(const std::string& aName, std::uint64_t aReplaces)
{
  schema::ProfileChange change;
  change.set_author("anna");
  change.set_replaces_revision(aReplaces);
  auto& profile = *change.mutable_profile();
  profile.set_name(aName);
  profile.set_kind(schema::SERVICE);
  profile.mutable_vms()->set_group(aName);
  profile.mutable_requests()->add_organisations("after-" +
                                                std::to_string(aReplaces));
  return change;
}

/** An operator who publishes profiles straight to the log. */
struct Operator
{
  explicit Operator(Bed& aBed)
    : log(aBed.GetClient(), aBed.GetEndpoint(Service::Log))
    , publisher(log)
  {
  }

  /** Replaces the profile aCount times; returns the last revision. */
  std::uint64_t Change(const std::string& aName, std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      utils::Error reason;
      auto result = publisher.Publish(MakeChange(aName, revision), "", reason);
      REQUIRE_MESSAGE(result, reason.detail);
      REQUIRE(result->kind == PublishResult::Kind::Accepted);
      revision = result->revision;
    }
    return revision;
  }

  platform::LogClient log;
  profiles::Publisher publisher;
  std::uint64_t revision = 0;
};

bool
WaitInForce(Bed& aBed, std::uint64_t aRevision)
{
  return Bed::WaitFor([&] { return aBed.IsInForce(aRevision); }, kWaitTimeout);
}

void
SetOutage(Bed& aBed, bool aOut)
{
  fakes::Faults faults;
  faults.set_outage(aOut);
  REQUIRE(aBed.SetFaults(Service::Log, faults));
}

} // namespace

TEST_CASE(
  "of two concurrent changes one is accepted, the other gets its author")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    Operator anna(aBed);
    Operator bela(aBed);
    auto first = anna.Change("desk", 1);
    bela.revision = first;
    auto second = bela.Change("desk", 1);
    utils::Error reason;
    auto late = anna.publisher.Publish(MakeChange("desk", first), "", reason);
    REQUIRE(late);
    CHECK(late->kind == PublishResult::Kind::Conflict);
    CHECK(late->revision == second);
    CHECK(late->author == "anna");
    CHECK_FALSE(late->difference.empty());
    CHECK(WaitInForce(aBed, second));
  });
}

TEST_CASE("a change whose answer is lost is accepted once")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    constexpr std::uint32_t kEveryAnswer = 1000;
    Operator anna(aBed);
    auto first = anna.Change("desk", 1);
    fakes::Faults faults;
    faults.set_lost_answers_per_mille(kEveryAnswer);
    REQUIRE(aBed.SetFaults(Service::Log, faults));
    utils::Error reason;
    auto change = MakeChange("desk", first);
    auto lost = anna.publisher.Publish(change, "", reason);
    REQUIRE(lost);
    REQUIRE(lost->kind == PublishResult::Kind::Unknown);
    REQUIRE(aBed.SetFaults(Service::Log, fakes::Faults()));
    // Retried by another publisher, which has only the id.
    Operator again(aBed);
    auto found = again.publisher.Publish(change, lost->id, reason);
    REQUIRE_MESSAGE(found, reason.detail);
    CHECK(found->kind == PublishResult::Kind::Accepted);
    CHECK(found->revision == first + 1);
    auto config = again.publisher.ReadConfig(reason);
    REQUIRE(config);
    CHECK(config->GetRevision("desk") == first + 1);
    CHECK(WaitInForce(aBed, config->nextOffset));
  });
}

TEST_CASE("during a log outage no change is lost and none is accepted")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    Operator anna(aBed);
    auto before = anna.Change("desk", 3);
    REQUIRE(WaitInForce(aBed, before));
    SetOutage(aBed, true);
    utils::Error reason;
    CHECK_FALSE(anna.publisher.Publish(MakeChange("desk", before), "", reason));
    CHECK(reason.kind == utils::ErrorKind::LogUnavailable);
    // A restarted process gets the configuration in force from its peers.
    auto& fresh = *aBed.GetEntries()[0];
    aBed.Kill(fresh);
    REQUIRE(aBed.StartNode(fresh, reason));
    CHECK(WaitInForce(aBed, before));
    SetOutage(aBed, false);
    CHECK(WaitInForce(aBed, anna.Change("desk", 1)));
  });
}

TEST_CASE("processes that start with a trimmed log reach the same state")
{
  auto options = MakeOptions();
  options.settings = "[control]\nsnapshot_interval_ms = 500\n";
  RunWithBed(options, [](Bed& aBed) {
    constexpr std::uint64_t kRetention = 12;
    Operator anna(aBed);
    anna.Change("kept", 1);
    fakes::Faults faults;
    faults.mutable_log()->set_retention(kRetention);
    REQUIRE(aBed.SetFaults(Service::Log, faults));
    Operator bela(aBed);
    // Each round leaves time for a snapshot before the next one trims the log.
    for (int round = 0; round < 5; ++round) {
      bela.Change("desk", 4);
      REQUIRE(WaitInForce(aBed, bela.revision));
      net::Runtime::Sleep(Millis(1500));
    }
    utils::Error reason;
    // Restarts every process, so that only the log has the configuration.
    std::ranges::for_each(aBed.GetNodes(),
                          [&](auto& aNode) { aBed.Kill(*aNode); });
    std::ranges::for_each(aBed.GetNodes(), [&](auto& aNode) {
      REQUIRE(aBed.StartNode(*aNode, reason));
    });
    CHECK(WaitInForce(aBed, bela.revision));
    Operator fresh(aBed);
    auto config = fresh.publisher.ReadConfig(reason);
    REQUIRE_MESSAGE(config, reason.detail);
    CHECK(config->GetRevision("kept") == 1);
    CHECK(config->GetRevision("desk") == bela.revision);
  });
}

TEST_CASE("resumed processes apply the changes made meanwhile and revert none")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    Operator anna(aBed);
    REQUIRE(WaitInForce(aBed, anna.Change("desk", 1)));
    auto& nodes = aBed.GetNodes();
    // Half of each data centre, whether or not its relays are among them.
    for (std::size_t i = 0; i < nodes.size(); i += 2) {
      aBed.Pause(*nodes[i]);
    }
    auto last = anna.Change("desk", 5);
    for (std::size_t i = 0; i < nodes.size(); i += 2) {
      aBed.Resume(*nodes[i]);
    }
    CHECK(WaitInForce(aBed, last));
  });
}

TEST_CASE("a process without a link to the log gets changes from its peers")
{
  auto options = MakeOptions();
  options.proxied = true;
  RunWithBed(options, [](Bed& aBed) {
    Operator anna(aBed);
    REQUIRE(WaitInForce(aBed, anna.Change("desk", 1)));
    fakes::LinkFaults hold;
    hold.set_hold_to_target(true);
    hold.set_hold_to_client(true);
    auto& nodes = aBed.GetNodes();
    // All but the last process: the relays must get the changes from it.
    for (std::size_t i = 0; i + 1 < nodes.size(); ++i) {
      REQUIRE(aBed.SetLink(*nodes[i], Link::Log, hold));
    }
    CHECK(WaitInForce(aBed, anna.Change("desk", 3)));
    // The reverse: the first process has only its link to the log.
    for (std::size_t i = 0; i + 1 < nodes.size(); ++i) {
      REQUIRE(aBed.SetLink(*nodes[i], Link::Log, fakes::LinkFaults()));
    }
    REQUIRE(aBed.SetLink(*nodes[0], Link::Control, hold));
    CHECK(WaitInForce(aBed, anna.Change("desk", 3)));
  });
}

TEST_CASE("a region catches up when its partition ends")
{
  auto options = MakeOptions();
  options.proxied = true;
  RunWithBed(options, [](Bed& aBed) {
    Operator anna(aBed);
    auto first = anna.Change("desk", 1);
    REQUIRE(WaitInForce(aBed, first));
    REQUIRE(aBed.SetRegionCut("alfold-east", true));
    auto last = anna.Change("desk", 4);
    net::Runtime::Sleep(Millis(8000));
    CHECK_FALSE(aBed.IsInForce(last));
    REQUIRE(aBed.SetRegionCut("alfold-east", false));
    CHECK(WaitInForce(aBed, last));
  });
}

TEST_CASE(
  "a log trimmed without a snapshot is started over only by the operator")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    constexpr std::uint64_t kRetention = 2;
    Operator anna(aBed);
    anna.Change("desk", 1);
    utils::Error reason;
    CHECK_FALSE(anna.publisher.StartOver(reason));
    CHECK(reason.kind == utils::ErrorKind::Conflict);
    anna.Change("desk", 4);
    // No snapshot has been written yet, and no process keeps the state.
    std::ranges::for_each(aBed.GetNodes(),
                          [&](auto& aNode) { aBed.Kill(*aNode); });
    fakes::Faults faults;
    faults.mutable_log()->set_retention(kRetention);
    REQUIRE(aBed.SetFaults(Service::Log, faults));
    Operator bela(aBed);
    CHECK_FALSE(bela.publisher.ReadConfig(reason));
    CHECK(reason.kind == utils::ErrorKind::LogTrimmed);
    REQUIRE(aBed.StartNode(*aBed.GetNodes()[0], reason));
    CHECK(Bed::WaitFor([&] { return aBed.IsInForce(0); }, kWaitTimeout));
    CHECK_FALSE(aBed.IsInForce(1));
    REQUIRE(bela.publisher.StartOver(reason));
    auto last = bela.Change("desk", 1);
    CHECK(WaitInForce(aBed, last));
  });
}

TEST_CASE(
  "engines unload a retired model, and load it when it is published again")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    constexpr std::size_t kEngines = 4;
    fakes::VersionSpec spec;
    spec.set_model("m");
    spec.set_bytes(200000);
    spec.set_chunk_bytes(65536);
    spec.set_seed(3);
    utils::Error reason;
    auto version = aBed.MakeVersion(spec, reason);
    REQUIRE_MESSAGE(version, reason.detail);
    auto change = MakeChange("llm", 0);
    change.mutable_profile()->set_kind(schema::MODEL);
    change.mutable_profile()->set_version(version->version());
    change.mutable_profile()->mutable_vms()->set_group(kEngineGroup);
    Operator anna(aBed);
    auto publish = [&](std::uint64_t aReplaces) {
      change.set_replaces_revision(aReplaces);
      auto result = anna.publisher.Publish(change, "", reason);
      REQUIRE(result);
      REQUIRE(result->kind == PublishResult::Kind::Accepted);
      return result->revision;
    };
    auto revision = publish(0);
    CHECK(aBed.WaitEnginesWith(version->version(), kEngines, kWaitTimeout));
    change.set_kind(schema::RETIRE);
    revision = publish(revision);
    CHECK(aBed.WaitEnginesWith("", kEngines, kWaitTimeout));
    change.set_kind(schema::PUBLISH);
    publish(revision);
    CHECK(aBed.WaitEnginesWith(version->version(), kEngines, kWaitTimeout));
    CHECK(aBed.GetViolations().empty());
  });
}
