#include <doctest/doctest.h>

#include <profiles/Preview.h>

#include "History.h"

using namespace waxwingyoke;
using namespace waxwingyoke::profiles;
using namespace waxwingyoke::profiles::tests;

namespace {

schema::VmList
MakeVms()
{
  schema::VmList list;
  for (const auto* dataCentre : { "osl-sone1", "bgo-sone1", "tos-sone1" }) {
    auto& vm = *list.add_vms();
    vm.set_id(std::string("vm-") + dataCentre);
    vm.set_group("g");
    vm.set_data_centre(dataCentre);
  }
  return list;
}

schema::ProfileChange
MakeModelChange(std::uint64_t aReplaces, const std::string& aContent)
{
  schema::ProfileChange change;
  change.set_kind(aReplaces ? schema::CHANGE : schema::PUBLISH);
  change.set_replaces_revision(aReplaces);
  auto& profile = *change.mutable_profile();
  profile = MakeProfile("desk", "g");
  profile.set_kind(schema::MODEL);
  profile.set_version(utils::Digest::Of(aContent).ToHex());
  profile.mutable_vms()->add_data_centres("osl-sone1");
  profile.mutable_vms()->add_data_centres("bgo-sone1");
  return change;
}

Fold
FoldSingleChange(const schema::ProfileChange& aChange)
{
  schema::LogRecord record;
  record.set_id("first");
  *record.mutable_profile_change() = aChange;
  Fold fold;
  fold.Apply(0, record.SerializeAsString());
  return fold;
}

} // namespace

TEST_CASE("a preview lists the VMs and the request rules that a change affects")
{
  auto first = MakeModelChange(0, "one");
  auto preview = MakePreview(Fold(), first, MakeVms());
  CHECK(preview.result.outcome == FoldOutcome::Accepted);
  REQUIRE(preview.vms.size() == 2);
  CHECK(preview.vms[0].vm == "vm-osl-sone1");
  CHECK(preview.vms[0].loads);
  CHECK(preview.requests.size() == 1);

  auto fold = FoldSingleChange(first);
  auto rules = MakeModelChange(1, "one");
  rules.mutable_profile()->mutable_requests()->add_organisations("brigade");
  auto& rule = *rules.mutable_profile()->mutable_requests()->add_idempotent();
  rule.set_method("GET");
  rule.set_path_prefix("/status");
  preview = MakePreview(fold, rules, MakeVms());
  CHECK(preview.vms.size() == 2);
  CHECK_FALSE(preview.vms[0].loads);
  CHECK(preview.requests ==
        std::vector<std::string>{
          "requests are accepted from brigade instead of every organisation",
          "GET /status may be repeated" });
  CHECK(fold.GetConfig()->GetRevision("desk") == 1);
}

TEST_CASE("a preview reports a conflict and its differences")
{
  auto fold = FoldSingleChange(MakeModelChange(0, "one"));
  auto preview = MakePreview(fold, MakeModelChange(0, "two"), MakeVms());
  CHECK(preview.result.outcome == FoldOutcome::Conflict);
  CHECK(preview.result.revision == 1);
  CHECK(preview.vms.empty());
  CHECK(preview.difference.find("version") != std::string::npos);
}

TEST_CASE("a preview of a retirement lists freed VMs and refused requests")
{
  auto change = MakeModelChange(0, "one");
  auto fold = FoldSingleChange(change);
  change.set_kind(schema::RETIRE);
  change.set_replaces_revision(1);
  auto preview = MakePreview(fold, change, MakeVms());
  REQUIRE(preview.vms.size() == 2);
  CHECK(preview.vms[0].after.empty());
  CHECK(preview.requests.size() == 1);
}
