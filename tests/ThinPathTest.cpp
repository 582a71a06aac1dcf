// The path from a published profile to its answers, once, with real processes
// and without faults.

#include <doctest/doctest.h>

#include <bed/Bed.h>
#include <bed/Caller.h>
#include <fakes/Tokens.h>
#include <schema/Json.h>

using namespace waxwingyoke;
using namespace waxwingyoke::bed;

namespace {

constexpr utils::Millis kWaitTimeout(60000);

BedOptions
MakeOptions()
{
  BedOptions options;
  options.sites = { { "budapest-1", "kozep-mo", 1, 3, 1 },
                    { "debrecen-1", "alfold-east", 1, 3, 1 },
                    { "pecs-1", "dunantul-s", 1, 2, 0 } };
  return options;
}

fakes::VersionSpec
MakeSpec()
{
  constexpr std::uint64_t kBytes = 4 << 20;
  constexpr std::uint32_t kChunkBytes = 256 << 10;
  fakes::VersionSpec spec;
  spec.set_model("summaries");
  spec.set_bytes(kBytes);
  spec.set_chunk_bytes(kChunkBytes);
  spec.set_seed(1);
  return spec;
}

schema::Profile
MakeModelProfile(const std::string& aVersion)
{
  schema::Profile profile;
  profile.set_name("summaries");
  profile.set_kind(schema::MODEL);
  profile.set_model("summaries");
  profile.set_version(aVersion);
  profile.mutable_vms()->set_group(kEngineGroup);
  return profile;
}

schema::Profile
MakeServiceProfile()
{
  schema::Profile profile;
  profile.set_name("csapregiszter");
  profile.set_kind(schema::SERVICE);
  profile.mutable_vms()->set_group(kServiceGroup);
  return profile;
}

} // namespace

TEST_CASE("a published version is distributed, loaded and answers requests")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    utils::Error reason;
    auto version = aBed.MakeVersion(MakeSpec(), reason);
    REQUIRE_MESSAGE(version, reason.detail);
    REQUIRE(aBed.Publish(MakeModelProfile(version->version()), reason));
    REQUIRE(aBed.Publish(MakeServiceProfile(), reason));
    CHECK(aBed.WaitEnginesWith(version->version(), 8, kWaitTimeout));

    for (auto* entry : aBed.GetEntries()) {
      for (bool stream : { true, false }) {
        ChatCall call;
        call.profile = "summaries";
        call.prompt = "inspection history by " + entry->vm.id();
        call.stream = stream;
        CallerAnswer answer;
        // The entry receives the readiness of the sides after the engines have
        // loaded the version.
        Bed::WaitFor(
          [&] {
            answer = Chat(aBed.GetClient(), entry->caller, call);
            return answer.complete;
          },
          kWaitTimeout);
        CHECK_MESSAGE(answer.complete, answer.status, " ", answer.text);
        CHECK(answer.version == version->version());
        CHECK(answer.text ==
              fakes::MakeAnswer(call.prompt, answer.version, call.tokens));
      }
      ServiceCall change;
      change.profile = "csapregiszter";
      change.path = "/hydrants/7";
      change.body = "out of order, by " + entry->vm.id();
      CallerAnswer answer;
      Bed::WaitFor(
        [&] {
          answer = CallService(aBed.GetClient(), entry->caller, change);
          return answer.complete || answer.run != "no";
        },
        kWaitTimeout);
      CHECK_MESSAGE(answer.complete, answer.status, " ", answer.text);
      CHECK(aBed.CountServiceRuns(change.body) == 1);
    }
    CHECK(aBed.GetViolations().empty());
    for (auto& node : aBed.GetNodes()) {
      CHECK(aBed.WaitReady(*node, kWaitTimeout));
    }
  });
}
