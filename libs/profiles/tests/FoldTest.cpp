#include <doctest/doctest.h>
#include <google/protobuf/unknown_field_set.h>

#include <profiles/Fold.h>
#include <profiles/Validate.h>

#include "History.h"

using namespace waxwingyoke;
using namespace waxwingyoke::profiles;
using namespace waxwingyoke::profiles::tests;

TEST_CASE("a change is accepted only if it replaces the current revision")
{
  Fold fold;
  auto profile = MakeProfile("desk", "g");
  auto first = fold.Apply(0, MakeChange("a", schema::PUBLISH, 0, profile));
  CHECK(first.outcome == FoldOutcome::Accepted);
  CHECK(first.revision == 1);

  auto conflicting =
    fold.Apply(1, MakeChange("b", schema::CHANGE, 0, profile, "bela"));
  CHECK(conflicting.outcome == FoldOutcome::Conflict);
  CHECK(conflicting.revision == 1);
  CHECK(conflicting.author == "anna");

  auto next =
    fold.Apply(2, MakeChange("c", schema::CHANGE, 1, profile, "bela"));
  CHECK(next.outcome == FoldOutcome::Accepted);
  CHECK(fold.GetConfig()->FindProfile("desk")->revision() == 3);
  CHECK(fold.GetConfig()->FindProfile("desk")->author() == "bela");
}

TEST_CASE("a record id is folded once, even if the record was refused")
{
  Fold fold;
  auto profile = MakeProfile("desk", "g");
  auto other = MakeProfile("other", "g");
  fold.Apply(0, MakeChange("a", schema::PUBLISH, 0, profile));
  auto again = fold.Apply(1, MakeChange("a", schema::PUBLISH, 0, profile));
  CHECK(again.outcome == FoldOutcome::Repeated);
  CHECK(fold.GetConfig()->GetRevision("desk") == 1);

  auto refused = MakeChange("b", schema::PUBLISH, 0, other);
  CHECK(fold.Apply(2, refused).outcome == FoldOutcome::Overlap);
  fold.Apply(3, MakeChange("c", schema::RETIRE, 1, profile));
  CHECK(fold.Apply(4, refused).outcome == FoldOutcome::Repeated);
  CHECK(fold.GetConfig()->profiles.empty());
}

TEST_CASE("at most one live profile selects a group in a data centre")
{
  Fold fold;
  auto north = MakeProfile("north", "g");
  north.mutable_vms()->add_data_centres("bgo-sone1");
  auto south = MakeProfile("south", "g");
  south.mutable_vms()->add_data_centres("osl-sone1");
  auto all = MakeProfile("all", "g");
  CHECK(fold.Apply(0, MakeChange("a", schema::PUBLISH, 0, north)).outcome ==
        FoldOutcome::Accepted);
  CHECK(fold.Apply(1, MakeChange("b", schema::PUBLISH, 0, south)).outcome ==
        FoldOutcome::Accepted);
  auto refused = fold.Apply(2, MakeChange("c", schema::PUBLISH, 0, all));
  CHECK(refused.outcome == FoldOutcome::Overlap);
  CHECK(refused.profile == "north");

  schema::Vm vm;
  vm.set_group("g");
  vm.set_data_centre("osl-sone1");
  CHECK(fold.GetConfig()->FindProfileOf(vm)->name() == "south");
  vm.set_data_centre("tos-sone1");
  CHECK(fold.GetConfig()->FindProfileOf(vm) == nullptr);
}

TEST_CASE(
  "a retired profile can only be republished by replacing its retirement")
{
  Fold fold;
  auto profile = MakeProfile("desk", "g");
  fold.Apply(0, MakeChange("a", schema::PUBLISH, 0, profile));
  fold.Apply(1, MakeChange("b", schema::RETIRE, 1, profile, "bela"));
  CHECK(fold.GetConfig()->FindProfile("desk") == nullptr);
  // An operator who has not read the retirement must not undo it.
  auto stale = fold.Apply(2, MakeChange("c", schema::PUBLISH, 0, profile));
  CHECK(stale.outcome == FoldOutcome::Conflict);
  CHECK(stale.author == "bela");
  CHECK(fold.Apply(3, MakeChange("d", schema::PUBLISH, 2, profile)).outcome ==
        FoldOutcome::Accepted);
}

TEST_CASE("invalid records are skipped with the outcome of their fault")
{
  auto noGroup = MakeProfile("desk", "");
  auto noVersion = MakeProfile("desk", "g");
  noVersion.set_kind(schema::MODEL);
  schema::LogRecord unknown;
  unknown.set_id("u");
  struct Row
  {
    std::string payload;
    FoldOutcome outcome;
  };
  const std::vector<Row> rows{
    { "\xff\xff", FoldOutcome::Broken },
    { "", FoldOutcome::Broken },
    { unknown.SerializeAsString(), FoldOutcome::Unknown },
    { std::string(kMaxSnapshotBytes + 1, 'x'), FoldOutcome::TooLarge },
    { MakeChange("a", schema::PUBLISH, 0, noGroup), FoldOutcome::Invalid },
    { MakeChange("b", schema::PUBLISH, 0, noVersion), FoldOutcome::Invalid },
    { MakeChange(std::string(65, 'i'), schema::PUBLISH, 0, noGroup),
      FoldOutcome::Broken },
  };
  Fold fold;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    CAPTURE(i);
    CHECK(fold.Apply(i, rows[i].payload).outcome == rows[i].outcome);
  }
  CHECK(fold.GetNextOffset() == rows.size());
  CHECK(fold.GetConfig()->profiles.empty());
}

TEST_CASE("the state is bounded and drops its oldest entries first")
{
  constexpr std::uint64_t kChanges = 3000;
  Fold fold;
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    schema::LogRecord record;
    record.set_id("q" + std::to_string(i));
    record.mutable_quarantine_change()->set_request_digest(
      utils::Digest::Of(record.id()).ToHex());
    fold.Apply(i, record.SerializeAsString());
  }
  CHECK(fold.GetState().quarantine_size() == 1024);
  CHECK(fold.GetState().recent_ids_size() == 1024);
  auto oldest = utils::Digest::Of("q0").ToHex();
  auto newest = utils::Digest::Of("q2999").ToHex();
  CHECK_FALSE(fold.GetConfig()->quarantine.contains(oldest));
  CHECK(fold.GetConfig()->quarantine.contains(newest));
}

TEST_CASE("an older release keeps profile fields that a newer release added")
{
  constexpr int kNewerField = 99;
  auto profile = MakeProfile("desk", "g");
  profile.GetReflection()->MutableUnknownFields(&profile)->AddLengthDelimited(
    kNewerField, "newer");
  Fold full;
  full.Apply(0, MakeChange("a", schema::PUBLISH, 0, profile));
  // The field is also in a snapshot that the older release writes.
  schema::LogRecord record;
  *record.mutable_snapshot() = full.MakeSnapshot();
  auto snapshot = ReadSnapshot(record.SerializeAsString());
  REQUIRE(snapshot);
  Fold fresh(snapshot->next_offset(), snapshot->state());
  auto config = fresh.GetConfig();
  const auto* kept = config->FindProfile("desk");
  REQUIRE(kept != nullptr);
  const auto& fields = kept->GetReflection()->GetUnknownFields(*kept);
  REQUIRE(fields.field_count() == 1);
  CHECK(fields.field(0).length_delimited() == "newer");
  CHECK(Fold::GetDigest(fresh.GetState()) == Fold::GetDigest(full.GetState()));
}
