#include "Stand.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace waxwingyoke::review {

namespace {

constexpr std::int64_t kHeartbeatMs = 1200;
constexpr int kOk = 200;
const Fields kStoreFields{ { "Content-Type", "application/json" },
                           { "Store-Era", "1" } };

std::string
Quote(const std::string& aText)
{
  return "\"" + aText + "\"";
}

std::string
EncodeBigEndian(std::uint64_t aValue, int aBytes)
{
  constexpr int kByteBits = 8;
  std::string text;
  for (int i = aBytes - 1; i >= 0; --i) {
    text += static_cast<char>(aValue >> (i * kByteBits));
  }
  return text;
}

std::string
EncodeBase64(const std::string& aBytes)
{
  constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U;
      if (i + j < aBytes.size()) {
        group |= static_cast<unsigned char>(aBytes[i + j]);
      }
    }
    for (std::size_t j = 0; j < 4; ++j) {
      bool isPadding = i + j > aBytes.size();
      text += isPadding ? '=' : kDigits[group >> (18U - 6U * j) & 63U];
    }
  }
  return text;
}

std::int64_t
GetUnixMs()
{
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(since).count();
}

} // namespace

bool
HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

std::int64_t
Now()
{
  static const auto kStart = std::chrono::steady_clock::now();
  auto since = std::chrono::steady_clock::now() - kStart;
  return std::chrono::duration_cast<Millis>(since).count();
}

void
Sleep(std::int64_t aMs)
{
  std::this_thread::sleep_for(Millis(aMs));
}

void
Record::Write(const std::string& aText)
{
  constexpr double kMsPerSecond = 1000;
  std::array<char, 32> time{};
  std::snprintf(time.data(),
                time.size(),
                "%8.3f  ",
                static_cast<double>(Now()) / kMsPerSecond);
  std::scoped_lock lock(mutex_);
  file_ << time.data() << aText << std::endl;
}

void
Record::Say(const std::string& aText)
{
  Write(aText);
  std::cout << aText << std::endl;
}

bool
Store::Start(const std::string& aAddress)
{
  return server_.Start(
    aAddress, kStorePort, [this](int aSocket, const Message& aRequest) {
      return Handle(aSocket, aRequest);
    });
}

void
Store::End()
{
  server_.End();
}

void
Store::Append(const std::string& aTopic,
              const std::string& aKey,
              const std::string& aValue)
{
  std::scoped_lock lock(mutex_);
  topics_[aTopic].push_back({ aKey, aValue });
  changed_.notify_all();
}

bool
Store::Handle(int aSocket, const Message& aRequest)
{
  auto path = aRequest.GetPath();
  std::string answer;
  if (path == "/waxwingyoke/log-read") {
    answer = Read(aRequest);
  } else if (path == "/waxwingyoke/log-newest") {
    answer = ReadNewest(aRequest);
  } else if (path == "/waxwingyoke/log-append") {
    answer = TakeAppend(aRequest);
  } else {
    answer = MakeResponse(404, kStoreFields, "{}");
  }
  return SendAll(aSocket, answer);
}

std::string
Store::Read(const Message& aRequest)
{
  auto from = std::strtoul(aRequest.FindQuery("From").c_str(), nullptr, 10);
  Millis wait(std::atoi(aRequest.FindQuery("WaitMs").c_str()));
  std::unique_lock lock(mutex_);
  auto& rows = topics_[aRequest.FindQuery("Topic")];
  changed_.wait_for(
    lock, wait, [&] { return rows.size() > from || server_.IsStopped(); });
  auto bytes = EncodeBigEndian(rows.size(), 8) + EncodeBigEndian(0, 8);
  for (auto at = from; at < rows.size(); ++at) {
    auto content =
      EncodeBigEndian(rows[at].key.size(), 1) + rows[at].key + rows[at].value;
    bytes += EncodeBigEndian(content.size(), 4) + content;
  }
  return MakeResponse(kOk, kStoreFields, bytes);
}

