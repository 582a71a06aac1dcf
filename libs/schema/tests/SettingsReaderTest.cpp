#include <doctest/doctest.h>

#include <schema/SettingsReader.h>
#include <schema/log.pb.h>
#include <schema/settings.pb.h>

using namespace waxwingyoke;

namespace {

const std::string kGood = R"([node]
vm = "vm-1"
role = "side"
data_centre = "pecs-1"
region = "dunantul-s"
address = "127.0.0.1"
secret = "s"
[platform]
log = "127.0.0.1:1"
vm_list = "127.0.0.1:2"
)";

utils::Error
Refuse(const std::string& aText)
{
  schema::DaemonSettings settings;
  utils::Error reason;
  CHECK_FALSE(schema::ReadSettings(aText, "s.toml", settings, reason));
  CHECK(reason.kind == utils::ErrorKind::BadSettings);
  return reason;
}

} // namespace

TEST_CASE("settings are read and presets filled in")
{
  schema::DaemonSettings settings;
  utils::Error reason;
  REQUIRE(schema::ReadSettings(kGood, "s.toml", settings, reason));
  CHECK(settings.node().vm() == "vm-1");
  CHECK(settings.node().control_port() == 7100);
  CHECK(settings.control().relays() == 2);
  CHECK_FALSE(settings.has_side());
}

TEST_CASE("a fault names file, line and what was expected")
{
  CHECK(Refuse("[node]\nvmm = \"x\"\n").detail ==
        "s.toml:2: unknown key 'vmm' in NodeSettings");
  CHECK(Refuse(kGood + "[log]\nlevel = 3\n").detail ==
        "s.toml:12: 'level' must be a string");
  CHECK(Refuse("\n").detail == "s.toml:1: missing table 'node'");
  CHECK(Refuse(kGood + "[side]\nupstream = \"u\"\nslots = 0\n").detail ==
        "s.toml:13: 'slots' is 0, expected 1 to 100000");
  CHECK(Refuse("[node]\nvm = \"x\"\n").detail ==
        "s.toml:1: missing key 'role'");
  CHECK(Refuse("[node\n").detail.starts_with("s.toml:1: "));
}

TEST_CASE("lists, tables in lists and enums are read by their names")
{
  schema::Profile profile;
  utils::Error reason;
  REQUIRE(schema::ReadSettings(R"(name = "register"
kind = "service"
[vms]
group = "csapregiszter"
data_centres = ["pecs-1", "debrecen-1"]
[[requests.idempotent]]
method = "GET"
path_prefix = "/status"
)",
                               "p.toml",
                               profile,
                               reason));
  CHECK(profile.kind() == schema::SERVICE);
  CHECK(profile.vms().data_centres(1) == "debrecen-1");
  CHECK(profile.requests().idempotent(0).path_prefix() == "/status");
  CHECK_FALSE(schema::ReadSettings(
    "name = \"x\"\nkind = \"modle\"\n", "p.toml", profile, reason));
  CHECK(reason.detail == "p.toml:2: 'kind' must be one of model, service");
  CHECK_FALSE(schema::ReadSettings(
    "name = \"x\"\nrevision = 7\n", "p.toml", profile, reason));
  CHECK(reason.detail == "p.toml:2: unknown key 'revision' in Profile");
}
