// What operators declared comes into force on every process and stays, with
// the faults of log, links and processes.

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

constexpr Millis kPatience(60000);

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

/** An operator at the tool, with the log's address at hand. */
struct Operator
{
  explicit Operator(Bed& aBed)
    : log(aBed.GetClient(), aBed.GetEndpoint(Service::Log))
    , publisher(log)
  {
  }

  /** Replaces the profile aCount times; the last revision. */
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
  return Bed::WaitFor([&] { return aBed.IsInForce(aRevision); }, kPatience);
}

void
SetOutage(Bed& aBed, bool aOut)
{
  fakes::Faults faults;
  faults.set_outage(aOut);
  REQUIRE(aBed.SetFaults(Service::Log, faults));
}

} // namespace

TEST_CASE("of two operators who race one is accepted, the other told by whom")
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

TEST_CASE("a change whose answers are lost is accepted once")
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
    // Asked again by another tool that knows only the id.
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

TEST_CASE("nothing is lost while the log is out, and nothing is accepted")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    Operator anna(aBed);
    auto before = anna.Change("desk", 3);
    REQUIRE(WaitInForce(aBed, before));
    SetOutage(aBed, true);
    utils::Error reason;
    CHECK_FALSE(anna.publisher.Publish(MakeChange("desk", before), "", reason));
    CHECK(reason.kind == utils::ErrorKind::LogUnavailable);
    // A fresh process gets what is in force from its neighbours.
    auto& fresh = *aBed.GetEntries()[0];
    aBed.Kill(fresh);
    REQUIRE(aBed.StartNode(fresh, reason));
    CHECK(WaitInForce(aBed, before));
    SetOutage(aBed, false);
    CHECK(WaitInForce(aBed, anna.Change("desk", 1)));
  });
}

TEST_CASE("processes that start on a trimmed log come to the same state")
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
    // Each round leaves room for a snapshot before the next is trimmed.
    for (int round = 0; round < 5; ++round) {
      bela.Change("desk", 4);
      REQUIRE(WaitInForce(aBed, bela.revision));
      net::Runtime::Sleep(Millis(1500));
    }
    utils::Error reason;
    // Every VM is replaced: what is left is the log.
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

TEST_CASE("paused processes wake to what is in force, and never undo it")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    Operator anna(aBed);
    REQUIRE(WaitInForce(aBed, anna.Change("desk", 1)));
    auto& nodes = aBed.GetNodes();
    // Half of each data centre, its relays among them or not.
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

TEST_CASE("a node cut off from the log learns from its neighbours")
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
    // All but one: its relays have to be told by whoever reads the log.
    for (std::size_t i = 0; i + 1 < nodes.size(); ++i) {
      REQUIRE(aBed.SetLink(*nodes[i], Link::Log, hold));
    }
    CHECK(WaitInForce(aBed, anna.Change("desk", 3)));
    // The reverse: alone with the log.
    for (std::size_t i = 0; i + 1 < nodes.size(); ++i) {
      REQUIRE(aBed.SetLink(*nodes[i], Link::Log, fakes::LinkFaults()));
    }
    REQUIRE(aBed.SetLink(*nodes[0], Link::Control, hold));
    CHECK(WaitInForce(aBed, anna.Change("desk", 3)));
  });
}

TEST_CASE("a region that was cut off catches up on its return")
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

TEST_CASE("a log that lost everything is started over by the operator alone")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    constexpr std::uint64_t kRetention = 2;
    Operator anna(aBed);
    anna.Change("desk", 1);
    utils::Error reason;
    CHECK_FALSE(anna.publisher.StartOver(reason));
    CHECK(reason.kind == utils::ErrorKind::Conflict);
    anna.Change("desk", 4);
    // No snapshot is due yet, and every VM is replaced.
    std::ranges::for_each(aBed.GetNodes(),
                          [&](auto& aNode) { aBed.Kill(*aNode); });
    fakes::Faults faults;
    faults.mutable_log()->set_retention(kRetention);
    REQUIRE(aBed.SetFaults(Service::Log, faults));
    Operator bela(aBed);
    CHECK_FALSE(bela.publisher.ReadConfig(reason));
    CHECK(reason.kind == utils::ErrorKind::LogTrimmed);
    REQUIRE(aBed.StartNode(*aBed.GetNodes()[0], reason));
    CHECK(Bed::WaitFor([&] { return aBed.IsInForce(0); }, kPatience));
    CHECK_FALSE(aBed.IsInForce(1));
    REQUIRE(bela.publisher.StartOver(reason));
    auto last = bela.Change("desk", 1);
    CHECK(WaitInForce(aBed, last));
  });
}

TEST_CASE("engines unload what is retired, and load it when it comes back")
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
    CHECK(aBed.WaitEnginesWith(version->version(), kEngines, kPatience));
    change.set_kind(schema::RETIRE);
    revision = publish(revision);
    CHECK(aBed.WaitEnginesWith("", kEngines, kPatience));
    change.set_kind(schema::PUBLISH);
    publish(revision);
    CHECK(aBed.WaitEnginesWith(version->version(), kEngines, kPatience));
    CHECK(aBed.GetViolations().empty());
  });
}
