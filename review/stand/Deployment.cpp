#include "Deployment.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <unistd.h>

namespace waxwingyoke::review {

namespace {

using utils::Millis;

constexpr std::uint16_t kCallerPort = 8005;
constexpr std::uint16_t kReadinessPort = 8002;
constexpr std::uint16_t kRunnerPort = 8001;
constexpr std::uint16_t kStorePort = 8007;
constexpr std::uint16_t kOriginPort = 8006;
// Entries have the hosts 11, 12 and so on, sides 21, 22 and so on.
constexpr unsigned kFirstEntryHost = 11;
constexpr unsigned kFirstSideHost = 21;
constexpr unsigned kPlainHost = 4;
constexpr unsigned kOriginHost = 8;
constexpr unsigned kStoreHost = 9;
constexpr Millis kPollInterval(20);
constexpr Millis kStartTime(30000);
// HeartbeatMs of the settings.
constexpr Millis kBeatInterval(1200);
constexpr Millis kStopTime(3000);
constexpr const char* kProgram = "target/bin/waxwingyoked";

std::string
MakeRoute(const std::string& aName,
          const std::string& aKind,
          const std::string& aRest)
{
  return R"({"Name":"r-)" + aName + R"(","Host":"h.example","PathPrefix":"/)" +
         aName + R"(/","RouteKind":")" + aKind +
         R"(","TimeoutMs":6000,"SloMs":500,"Priority":1,"MaxAttempts":2,)"
         R"("Public":false,)" +
         aRest + "}";
}

} // namespace

Deployment::Deployment(net::Runtime& aRuntime,
                       const std::string& aRecordFile,
                       const Shape& aShape)
  : runtime_(aRuntime)
  , record_(aRecordFile)
  , startedAt_(clock_.Now())
  , shape_(aShape)
{
  utils::Error reason;
  block_ = bed::AddressBlock::Acquire(reason);
  folder_ = std::filesystem::temp_directory_path() /
            ("waxwingyoke-review-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder_);
}

Deployment::~Deployment()
{
  entries_.clear();
  sides_.clear();
  isStopping_ = true;
  WaitUntil(kStopTime, [this] { return !isBeating_; });
  store.Stop();
  origin.Stop();
  for (auto* runner : { &engine1, &engine2, &plain }) {
    runner->Stop();
  }
  WaitUntil(kStopTime, [this] {
    return engine1.IsIdle() && engine2.IsIdle() && plain.IsIdle();
  });
  std::filesystem::remove_all(folder_);
}

net::Endpoint
Deployment::MakeEndpoint(unsigned aHost, std::uint16_t aPort) const
{
  return { block_->GetAddress(1, aHost), aPort };
}

void
Deployment::Record(const std::string& aLine)
{
  record_ << "+" << GetElapsed().value << " ms " << aLine << std::endl;
}

bool
Deployment::WaitUntil(Millis aTime, const std::function<bool()>& aCondition)
{
  auto end = clock_.Now() + aTime;
  while (!aCondition()) {
    if (clock_.Now() >= end) {
      return false;
    }
    net::Runtime::Sleep(kPollInterval);
  }
  return true;
}

void
Deployment::Publish(int aVersion, const std::string& aTenants)
{
  constexpr const char* kStream =
    R"("Service":"engines","Sticky":true,"Resumable":true,"GapTargetMs":400)";
  constexpr const char* kPlain = R"("Service":"plain")";
  auto config =
    R"({"Version":)" + std::to_string(aVersion) + R"(,"Routes":[)" +
    MakeRoute("stream", "stream", kStream) + "," +
    MakeRoute("once", "unsafe", kPlain) + "," +
    MakeRoute("safe", "safe", kPlain) +
    R"(],"Services":[{"Name":"engines","HealthPath":"/health","MaxConns":364,)"
    R"("Engine":{"Slots":16,"KvCapacity":1180000,"Stride":5,)"
    R"("Models":[{"Name":"m","pace":1.0,"LoadS":4.0,"WarmS":0.3}],)"
    R"("step_ms":8.87,"per_seq_ms":0.0388,"context_per_k":0.0227,)"
    R"("read_per_s":19100.0,"pairs_per_m":1.47,"chunk":2048,)"
    R"("usual":{"prompt":977,"answer":94},"layers":16,"Chunks":)" +
    std::to_string(kPieces) + R"(,"ChunkBytes":)" +
    std::to_string(kPieceBytes) +
    R"(}},{"Name":"plain","HealthPath":"/health","MaxConns":110},)"
    R"({"Name":"origin","Zone":"z1","LinkMbps":15.0,"MaxConns":48,)"
    R"("Origin":")" +
    MakeEndpoint(kOriginHost, kOriginPort).ToString() +
    R"("}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[)" +
    aTenants + "]}";
  store.Append("keyed.op", "config", config);
  Record("the store acknowledges configuration " + std::to_string(aVersion) +
         " with Tenants [" + aTenants + "]");
}

