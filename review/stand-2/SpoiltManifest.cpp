#include "Stand.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <deque>

#include <signal.h>

#include <openssl/evp.h>

// The origin spoils one digit of the list of digests in its first answers after
// all machines have lost power. All later answers are sound.

namespace waxwingyoke::review {

namespace {

constexpr int kRunners = 3;
constexpr std::int64_t kRecoverMs = 12000;
constexpr std::int64_t kDownMs = 700;
// The sides ask for the list in this time after their start.
constexpr std::int64_t kSpoilMs = 3000;
constexpr std::int64_t kStartMs = 15000;
constexpr std::int64_t kRequestGapMs = 100;
const ModelShape kModel{ "m", 16, 96, 4096 };

std::string
MakeDigest(const std::string& aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(
    aBytes.data(), aBytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (unsigned i = 0; i < size; ++i) {
    text += kDigits[digest[i] >> 4U];
    text += kDigits[digest[i] & 15U];
  }
  return text;
}

/** The service with all versions of the weights. */
class Origin
{
public:
  explicit Origin(Record& aRecord)
    : record_(aRecord)
  {
  }

  bool Start(const std::string& aAddress)
  {
    return server_.Start(
      aAddress, kOriginPort, [this](int aSocket, const Message& aRequest) {
        return SendAll(aSocket, Answer(aRequest));
      });
  }

  void SpoilFrom(std::int64_t aFrom)
  {
    spoilsFrom_ = aFrom;
    spoils_ = true;
  }

  void Report()
  {
    record_.Say("origin: " + std::to_string(answers_.load()) +
                " answers since the loss of power, " +
                std::to_string(spoilt_.load()) + " of them spoilt");
  }

  void ResetCounts() { answers_ = 0; }

private:
  std::string Answer(const Message& aRequest)
  {
    ++answers_;
    auto version =
      std::max(std::atoi(aRequest.FindQuery("Version").c_str()), 1);
    if (aRequest.GetPath().starts_with("/waxwingyoke/manifest/")) {
      return MakeManifest(version);
    }
    auto number = std::atoi(aRequest.FindQuery("Num").c_str());
    return MakeResponse(200,
                        { { "Content-Type", "application/octet-stream" } },
                        MakePiece(kModel, version, number));
  }

  std::string MakeManifest(int aVersion)
  {
    constexpr int kSpoiltPiece = 7;
    bool isSpoilt = spoils_ && Now() - spoilsFrom_ < kSpoilMs;
    std::string digests;
    for (int piece = 0; piece < kModel.pieces; ++piece) {
      auto digest = MakeDigest(MakePiece(kModel, aVersion, piece));
      if (isSpoilt && piece == kSpoiltPiece) {
        digest[0] = digest[0] == '0' ? '1' : '0';
      }
      digests += (digests.empty() ? "\"" : ",\"") + digest + "\"";
    }
    spoilt_ += isSpoilt ? 1 : 0;
    record_.Write(std::string("origin sends the manifest") +
                  (isSpoilt ? ", one digit spoilt" : ""));
    return MakeResponse(
      200,
      { { "Content-Type", "application/json" } },
      "{\"Model\":\"m\",\"Version\":" + std::to_string(aVersion) +
        ",\"ChunkBytes\":" + std::to_string(kModel.pieceBytes) +
        ",\"layers\":" + std::to_string(kModel.layers) + ",\"Digests\":[" +
        digests + "]}");
  }

  Record& record_;
  Server server_;
  std::atomic<bool> spoils_{ false };
  std::atomic<std::int64_t> spoilsFrom_{ 0 };
  std::atomic<int> answers_{ 0 };
  std::atomic<int> spoilt_{ 0 };
};

bool
RequestStream(Record& aRecord, const std::string& aEntry)
{
  auto id = MakeAttemptId();
  Channel channel(aEntry, kFrontendPort);
  auto answer =
    channel.Call(MakeRequest("POST",
                             "/stream/x",
                             id,
                             "prompt",
                             { { "Waxwingyoke-Deadline-Ms", "6000" },
                               { "Waxwingyoke-Model", "m" },
                               { "Waxwingyoke-Token-Counts", "600,30" },
                               { "Waxwingyoke-Prompt-Prefix",
                                 "aa:100," + id.substr(0, 8) + ":500" } }),
                 Millis(6000));
  bool isServed = answer && answer->GetStatus() == 200 &&
                  answer->body.find("id: 6\n") != std::string::npos;
  aRecord.Write("request " + id + " -> " +
                (answer ? std::to_string(answer->GetStatus()) : "none") +
                (isServed ? ", whole" : ""));
  return isServed;
}

// The share of requests that are served, sent one after the other.
double
MeasureServed(Record& aRecord, const std::string& aEntry, std::int64_t aMs)
{
  int sent = 0;
  int served = 0;
  for (auto until = Now() + aMs; Now() < until; Sleep(kRequestGapMs)) {
    ++sent;
    served += RequestStream(aRecord, aEntry) ? 1 : 0;
  }
  aRecord.Say(std::to_string(served) + " of " + std::to_string(sent) +
              " requests were served");
  return static_cast<double>(served) / std::max(sent, 1);
}

} // namespace

int
RunSpoiltManifest(Record& aRecord)
{
  constexpr double kQuarter = 0.25;
  const std::string net = "127.71.0.";
  Folder folder;
  Store store;
  Origin origin(aRecord);
  if (!store.Start(net + "9") || !origin.Start(net + "8")) {
    return kNotRun;
  }
  std::deque<Runner> runners;
  std::deque<Daemon> daemons;
  daemons.emplace_back(folder.GetPath(),
                       Daemon::Options{ "fleet-entry",
                                        "edge-1",
                                        net + "1",
                                        "z1",
                                        net + "9",
                                        { net + "1" },
                                        "",
                                        "" });
  for (int i = 0; i < kRunners; ++i) {
    Runner::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = "llm";
    options.address = net + std::to_string(10 + i);
    options.slots = 16;
    options.model = kModel;
    options.version = 1;
    runners.emplace_back(store, aRecord, options);
    daemons.emplace_back(
      folder.GetPath(),
      Daemon::Options{ "fleet-side",
                       "side-" + std::to_string(i),
                       net + std::to_string(20 + i),
                       "z1",
                       net + "9",
                       { net + "1" },
                       options.address + ":" + std::to_string(kRunnerPort),
                       "llm",
                       128,
                       2048 });
  }
  RouteShape route{ "s", "/stream/", "llm", "stream", 6000, 500, 2, "" };
  route.more = R"(,"Resumable":true,"Sticky":true,"GapTargetMs":400)";
  store.Append("keyed.op",
               "config",
               MakeConfig(1,
                          { route },
                          { MakeModelService("llm", kModel, 16),
                            MakeOriginService("origin", net + "8") }));
  bool isStarted =
    std::ranges::all_of(runners, [](auto& aRow) { return aRow.Start(); }) &&
    std::ranges::all_of(daemons, [](auto& aRow) { return aRow.Start(); }) &&
    daemons[0].AwaitReady(kStartMs);
  auto until = Now() + kStartMs;
  while (isStarted && !RequestStream(aRecord, net + "1")) {
    isStarted = Now() < until;
    Sleep(kRequestGapMs);
  }
  constexpr std::int64_t kBeforeMs = 5000;
  constexpr std::int64_t kAfterMs = 12000;
  if (!isStarted || MeasureServed(aRecord, net + "1", kBeforeMs) < kQuarter) {
    return kNotRun;
  }
  aRecord.Say("all machines lose power");
  std::ranges::for_each(daemons, [](auto& aRow) { aRow.Kill(); });
  std::ranges::for_each(runners, [](auto& aRow) { aRow.LosePower(); });
  Sleep(kDownMs);
  origin.ResetCounts();
  if (HasTrouble()) {
    origin.SpoilFrom(Now());
  }
  isStarted =
    std::ranges::all_of(runners,
                        [](auto& aRow) { return aRow.StartAgain(); }) &&
    std::ranges::all_of(daemons, [](auto& aRow) { return aRow.Start(); });
  if (!isStarted) {
    return kNotRun;
  }
  aRecord.Say("all machines are back");
  Sleep(kRecoverMs);
  auto served = MeasureServed(aRecord, net + "1", kAfterMs);
  origin.Report();
  return served < kQuarter ? kBroken : kHeld;
}

} // namespace waxwingyoke::review
