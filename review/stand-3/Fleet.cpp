#include "Fleet.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::uint16_t kAdminPort = 8000;
constexpr std::uint16_t kRunnerPort = 8001;
constexpr std::uint16_t kStorePort = 8007;
constexpr std::uint16_t kOriginPort = 8006;
constexpr int kStoreHost = 200;
constexpr int kOriginHost = 201;
constexpr std::int64_t kPollMs = 20;
constexpr const char* kProgram = "target/bin/waxwingyoked";

// Processes to end with this one; 0 where there is none.
std::array<std::atomic<pid_t>, 64> sProcesses{};

void
EndAll(int /*aSignal*/)
{
  for (auto& process : sProcesses) {
    if (process > 0) {
      ::kill(process, SIGKILL);
    }
  }
  ::_exit(static_cast<int>(Verdict::NotRun));
}

void
Replace(pid_t aOld, pid_t aNew)
{
  for (auto& process : sProcesses) {
    if (process == aOld) {
      process = aNew;
      return;
    }
  }
}

// A network of its own, so that cases don't meet what else runs here.
std::string
PickNetwork()
{
  constexpr int kFirst = 20;
  constexpr int kCount = 200;
  auto seed = static_cast<int>(::getpid());
  return "127." + std::to_string(kFirst + seed % kCount) + "." +
         std::to_string(kFirst + seed / kCount % kCount) + ".";
}

} // namespace

Fleet::Fleet(Record& aRecord)
  : record(aRecord)
  , network_(PickNetwork())
{
  std::signal(SIGTERM, EndAll);
  std::signal(SIGINT, EndAll);
  std::string name =
    (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  folder_ = ::mkdtemp(name.data()) != nullptr ? name : "";
  store = std::make_unique<Store>(MakeAddress(kStoreHost, kStorePort));
  origin = std::make_unique<Origin>(MakeAddress(kOriginHost, kOriginPort));
  if (folder_.empty() || !origin->Start() || !store->Start()) {
    std::exit(static_cast<int>(Verdict::NotRun));
  }
}

Fleet::~Fleet()
{
  for (const auto& [host, process] : std::map(processes_)) {
    KillMachine(host);
  }
  runners.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

Address
Fleet::MakeAddress(int aHost, std::uint16_t aPort) const
{
  return { network_ + std::to_string(aHost), aPort };
}

Runner*
Fleet::AddRunner(const std::string& aService, int aHost)
{
  RunnerOptions options;
  options.id = "i-" + aService + "-" + std::to_string(aHost);
  options.service = aService;
  options.address = MakeAddress(aHost, kRunnerPort);
  runners.push_back(std::make_unique<Runner>(*store, record, options));
  return runners.back()->Start() ? runners.back().get() : nullptr;
}

void
Fleet::PublishConfig()
{
  auto route = [](const std::string& aName,
                  const std::string& aKind,
                  const std::string& aMore) {
    return R"({"Name":"r-)" + aName +
           R"(","Host":"h.example","PathPrefix":"/)" + aName +
           R"(/","RouteKind":")" + aKind +
           R"(","TimeoutMs":6000,"SloMs":500,"Priority":1,"MaxAttempts":2,)"
           R"("Public":false,)" +
           aMore + "}";
  };
  constexpr const char* kPlain = R"("Service":"plain")";
  constexpr const char* kEngines =
    R"("Service":"engines","Sticky":true,"Resumable":true,"GapTargetMs":400)";
  store->Append(
    "keyed.op",
    "config",
    R"({"Version":1,"Routes":[)" + route("once", "unsafe", kPlain) + "," +
      route("safe", "safe", kPlain) + "," +
      route("stream", "stream", kEngines) +
      R"(],"Services":[{"Name":"plain","HealthPath":"/health","MaxConns":364,)"
      R"("Protocol":"h1","Tls":false},{"Name":"weights","Origin":")" +
      MakeAddress(kOriginHost, kOriginPort).ToString() +
      R"(","Zone":"z1","LinkMbps":15.0,"MaxConns":48},{"Name":"engines",)"
      R"("HealthPath":"/health","MaxConns":364,"Engine":{"Slots":16,)"
      R"("KvCapacity":1180000,"Stride":5,"step_ms":8.87,"per_seq_ms":0.0388,)"
      R"("context_per_k":0.0227,"read_per_s":19100.0,"pairs_per_m":1.47,)"
      R"("Models":[{"Name":"m","WarmS":0.3}],"SizeMb":266000.0,)"
      R"("usual":{"prompt":100,"answer":25},"layers":16,"layer_mb":4540.0,)"
      R"("Chunks":48,"ChunkBytes":4096}}],)"
      R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
      R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
      R"("Tenants":[{"Name":"t1","ApiKeys":["key1"],"Priority":1}]})");
}