void
Deployment::NameVersion(std::uint64_t aVersion)
{
  store.Append("keyed.op",
               "version/m",
               R"({"Model":"m","Version":)" + std::to_string(aVersion) + "}");
  Record("the store acknowledges version " + std::to_string(aVersion) +
         " of the weights");
}

std::string
Deployment::MakeSettings(const std::string& aRole, unsigned aHost) const
{
  bool isEntry = aRole == "fleet-entry";
  auto listen =
    isEntry ? R"({"Frontend":")" + MakeEndpoint(aHost, kCallerPort).ToString() +
                R"(","Readiness":")" +
                MakeEndpoint(aHost, kReadinessPort).ToString() + "\"}"
            : std::string("{}");
  auto local = isEntry ? std::string()
                       : R"("Service":"engines","app":")" +
                           MakeEndpoint(aHost, kRunnerPort).ToString() + "\",";
  return R"({"Node":"vm)" + std::to_string(aHost) + R"(","Role":")" + aRole +
         R"(","MachineClass":")" + (isEntry ? "edge" : "side") + R"(","Ip":")" +
         MakeEndpoint(aHost, 0).address +
         R"(","Zone":"z1","Region":"r1","Zones":{"z1":"r1"},"Listen":)" +
         listen + "," + local + R"("PortRange":[7700,7715],"Seeds":[")" +
         MakeEndpoint(kFirstEntryHost, kCallerPort).ToString() +
         R"("],"Bootstrap":true,"Limits":{"CpuShare":0.3,"CpuCores":1,)"
         R"("MemoryMb":260,"MaxFds":4100,"LinkMbps":100.0,"DiskMb":0},)"
         R"("HeartbeatMs":1200,"Bounds":{"SeedLagS":3,"ReuseAfterS":2,)"
         R"("StableMs":3000,"AckMs":4000,"DrainMs":2000,"GraceS":8,)"
         R"("ConfigApplyMs":2000,"BackMs":250,"RevokeStrict":true,)"
         R"("RevokeMs":5000,"RetryRatio":0.2,"RetryWindowS":10,)"
         R"("RetrySlack":104,"RecoverS":12,"version_ms":8000},)"
         R"("Platform":{"Address":")" +
         MakeEndpoint(kStoreHost, kStorePort).ToString() +
         R"(","form":"log","WritesPerS":400,"ReadsPerS":2000}})";
}

std::unique_ptr<bed::Process>
Deployment::StartProcess(const std::string& aRole, unsigned aHost)
{
  auto settings = folder_ / (aRole + std::to_string(aHost) + ".json");
  std::ofstream(settings) << MakeSettings(aRole, aHost);
  setenv("WAXWINGYOKE_BOOT", settings.c_str(), 1);
  utils::Error reason;
  auto process = bed::Process::Start(
    { kProgram, aRole }, settings.string() + ".log", reason);
  Record(process ? "started " + aRole + " on " + MakeEndpoint(aHost, 0).address
                 : "can't start " + aRole + ": " + reason.detail);
  return process;
}

bool
Deployment::StartProcesses()
{
  for (unsigned i = 0; i < shape_.entries; ++i) {
    entries_.push_back(StartProcess("fleet-entry", kFirstEntryHost + i));
  }
  for (unsigned i = 0; i < shape_.engines; ++i) {
    sides_.push_back(StartProcess("fleet-side", kFirstSideHost + i));
  }
  auto isStarted = [](const auto& aProcess) { return aProcess != nullptr; };
  return std::all_of(entries_.begin(), entries_.end(), isStarted) &&
         std::all_of(sides_.begin(), sides_.end(), isStarted);
}

bool
Deployment::RestartEntry(std::size_t aIndex)
{
  auto host = kFirstEntryHost + static_cast<unsigned>(aIndex);
  entries_[aIndex].reset();
  entries_[aIndex] = StartProcess("fleet-entry", host);
  return entries_[aIndex] != nullptr;
}

void
Deployment::BeatLoop()
{
  isBeating_ = true;
  while (!isStopping_) {
    for (auto* runner : { &engine1, &engine2, &plain }) {
      bool isLeftOut = (runner == &engine2 && shape_.engines < 2) ||
                       (runner == &plain && !shape_.hasPlain);
      if (isLeftOut) {
        continue;
      }
      store.Append(
        "keyed.servers", runner->GetId(), runner->MakeDirectoryRecord());
    }
    auto end = clock_.Now() + kBeatInterval;
    while (!isStopping_ && clock_.Now() < end) {
      net::Runtime::Sleep(kPollInterval);
    }
  }
  isBeating_ = false;
}

