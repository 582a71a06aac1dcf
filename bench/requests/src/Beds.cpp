#include <requests_load/Beds.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>
#include <vector>

#include <bed/Caller.h>
#include <unistd.h>

namespace waxwingyoke::requests_load {

namespace {

using utils::Millis;

constexpr Millis kReadyTime(30000);

void
AddIdempotent(schema::Profile& aProfile,
              const std::string& aMethod,
              const std::string& aPath)
{
  auto* rule = aProfile.mutable_requests()->add_idempotent();
  rule->set_method(aMethod);
  rule->set_path_prefix(aPath);
}

// Waits until every entry routes to the profile, so that a measurement does not
// include the start-up.
template<typename Call>
bool
WaitRouted(bed::Bed& aBed, Call aCall, utils::Error& aReason)
{
  bool routed =
    std::ranges::all_of(aBed.GetEntries(), [&](const bed::BedNode* aEntry) {
      return bed::Bed::WaitFor([&] { return aCall(aEntry->caller); },
                               kReadyTime);
    });
  if (!routed) {
    aReason.Set(utils::ErrorKind::NoUpstream,
                "an entry does not route to the profile in time");
  }
  return routed;
}

} // namespace

bool
PublishModel(bed::Bed& aBed, utils::Error& aReason)
{
  fakes::VersionSpec spec;
  spec.set_model("m");
  spec.set_bytes(200000);
  spec.set_chunk_bytes(65536);
  spec.set_seed(1);
  auto version = aBed.MakeVersion(spec, aReason);
  if (!version) {
    return false;
  }
  schema::Profile profile;
  profile.set_name(kChatProfile);
  profile.set_kind(schema::MODEL);
  profile.set_model("m");
  profile.set_version(version->version());
  profile.mutable_vms()->set_group(bed::kEngineGroup);
  profile.mutable_switch_over()->set_max_unavailable(1000);
  AddIdempotent(profile, "POST", "/v1/chat/completions");
  if (!aBed.Publish(profile, aReason)) {
    return false;
  }
  auto count = aBed.GetEngineSides().size();
  if (!aBed.WaitEnginesWith(version->version(), count, kReadyTime)) {
    aReason.Set(utils::ErrorKind::NoUpstream,
                "an engine has not loaded the version in time");
    return false;
  }
  bed::ChatCall call;
  call.profile = kChatProfile;
  call.prompt = "p";
  call.tokens = 1;
  return WaitRouted(
    aBed,
    [&](const net::Endpoint& aEntry) {
      return bed::Chat(aBed.GetClient(), aEntry, call).complete;
    },
    aReason);
}

bool
PublishService(bed::Bed& aBed, utils::Error& aReason)
{
  schema::Profile profile;
  profile.set_name(kServiceProfile);
  profile.set_kind(schema::SERVICE);
  profile.mutable_vms()->set_group(bed::kServiceGroup);
  AddIdempotent(profile, "GET", "/status");
  if (!aBed.Publish(profile, aReason)) {
    return false;
  }
  bed::ServiceCall call;
  call.profile = kServiceProfile;
  call.method = "GET";
  call.path = "/status";
  return WaitRouted(
    aBed,
    [&](const net::Endpoint& aEntry) {
      return bed::CallService(aBed.GetClient(), aEntry, call).complete;
    },
    aReason);
}

bed::BedOptions
MakeOptions(std::vector<bed::Site> aSites,
            const EngineCapacity& aCapacity,
            std::uint64_t aSeed)
{
  bed::BedOptions options;
  options.sites = std::move(aSites);
  options.seed = aSeed;
  options.engineFaults.mutable_engine()->set_slots(aCapacity.slots);
  options.engineFaults.mutable_engine()->set_tokens_per_s(
    aCapacity.tokensPerSecond);
  options.sideLines = "slots = " + std::to_string(aCapacity.slots) + "\n";
  options.logLevel = "warn";
  return options;
}

std::int64_t
GetCpuMillis(const bed::BedNode& aNode)
{
  // utime and stime are fields 14 and 15 of /proc/PID/stat. The index counts
  // from the first field after the name in parentheses.
  constexpr std::size_t kUserTicks = 11;
  constexpr std::int64_t kMillisPerSecond = 1000;
  std::ifstream file("/proc/" + std::to_string(aNode.process->GetId()) +
                     "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream rest(text.substr(text.rfind(')') + 1));
  std::vector<std::string> fields(std::istream_iterator<std::string>(rest), {});
  if (fields.size() < kUserTicks + 2) {
    return 0;
  }
  auto ticks =
    std::stoll(fields[kUserTicks]) + std::stoll(fields[kUserTicks + 1]);
  return ticks * kMillisPerSecond / sysconf(_SC_CLK_TCK);
}

} // namespace waxwingyoke::requests_load