std::string
Store::ReadNewest(const Message& aRequest)
{
  std::scoped_lock lock(mutex_);
  const auto& rows = topics_[aRequest.FindQuery("Topic")];
  std::map<std::string, std::size_t> newest;
  for (std::size_t at = 0; at < rows.size(); ++at) {
    newest[rows[at].key] = at;
  }
  std::string items;
  for (const auto& [key, at] : newest) {
    if (rows[at].value.empty()) {
      continue;
    }
    items += (items.empty() ? "" : ",") + std::string("{\"Key\":") +
             Quote(key) + ",\"Value\":" + Quote(EncodeBase64(rows[at].value)) +
             ",\"Offset\":" + std::to_string(at) + "}";
  }
  return MakeResponse(kOk,
                      kStoreFields,
                      "{\"Items\":[" + items + "],\"HasMore\":false,\"End\":" +
                        std::to_string(rows.size()) + "}");
}

std::string
Store::TakeAppend(const Message& aRequest)
{
  constexpr std::size_t kLengthBytes = 4;
  std::string_view rest = aRequest.body;
  std::scoped_lock lock(mutex_);
  auto& rows = topics_[aRequest.FindQuery("Topic")];
  auto offset = rows.size();
  while (rest.size() > kLengthBytes) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      length = length << 8U | static_cast<unsigned char>(rest[i]);
    }
    auto content = rest.substr(kLengthBytes, length);
    auto keyBytes = static_cast<unsigned char>(content[0]);
    rows.push_back({ std::string(content.substr(1, keyBytes)),
                     std::string(content.substr(1 + keyBytes)) });
    rest.remove_prefix(kLengthBytes + length);
  }
  changed_.notify_all();
  return MakeResponse(kOk,
                      kStoreFields,
                      "{\"Offset\":" + std::to_string(offset) +
                        ",\"End\":" + std::to_string(rows.size()) + "}");
}

Runner::Runner(Store& aStore, Record& aRecord, Options aOptions)
  : store_(aStore)
  , record_(aRecord)
  , options_(std::move(aOptions))
{
}

Runner::~Runner()
{
  Leave();
}

bool
Runner::Start()
{
  bool isListening =
    server_.Start(options_.address,
                  kRunnerPort,
                  [this](int aSocket, const Message& aRequest) {
                    return Handle(aSocket, aRequest);
                  });
  if (!isListening) {
    return false;
  }
  born_ = GetUnixMs();
  Register();
  beat_ = std::thread([this] { Beat(); });
  return true;
}

void
Runner::Register()
{
  std::string text;
  {
    std::scoped_lock lock(mutex_);
    if (isGone_) {
      return;
    }
    ++beats_;
    text = "{\"Service\":" + Quote(options_.service) + ",\"Address\":" +
           Quote(options_.address + ":" + std::to_string(kRunnerPort)) +
           ",\"Zone\":" + Quote(options_.zone) +
           ",\"Version\":\"1\",\"Slots\":" + std::to_string(options_.slots) +
           ",\"State\":" + Quote(isDraining_ ? "draining" : "ready") +
           ",\"ColdLeftMs\":0,\"Sequence\":" + std::to_string(beats_) +
           ",\"born\":" + std::to_string(born_) + "}";
  }
  store_.Append("keyed.servers", options_.id, text);
}

void
Runner::Beat()
{
  std::unique_lock lock(mutex_);
  while (!isGone_) {
    ended_.wait_for(lock, Millis(kHeartbeatMs), [this] { return isGone_; });
    lock.unlock();
    Register();
    lock.lock();
  }
}

void
Runner::Drain()
{
  {
    std::scoped_lock lock(mutex_);
    isDraining_ = true;
  }
  Register();
}

void
Runner::Leave()
{
  {
    std::scoped_lock lock(mutex_);
    if (isGone_) {
      return;
    }
    isGone_ = true;
    ended_.notify_all();
  }
  if (beat_.joinable()) {
    beat_.join();
  }
  server_.End();
  store_.Append("keyed.servers", options_.id, "");
}

std::vector<std::string>
Runner::GetRuns() const
{
  std::scoped_lock lock(mutex_);
  return runs_;
}

