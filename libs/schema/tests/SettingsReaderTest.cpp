#include <doctest/doctest.h>

#include <schema/SettingsReader.h>
#include <schema/log.pb.h>
#include <schema/settings.pb.h>

using namespace waxwingyoke;

namespace {

const std::string kValidSettings = R"([node]
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
ReadInvalid(const std::string& aText)
{
  schema::DaemonSettings settings;
  utils::Error reason;
  CHECK_FALSE(schema::ReadSettings(aText, "s.toml", settings, reason));
  CHECK(reason.kind == utils::ErrorKind::BadSettings);
  return reason;
}

} // namespace

TEST_CASE("valid settings are read and missing keys get their presets")
{
  schema::DaemonSettings settings;
  utils::Error reason;
  REQUIRE(schema::ReadSettings(kValidSettings, "s.toml", settings, reason));
  CHECK(settings.node().vm() == "vm-1");
  CHECK(settings.node().control_port() == 7100);
  CHECK(settings.control().relays() == 2);
  CHECK_FALSE(settings.has_side());
}

TEST_CASE("an error names the file, the line and the expected value")
{
  CHECK(ReadInvalid("[node]\nvmm = \"x\"\n").detail ==
        "s.toml:2: unknown key 'vmm' in NodeSettings");
  CHECK(ReadInvalid(kValidSettings + "[log]\nlevel = 3\n").detail ==
        "s.toml:12: 'level' must be a string");
  CHECK(ReadInvalid("\n").detail == "s.toml:1: missing table 'node'");
  CHECK(ReadInvalid(kValidSettings + "[side]\nupstream = \"u\"\nslots = 0\n")
          .detail == "s.toml:13: 'slots' is 0, expected 1 to 100000");
  CHECK(ReadInvalid("[node]\nvm = \"x\"\n").detail ==
        "s.toml:1: missing key 'role'");
  CHECK(ReadInvalid("[node\n").detail.starts_with("s.toml:1: "));
}

TEST_CASE("lists, lists of tables and enum names are read")
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