std::string
Fleet::MakeSettings(int aHost, const std::string& aRole) const
{
  bool isEdge = aRole == "fleet-entry";
  auto address = [&](int aOther, std::uint16_t aPort) {
    return '"' + MakeAddress(aOther, aPort).ToString() + '"';
  };
  auto listen = isEdge ? R"({"Frontend":)" + address(aHost, kFrontendPort) +
                           R"(,"Readiness":)" + address(aHost, kReadinessPort) +
                           R"(,"Admin":)" + address(aHost, kAdminPort) + "}"
                       : std::string("{}");
  auto limits =
    isEdge ? R"({"CpuShare":0.19,"CpuCores":1,"MemoryMb":260,"MaxFds":4100,)"
             R"("LinkMbps":1000.0,"DiskMb":0})"
           : R"({"CpuShare":0.3,"CpuCores":1,"MemoryMb":128,"MaxFds":2048,)"
             R"("LinkMbps":9.4,"DiskMb":0})";
  auto app =
    R"("app":)" + address(aHost, kRunnerPort) + R"(,"Service":"engines",)";
  return R"({"Node":"node-)" + std::to_string(aHost) + R"(","Role":")" + aRole +
         R"(","MachineClass":")" + (isEdge ? "edge" : "side") + R"(","Ip":")" +
         MakeAddress(aHost, 0).host +
         R"(","Zone":"z1","Region":"r1","Zones":{"z1":"r1"},"Listen":)" +
         listen + R"(,"PortRange":[7700,7715],"Seeds":[)" +
         address(1, kAdminPort) + R"(],"Bootstrap":true,"Limits":)" + limits +
         R"(,"DataDir":null,"Discovery":"platform","HeartbeatMs":1000,)"
         R"("Bounds":{"SeedLagS":3,"ReuseAfterS":2,"StableMs":3000,)"
         R"("AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,)"
         R"("LossSlackMs":200,"ConfigApplyMs":2000,"BackMs":250,)"
         R"("MaxStretchMs":5000,"RevokeStrict":true,"RevokeMs":5000,)"
         R"("RetryRatio":0.2,"RetryWindowS":10,"RetrySlack":104,)"
         R"("RecoverS":12,"PassMs":120,"RetryAfterS":0,"version_ms":8000},)" +
         (isEdge ? "" : app) + R"("Platform":{"Address":)" +
         address(kStoreHost, kStorePort) +
         R"(,"form":"log","WritesPerS":400,"ReadsPerS":2000,"keep_s":300}})";
}

void
Fleet::StartEdge(int aHost)
{
  StartMachine(aHost, "fleet-entry");
}

void
Fleet::StartSide(int aHost)
{
  StartMachine(aHost, "fleet-side");
}

void
Fleet::StartMachine(int aHost, const std::string& aRole)
{
  auto settings = folder_ + "/" + std::to_string(aHost) + ".json";
  auto log = folder_ + "/" + std::to_string(aHost) + ".log";
  std::ofstream(settings) << MakeSettings(aHost, aRole);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  std::string program = kProgram;
  std::string role = aRole;
  std::string boot = "WAXWINGYOKE_BOOT=" + settings;
  std::array<char*, 3> arguments{ program.data(), role.data(), nullptr };
  std::array<char*, 2> environment{ boot.data(), nullptr };
  pid_t process = 0;
  int failed = ::posix_spawn(&process,
                             kProgram,
                             &actions,
                             nullptr,
                             arguments.data(),
                             environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    std::exit(static_cast<int>(Verdict::NotRun));
  }
  processes_[aHost] = process;
  Replace(0, process);
  record.Add("machine " + std::to_string(aHost) + " starts, " + aRole);
}