bool
Runner::Handle(int aSocket, const Message& aRequest)
{
  if (aRequest.GetPath() == "/health") {
    return SendAll(
      aSocket,
      MakeResponse(kOk, { { "Waxwingyoke-Instance-Id", options_.id } }, ""));
  }
  auto id = aRequest.Find("Waxwingyoke-Attempt-Id");
  auto instance = aRequest.Find("Waxwingyoke-Expect-Instance");
  if (!instance.empty() && instance != options_.id) {
    return SendAll(aSocket,
                   MakeResponse(421,
                                { { "Waxwingyoke-Attempt-Id", id },
                                  { "Waxwingyoke-Not-Executed", "1" } },
                                ""));
  }
  {
    std::scoped_lock lock(mutex_);
    runs_.push_back(id);
  }
  record_.Write("runner " + options_.id + " runs " + id + " " +
                aRequest.GetMethod() + " " + aRequest.GetTarget());
  return Run(aSocket, aRequest);
}

bool
Runner::Run(int aSocket, const Message& aRequest)
{
  Sleep(options_.workMs);
  return SendAll(aSocket,
                 MakeResponse(kOk,
                              { { "Content-Type", "application/json" },
                                { "Waxwingyoke-Attempt-Id",
                                  aRequest.Find("Waxwingyoke-Attempt-Id") },
                                { "Waxwingyoke-Response-Stamp", "stamp" } },
                              "{\"done\":true}"));
}

Daemon::Daemon(std::string aFolder, Options aOptions)
  : folder_(std::move(aFolder))
  , options_(std::move(aOptions))
{
}

// Writes a daemon's settings file, with the bounds of a small deployment.
void
Daemon::WriteSettings() const
{
  std::string seeds;
  for (const auto& seed : options_.seeds) {
    seeds += (seeds.empty() ? "" : ",") + Quote(seed + ":8000");
  }
  const auto& ip = options_.address;
  auto app = options_.app.empty() ? std::string()
                                  : ",\"app\":" + Quote(options_.app) +
                                      ",\"Service\":" + Quote(options_.service);
  bool isEntry = options_.role == "fleet-entry";
  std::ofstream(folder_ + "/" + options_.name + ".json")
    << "{\"Node\":" << Quote(options_.name)
    << ",\"Role\":" << Quote(options_.role)
    << ",\"MachineClass\":" << Quote(isEntry ? "edge" : "side")
    << ",\"Ip\":" << Quote(ip) << ",\"Zone\":" << Quote(options_.zone)
    << R"(,"Region":"r1","Zones":{"z1":"r1","z2":"r1"},"Listen":{"Frontend":)"
    << Quote(ip + ":8005") << ",\"Readiness\":" << Quote(ip + ":8002")
    << ",\"Admin\":" << Quote(ip + ":8000") << R"(},"PortRange":[7700,7715],)"
    << "\"Seeds\":[" << seeds
    << R"(],"Bootstrap":true,"Limits":{"CpuShare":0.19,"CpuCores":1,)"
    << "\"MemoryMb\":" << options_.memoryMb
    << ",\"MaxFds\":" << options_.descriptors
    << R"(,"LinkMbps":1000.0,"DiskMb":0},"HeartbeatMs":1200,"Bounds":{)"
    << R"("SeedLagS":3,"ReuseAfterS":2,"StableMs":3000,"AckMs":4000,)"
    << R"("CatchUpS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,)"
    << R"("ConfigApplyMs":2000,"BackMs":250,"MaxStretchMs":5000,)"
    << R"("RevokeStrict":true,"RevokeMs":5000,"RetryRatio":0.2,)"
    << R"("RetryWindowS":10,"RetrySlack":104,"RecoverS":12,"PassMs":120,)"
    << R"("RetryAfterS":0,"version_ms":8000,"version_all_ms":0},)"
    << "\"Platform\":{\"Address\":"
    << Quote(options_.store + ":" + std::to_string(kStorePort))
    << R"(,"form":"log"})" << app << "}";
}

