// Malformed input to every parser that reads from others, and connections that
// are opened and left idle or half used. Neither may crash a daemon, stop it
// from serving, or make its memory exceed a bound per connection.

#include <doctest/doctest.h>

#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <bed/Bed.h>
#include <bed/Caller.h>
#include <net/Router.h>
#include <platform/LogClient.h>
#include <schema/SettingsReader.h>
#include <schema/settings.pb.h>

#include "RawSocket.h"

using namespace waxwingyoke;
using namespace waxwingyoke::bed;
using waxwingyoke::tests::RawSocket;

namespace {

constexpr utils::Millis kWaitTimeout(30000);
constexpr std::uint64_t kFuzzSeed = 20261203;

BedOptions
MakeOptions()
{
  BedOptions options;
  options.sites = { { "pecs-1", "dunantul-s", 1, 0, 1 } };
  return options;
}

bool
PublishService(Bed& aBed)
{
  schema::Profile profile;
  profile.set_name("csapregiszter");
  profile.set_kind(schema::SERVICE);
  profile.mutable_vms()->set_group(kServiceGroup);
  utils::Error reason;
  return aBed.Publish(profile, reason).has_value();
}

// Whether a valid call gets its complete answer.
bool
IsServing(Bed& aBed)
{
  ServiceCall call;
  call.profile = "csapregiszter";
  call.body = "well-made";
  return Bed::WaitFor(
    [&] {
      auto entry = aBed.GetEntries()[0]->caller;
      return CallService(aBed.GetClient(), entry, call).complete;
    },
    kWaitTimeout);
}

// Applies one to four random changes to a text: a byte replaced, a range
// removed or duplicated, or the rest truncated.
std::string
Damage(std::string aText, std::mt19937_64& aRandom)
{
  constexpr std::uint64_t kMaxChanges = 4;
  constexpr std::uint64_t kByteValues = 256;
  auto changes = 1 + aRandom() % kMaxChanges;
  for (std::uint64_t i = 0; i < changes && !aText.empty(); ++i) {
    auto at = aRandom() % aText.size();
    auto size = 1 + aRandom() % (aText.size() - at);
    switch (aRandom() % 4) {
      case 0:
        aText[at] = static_cast<char>(aRandom() % kByteValues);
        break;
      case 1:
        aText.erase(at, size);
        break;
      case 2:
        aText.insert(at, aText.substr(at, size));
        break;
      default:
        aText.resize(at);
    }
  }
  return aText;
}

std::string
MakePost(const std::string& aPath,
         const std::string& aBody,
         const std::string& aFields = "")
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: x\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** A parser of input from others, and a valid text that is to be damaged. */
struct Target
{
  std::string name;
  std::string text;
  int cases;
  std::function<void(Bed&, const std::string&)> feed;
};

void
FeedEntry(Bed& aBed, const std::string& aBytes)
{
  RawSocket socket(aBed.GetEntries()[0]->caller);
  socket.Send(aBytes);
  socket.EndSending();
  auto answer = socket.Receive();
  CHECK((answer.empty() || answer.starts_with("HTTP/1.1 ")));
}

void
FeedSide(Bed& aBed, const std::string& aBytes)
{
  RawSocket socket(aBed.GetServiceSides()[0]->control);
  socket.Send(aBytes);
  socket.EndSending();
  auto answer = socket.Receive();
  CHECK((answer.empty() || answer.starts_with("HTTP/1.1 ")));
}

void
FeedLog(Bed& aBed, const std::string& aBytes)
{
  utils::Error reason;
  platform::LogClient log(aBed.GetClient(), aBed.GetEndpoint(Service::Log));
  log.Append(platform::kConfigStream, aBytes, reason);
}

void
FeedSettings(Bed&, const std::string& aText)
{
  schema::DaemonSettings settings;
  utils::Error reason;
  bool accepted = schema::ReadSettings(aText, "fuzz.toml", settings, reason);
  CHECK((accepted || reason.kind == utils::ErrorKind::BadSettings));
}

std::vector<Target>
MakeTargets(Bed& aBed)
{
  auto secret = net::MakeSecretField(kSecret);
  auto fields = secret.name + ": " + secret.value + "\r\n";
  schema::LogRecord record;
  record.set_id("fuzz");
  auto& profile = *record.mutable_profile_change()->mutable_profile();
  profile.set_name("fuzz");
  profile.mutable_vms()->set_group("nobody");
  std::ifstream file(aBed.GetEntries()[0]->settingsFile);
  std::string settings(std::istreambuf_iterator<char>(file), {});
  return {
    { "caller's HTTP and JSON",
      MakePost("/v1/chat/completions",
               R"({"model":"m","stream":true,"messages":[{"content":"x"}]})"),
      400,
      &FeedEntry },
    { "call of a plain service",
      MakePost("/services/csapregiszter/a",
               "body",
               "X-Deadline-Ms: 300\r\nIdempotency-Key: 1-a\r\n"),
      200,
      &FeedEntry },
    { "JSON-RPC between processes",
      MakePost(
        "/rpc",
        R"({"jsonrpc":"2.0","id":1,"method":"attempt.ask","params":{"attempt":"a"}})",
        fields),
      400,
      &FeedSide },
    { "an attempt, with its secret",
      MakePost("/attempts", std::string("\n\1a\x12\1b\x1a\1c", 9), fields),
      200,
      &FeedSide },
    { "records of the log", record.SerializeAsString(), 300, &FeedLog },
    { "settings", settings, 1000, &FeedSettings },
  };
}

// Resident memory of a process in bytes.
std::size_t
GetMemory(const BedNode& aNode)
{
  constexpr std::size_t kPageBytes = 4096;
  std::ifstream file("/proc/" + std::to_string(aNode.process->GetId()) +
                     "/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  file >> all >> resident;
  return resident * kPageBytes;
}

using Sockets = std::vector<std::unique_ptr<RawSocket>>;

/** A way to misuse connections, and the memory that each may take. */
struct Abuse
{
  std::string name;
  std::size_t connections;
  std::size_t bytesEach;
  std::function<void(RawSocket&)> act;
};

void
SendAndNeverRead(RawSocket& aSocket)
{
  constexpr int kRequests = 200;
  constexpr std::size_t kBodyBytes = 20000;
  auto request =
    MakePost("/services/csapregiszter/a", std::string(kBodyBytes, 'x'));
  for (int i = 0; i < kRequests && aSocket.Send(request); ++i) {
  }
}

const std::vector<Abuse> kAbuses{
  { "connects and sends nothing", 2000, 64 << 10, [](RawSocket&) {} },
  { "stops in the middle of a header",
    500,
    64 << 10,
    [](RawSocket& aSocket) { aSocket.Send("POST /v1/chat/comp"); } },
  { "stops in the middle of a body",
    500,
    64 << 10,
    [](RawSocket& aSocket) {
      aSocket.Send("POST /v1/x HTTP/1.1\r\nContent-Length: 4000000\r\n\r\nabc");
    } },
  { "sends and never reads", 20, 1 << 20, &SendAndNeverRead },
};

} // namespace

TEST_CASE("damaged input crashes no daemon, and requests are still served")
{
  MESSAGE("seed ", kFuzzSeed);
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    REQUIRE(PublishService(aBed));
    REQUIRE(IsServing(aBed));
    std::mt19937_64 random(kFuzzSeed);
    for (const auto& target : MakeTargets(aBed)) {
      CAPTURE(target.name);
      for (int i = 0; i < target.cases; ++i) {
        target.feed(aBed, Damage(target.text, random));
      }
      CHECK(IsServing(aBed));
      for (auto& node : aBed.GetNodes()) {
        CHECK(node->process->IsRunning());
      }
    }
  });
}

TEST_CASE("misused connections take bounded memory and block no other callers")
{
  for (const auto& abuse : kAbuses) {
    CAPTURE(abuse.name);
    RunWithBed(MakeOptions(), [&](Bed& aBed) {
      REQUIRE(PublishService(aBed));
      REQUIRE(IsServing(aBed));
      auto& entry = *aBed.GetEntries()[0];
      auto before = GetMemory(entry);
      Sockets sockets;
      for (std::size_t i = 0; i < abuse.connections; ++i) {
        sockets.push_back(std::make_unique<RawSocket>(entry.caller));
        REQUIRE(sockets.back()->IsConnected());
        abuse.act(*sockets.back());
      }
      CHECK(IsServing(aBed));
      auto after = GetMemory(entry);
      CHECK(after < before + abuse.connections * abuse.bytesEach);
      MESSAGE(abuse.name,
              ": ",
              before >> 10,
              " KiB before, ",
              after >> 10,
              " KiB with ",
              abuse.connections,
              " connections");
    });
  }
}