void
Fleet::Reap(int aHost)
{
  int status = 0;
  ::waitpid(processes_[aHost], &status, 0);
  Replace(processes_[aHost], 0);
  processes_.erase(aHost);
}

std::size_t
Fleet::GetMemory(int aHost) const
{
  auto process = processes_.find(aHost);
  if (process == processes_.end()) {
    return 0;
  }
  std::ifstream file("/proc/" + std::to_string(process->second) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t
Fleet::CountDescriptors(int aHost) const
{
  auto process = processes_.find(aHost);
  if (process == processes_.end()) {
    return 0;
  }
  std::error_code error;
  std::filesystem::directory_iterator row(
    "/proc/" + std::to_string(process->second) + "/fd", error);
  std::size_t count = 0;
  while (!error && row != std::filesystem::directory_iterator()) {
    ++count;
    row.increment(error);
  }
  return count;
}

void
Fleet::StopMachine(int aHost)
{
  record.Add("machine " + std::to_string(aHost) + " gets SIGTERM");
  auto process = processes_[aHost];
  ::kill(process, SIGTERM);
  auto hasEnded = [process] {
    siginfo_t info{};
    ::waitid(
      P_PID, static_cast<id_t>(process), &info, WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid == process;
  };
  if (!WaitUntil(hasEnded, kGraceMs)) {
    ::kill(process, SIGKILL);
  }
  Reap(aHost);
  record.Add("machine " + std::to_string(aHost) + " has ended");
}

void
Fleet::KillMachine(int aHost)
{
  ::kill(processes_[aHost], SIGKILL);
  Reap(aHost);
  record.Add("machine " + std::to_string(aHost) + " is killed");
}

bool
Fleet::IsReady(int aHost) const
{
  auto channel = Connection::Open(MakeAddress(aHost, kReadinessPort));
  return channel && AskReadiness(*channel);
}

bool
Fleet::AskReadiness(Connection& aChannel)
{
  constexpr std::int64_t kAnswerMs = 1000;
  Message response;
  return aChannel.Write("GET /waxwingyoke/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         aChannel.Read(response, kAnswerMs) && response.status == 200;
}

bool
Fleet::WaitUntil(const std::function<bool()>& aCondition,
                 std::int64_t aTimeout) const
{
  auto until = NowMs() + aTimeout;
  while (NowMs() < until) {
    if (aCondition()) {
      return true;
    }
    SleepMs(kPollMs);
  }
  return false;
}

std::string
Fleet::MakeRequest(const std::string& aId,
                   const std::string& aMethod,
                   const std::string& aTarget,
                   const std::string& aBody)
{
  auto length = aBody.empty()
                  ? ""
                  : "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  auto prompt = aTarget.starts_with("/stream/")
                  ? "Waxwingyoke-Model: m\r\nWaxwingyoke-Token-Counts: "
                    "100,25\r\nWaxwingyoke-Prompt-Prefix: 5c1e:40," +
                      aId + ":60\r\n"
                  : "";
  return aMethod + " " + aTarget +
         " HTTP/1.1\r\nHost: h.example\r\nWaxwingyoke-Attempt-Id: " + aId +
         "\r\nWaxwingyoke-Deadline-Ms: 6000\r\nApi-Key: key1\r\n" + prompt +
         length + "\r\n" + aBody;
}

Answer
Fleet::Call(int aHost,
            const std::string& aId,
            const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aBody,
            std::int64_t aTimeout)
{
  auto to = std::to_string(aHost);
  record.Add("client sends " + aId + " " + aMethod + " " + aTarget +
             " to machine " + to);
  auto connection = Connection::Open(MakeAddress(aHost, kFrontendPort));
  Message response;
  Answer answer;
  if (connection &&
      connection->Write(MakeRequest(aId, aMethod, aTarget, aBody)) &&
      connection->Read(response, aTimeout)) {
    answer = { response.status, response.fields, response.body };
  }
  record.Add("client gets " + std::to_string(answer.status) + " for " + aId);
  return answer;
}

} // namespace review