bool
Daemon::Start()
{
  WriteSettings();
  end_.reset();
  auto variable = "WAXWINGYOKE_BOOT=" + folder_ + "/" + options_.name + ".json";
  auto output = folder_ + "/" + options_.name + ".log";
  std::string program = "target/bin/waxwingyoked";
  process_ = ::fork();
  if (process_ == 0) {
    int log = ::open(output.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    auto most = static_cast<rlim_t>(options_.descriptors);
    rlimit limit{ most, most };
    setrlimit(RLIMIT_NOFILE, &limit);
    std::array<char*, 3> words{ program.data(), options_.role.data(), nullptr };
    std::array<char*, 2> variables{ variable.data(), nullptr };
    ::execve(program.c_str(), words.data(), variables.data());
    ::_exit(127);
  }
  return process_ > 0;
}

void
Daemon::Signal(int aSignal) const
{
  if (process_ > 0) {
    ::kill(process_, aSignal);
  }
}

void
Daemon::Kill()
{
  if (process_ > 0 && !FindEnd()) {
    ::kill(process_, SIGKILL);
    int status = 0;
    ::waitpid(process_, &status, 0);
  }
  process_ = -1;
}

std::optional<int>
Daemon::FindEnd()
{
  int status = 0;
  if (!end_ && process_ > 0 && ::waitpid(process_, &status, WNOHANG) > 0) {
    end_ = status;
    process_ = -1;
  }
  return end_;
}

bool
Daemon::AwaitEnd(std::int64_t aMs)
{
  constexpr std::int64_t kPollMs = 10;
  auto until = Now() + aMs;
  while (!FindEnd() && Now() < until) {
    Sleep(kPollMs);
  }
  return FindEnd().has_value();
}

bool
Daemon::AwaitReady(std::int64_t aMs) const
{
  constexpr std::int64_t kPollMs = 50;
  auto until = Now() + aMs;
  while (Now() < until) {
    Channel channel(options_.address, kReadinessPort);
    auto answer = channel.Call(
      "GET /waxwingyoke/ready HTTP/1.1\r\nHost: platform\r\n\r\n", Millis(500));
    if (answer && answer->GetStatus() == kOk) {
      return true;
    }
    Sleep(kPollMs);
  }
  return false;
}

std::size_t
Daemon::CountDescriptors() const
{
  std::error_code error;
  std::filesystem::directory_iterator rows(
    "/proc/" + std::to_string(process_) + "/fd", error);
  return error ? 0
               : static_cast<std::size_t>(
                   std::distance(rows, std::filesystem::directory_iterator()));
}

std::string
MakeConfig(int aVersion,
           const std::vector<RouteShape>& aRoutes,
           const std::vector<std::string>& aServices,
           int aMaxHeaderBytes)
{
  std::string routes;
  for (const auto& route : aRoutes) {
    routes += (routes.empty() ? "" : ",") + std::string("{\"Name\":") +
              Quote(route.name) +
              ",\"Host\":\"h.example\",\"PathPrefix\":" + Quote(route.prefix) +
              ",\"Service\":" + Quote(route.service) +
              ",\"RouteKind\":" + Quote(route.kind) +
              ",\"TimeoutMs\":" + std::to_string(route.timeoutMs) +
              ",\"SloMs\":" + std::to_string(route.sloMs) +
              ",\"MaxAttempts\":" + std::to_string(route.attempts) +
              ",\"Priority\":1" + route.more + "}";
  }
  std::string services;
  for (const auto& service : aServices) {
    services += (services.empty() ? "" : ",") + service;
  }
  return "{\"Version\":" + std::to_string(aVersion) + ",\"Routes\":[" + routes +
         "],\"Services\":[" + services + R"(],"Limits":{"MaxHeaderBytes":)" +
         std::to_string(aMaxHeaderBytes) +
         R"(,"MaxBodyBytes":1048576,"HeaderTimeoutMs":5000,)" +
         R"("IdleTimeoutMs":20000}})";
}

std::string
MakePlainService(const std::string& aName)
{
  return "{\"Name\":" + Quote(aName) +
         R"(,"HealthPath":"/health","MaxConns":110})";
}

std::string
MakeAttemptId()
{
  static std::mutex sMutex;
  static std::mt19937_64 sRandom{ std::random_device{}() };
  std::scoped_lock lock(sMutex);
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(sRandom()));
  return text.data();
}

std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            const std::string& aBody,
            const Fields& aMore)
{
  std::string text = aMethod + " " + aPath +
                     " HTTP/1.1\r\nHost: h.example\r\n"
                     "Waxwingyoke-Attempt-Id: " +
                     aId + "\r\n";
  for (const auto& [name, value] : aMore) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

Folder::Folder()
{
  auto name =
    (std::filesystem::temp_directory_path() / "waxwingyoke-review-XXXXXX")
      .string();
  path_ = ::mkdtemp(name.data()) == nullptr ? "" : name;
}

Folder::~Folder()
{
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr && !path_.empty()) {
    std::filesystem::remove_all(path_, ignored);
  }
}

} // namespace waxwingyoke::review