bool
Deployment::Start()
{
  bool isListening =
    block_ && store.Start(runtime_, MakeEndpoint(kStoreHost, kStorePort)) &&
    origin.Start(runtime_, MakeEndpoint(kOriginHost, kOriginPort)) &&
    engine1.Start(runtime_, MakeEndpoint(kFirstSideHost, kRunnerPort)) &&
    engine2.Start(runtime_, MakeEndpoint(kFirstSideHost + 1, kRunnerPort)) &&
    plain.Start(runtime_, MakeEndpoint(kPlainHost, kRunnerPort));
  if (!isListening) {
    Record("can't listen");
    return false;
  }
  Publish(1, R"({"Name":"org","ApiKeys":["key1","key2"],"Priority":1})");
  net::Runtime::SpawnHere([this] { BeatLoop(); });
  return StartProcesses() && WaitUntil(kStartTime, [this] {
           return Call("/stream/a", "key1").status == 200 &&
                  (!shape_.hasPlain || Call("/safe/a", "key1").status == 200);
         });
}

Answer
Deployment::Call(const std::string& aPath,
                 const std::string& aKey,
                 std::size_t aBodyBytes,
                 std::size_t aEntry)
{
  auto body = "prompt " + std::to_string(calls_);
  body.resize(std::max(body.size(), aBodyBytes), ' ');
  return Send(aPath, aKey, body, aEntry);
}

Answer
Deployment::CallAgain(const std::string& aPath,
                      const std::string& aKey,
                      std::size_t aEntry)
{
  return Send(aPath, aKey, "the same", aEntry);
}

Answer
Deployment::Send(const std::string& aPath,
                 const std::string& aKey,
                 const std::string& aBody,
                 std::size_t aEntry)
{
  Answer answer;
  answer.attempt = "a" + std::to_string(++calls_);
  answer.path = aPath;
  answer.sentAt = clock_.Now();
  net::HttpRequest request;
  request.method = "POST";
  request.target = aPath;
  request.body = aBody;
  request.fields = { { "Host", "h.example" },
                     { "Waxwingyoke-Attempt-Id", answer.attempt },
                     { "Waxwingyoke-Deadline-Ms", "6000" },
                     { "Api-Key", aKey } };
  if (aPath.starts_with("/stream/")) {
    request.fields.Add("Waxwingyoke-Model", "m");
    request.fields.Add("Waxwingyoke-Token-Counts", "100,30");
    request.fields.Add("Waxwingyoke-Prompt-Prefix",
                       "5c1e07a2:40," + answer.attempt + ":60");
  }
  utils::Error reason;
  net::CallOptions options;
  options.reuseConnection = false;
  options.keepConnection = false;
  auto response = client_.Call(
    MakeEndpoint(kFirstEntryHost + static_cast<unsigned>(aEntry), kCallerPort),
    request,
    {},
    reason,
    options);
  if (response) {
    answer.status = response->status;
    answer.isStamped =
      !response->fields.Find("Waxwingyoke-Response-Stamp").empty();
    answer.body = response->body;
  }
  Record("request " + answer.attempt + " " + aPath + " with key " + aKey +
         ": status " + std::to_string(answer.status) +
         (answer.isStamped ? ", stamped by a runner" : "") +
         (response ? "" : ", " + reason.detail));
  return answer;
}

void
Deployment::RecordRunners()
{
  for (const auto* runner : { &engine1, &engine2, &plain }) {
    for (const auto& run : runner->GetRuns()) {
      Record("runner " + runner->GetId() + " ran " + run.attempt + " at +" +
             std::to_string((run.at - startedAt_).value) + " ms, tenant '" +
             run.tenant + "', version " + std::to_string(run.version));
    }
    for (const auto& load : runner->GetLoads()) {
      Record("runner " + runner->GetId() + " accepted the order of version " +
             std::to_string(load.version) + " at +" +
             std::to_string((load.at - startedAt_).value) + " ms with " +
             std::to_string(load.badPieces.size()) +
             " bad pieces, spoilt for " + std::to_string(load.spoiltFor.value) +
             " ms");
    }
  }
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

int
RunCase(int aCount,
        char** aArguments,
        const Shape& aShape,
        const std::function<int(Deployment&)>& aTest)
{
  if (aCount != 2) {
    std::cerr << "usage: " << aArguments[0] << " RECORD_FILE\n";
    return kCouldNotRun;
  }
  net::Runtime runtime(1);
  return runtime.Run([&] {
    Deployment deployment(runtime, aArguments[1], aShape);
    if (!deployment.Start()) {
      deployment.Record("the deployment does not serve: the case can't run");
      return kCouldNotRun;
    }
    auto result = aTest(deployment);
    deployment.RecordRunners();
    deployment.Record("exit code " + std::to_string(result));
    return result;
  });
}

} // namespace waxwingyoke::review
