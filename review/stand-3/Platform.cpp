#include "Platform.h"

#include <chrono>
#include <cstdlib>

#include <fcntl.h>
#include <openssl/evp.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr std::int64_t kHeartbeatMs = 1000;
// Of requests whose path ends with "/slow".
constexpr std::int64_t kSlowMs = 4500;
constexpr const char* kServers = "keyed.servers";
constexpr const char* kJson = "Content-Type: application/json\r\n";

std::string
MakeBigEndian(std::uint64_t aValue, int aBytes)
{
  constexpr int kBits = 8;
  std::string bytes;
  for (int i = aBytes - 1; i >= 0; --i) {
    bytes += static_cast<char>(aValue >> (kBits * i));
  }
  return bytes;
}

std::uint64_t
ReadBigEndian(const std::string& aBytes, std::size_t aFrom, std::size_t aCount)
{
  constexpr int kBits = 8;
  std::uint64_t value = 0;
  for (auto byte : aBytes.substr(aFrom, aCount)) {
    value = value << kBits | static_cast<unsigned char>(byte);
  }
  return value;
}

std::uint64_t
ParseNumber(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

std::string
EncodeBase64(const std::string& aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  auto length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::int64_t
GetWallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
GetPath(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace

Record::Record(const std::string& aPath)
  : file_(::open(aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

Record::~Record()
{
  ::close(file_);
}

void
Record::Add(const std::string& aLine)
{
  constexpr std::int64_t kSecondMs = 1000;
  std::scoped_lock lock(mutex_);
  auto now = Now();
  auto millis = std::to_string(now % kSecondMs);
  auto line = std::to_string(now / kSecondMs) + "." +
              std::string(3 - millis.size(), '0') + millis + " " + aLine + "\n";
  if (::write(file_, line.data(), line.size()) < 0) {
    std::abort();
  }
}

Store::Store(const Address& aAddress)
  : server_(aAddress, [this](const Message& aRequest, Connection& aConnection) {
    Handle(aRequest, aConnection);
  })
{
}

Store::~Store()
{
  std::scoped_lock lock(mutex_);
  hasEnded_ = true;
  appended_.notify_all();
}

void
Store::Append(const std::string& aTopic,
              const std::string& aKey,
              const std::string& aValue)
{
  std::scoped_lock lock(mutex_);
  topics_[aTopic].push_back({ aKey, aValue });
  appended_.notify_all();
}

void
Store::Handle(const Message& aRequest, Connection& aConnection)
{
  constexpr std::size_t kLengthBytes = 4;
  auto path = GetPath(aRequest.target);
  if (path == "/waxwingyoke/log-read") {
    AnswerRead(aRequest, aConnection);
  } else if (path == "/waxwingyoke/log-newest") {
    AnswerNewest(aRequest, aConnection);
  } else if (path == "/waxwingyoke/log-append") {
    auto topic = aRequest.FindQuery("Topic");
    const auto& body = aRequest.body;
    std::size_t at = 0;
    while (at + kLengthBytes < body.size()) {
      auto size = ReadBigEndian(body, at, kLengthBytes);
      auto content = body.substr(at + kLengthBytes, size);
      auto keySize = static_cast<unsigned char>(content[0]);
      Append(topic, content.substr(1, keySize), content.substr(keySize + 1U));
      at += kLengthBytes + size;
    }
    aConnection.Answer(kOk, kJson, R"({"Offset":0,"End":1})");
  } else {
    aConnection.Answer(kNotFound, "", "");
  }
}

void
Store::AnswerRead(const Message& aRequest, Connection& aConnection)
{
  auto from = ParseNumber(aRequest.FindQuery("From"));
  auto wait = std::chrono::milliseconds(
    static_cast<std::int64_t>(ParseNumber(aRequest.FindQuery("WaitMs"))));
  std::string body;
  {
    std::unique_lock lock(mutex_);
    auto& rows = topics_[aRequest.FindQuery("Topic")];
    appended_.wait_for(
      lock, wait, [&] { return hasEnded_ || rows.size() > from; });
    body = MakeBigEndian(rows.size(), 8) + MakeBigEndian(0, 8);
    for (auto i = from; i < rows.size(); ++i) {
      auto content = std::string(1, static_cast<char>(rows[i].key.size())) +
                     rows[i].key + rows[i].value;
      body += MakeBigEndian(content.size(), 4) + content;
    }
  }
  aConnection.Answer(kOk, "Store-Era: 1\r\n", body);
}

void
Store::AnswerNewest(const Message& aRequest, Connection& aConnection)
{
  std::map<std::string, std::pair<std::string, std::size_t>> newest;
  std::string items;
  std::size_t end = 0;
  {
    std::scoped_lock lock(mutex_);
    const auto& rows = topics_[aRequest.FindQuery("Topic")];
    end = rows.size();
    for (std::size_t i = 0; i < end; ++i) {
      newest[rows[i].key] = { rows[i].value, i };
    }
  }
  for (const auto& [key, row] : newest) {
    if (!row.first.empty()) {
      items += std::string(items.empty() ? "" : ",") + R"({"Key":")" + key +
               R"(","Value":")" + EncodeBase64(row.first) + R"(","Offset":)" +
               std::to_string(row.second) + "}";
    }
  }
  aConnection.Answer(kOk,
                     std::string(kJson) + "Store-Era: 1\r\n",
                     R"({"Items":[)" + items + R"(],"HasMore":false,"End":)" +
                       std::to_string(end) + "}");
}

Runner::Runner(Store& aStore, Record& aRecord, RunnerOptions aOptions)
  : store_(aStore)
  , record_(aRecord)
  , options_(std::move(aOptions))
  , server_(options_.address,
            [this](const Message& aRequest, Connection& aConnection) {
              Handle(aRequest, aConnection);
            })
{
}

Runner::~Runner()
{
  hasEnded_ = true;
  if (beatThread_.joinable()) {
    beatThread_.join();
  }
}

bool
Runner::Start()
{
  if (!server_.Start()) {
    return false;
  }
  {
    std::scoped_lock lock(mutex_);
    isUp_ = true;
    born_ = GetWallMs();
  }
  beatThread_ = std::thread([this] { Beat(); });
  return true;
}

// The entry expires after three heartbeats that don't reach the store.
void
Runner::Beat()
{
  constexpr std::int64_t kPollMs = 50;
  constexpr int kMissed = 3;
  std::int64_t lastAt = 0;
  bool isListed = false;
  while (!hasEnded_) {
    auto now = NowMs();
    std::string entry;
    {
      std::scoped_lock lock(mutex_);
      if (isUp_ && reachesStore && now - lastAt >= kHeartbeatMs) {
        entry = MakeEntry();
      }
    }
    if (!entry.empty()) {
      store_.Append(kServers, options_.id, entry);
      lastAt = now;
      isListed = true;
    } else if (isListed && now - lastAt >= kMissed * kHeartbeatMs) {
      record_.Add("the entry of " + options_.id + " expires");
      store_.Append(kServers, options_.id, "");
      isListed = false;
    }
    SleepMs(kPollMs);
  }
}

std::string
Runner::MakeEntry()
{
  return R"({"Service":")" + options_.service + R"(","Address":")" +
         options_.address.ToString() +
         R"(","Zone":"z1","Version":"v1","Slots":6,"State":"ready",)" +
         R"("ColdLeftMs":0,"Stage":"both","Sequence":)" +
         std::to_string(++beats_) + R"(,"born":)" + std::to_string(born_) +
         (model ? model->makeState() : "") + "}";
}

void
Runner::Crash()
{
  std::scoped_lock lock(mutex_);
  record_.Add("runner " + options_.id + " crashes");
  isUp_ = false;
  server_.Crash();
}

void
Runner::Restart()
{
  constexpr std::int64_t kRetryMs = 20;
  while (!server_.Start()) {
    SleepMs(kRetryMs);
  }
  std::scoped_lock lock(mutex_);
  record_.Add("runner " + options_.id + " starts anew");
  isUp_ = true;
  born_ = GetWallMs();
}

void
Runner::SetRetryAfter(const std::string& aSeconds)
{
  std::scoped_lock lock(mutex_);
  retryAfter_ = aSeconds;
}

std::vector<Runner::Run>
Runner::ListRuns()
{
  std::scoped_lock lock(mutex_);
  return runs_;
}

std::vector<Runner::Run>
Runner::ListArrivals()
{
  std::scoped_lock lock(mutex_);
  return arrivals_;
}

void
Runner::Handle(const Message& aRequest, Connection& aConnection)
{
  if (aRequest.target == "/health") {
    auto field = "Waxwingyoke-Instance-Id: " + options_.id + "\r\n";
    aConnection.Answer(kOk, field, "");
    return;
  }
  if (model && model->handleControl(aRequest, aConnection)) {
    return;
  }
  auto id = aRequest.Find("Waxwingyoke-Attempt-Id");
  auto echo = id.empty() ? "" : "Waxwingyoke-Attempt-Id: " + id + "\r\n";
  std::string pause;
  bool isOther = false;
  bool isShed = false;
  {
    std::scoped_lock lock(mutex_);
    arrivals_.push_back({ id, aRequest.target, aRequest.body, record_.Now() });
    pause = retryAfter_;
    auto sheds = shedsOneOf.load();
    isShed = sheds > 0 && arrivals_.size() % sheds == 0;
    isOther = aRequest.Find("Waxwingyoke-Expect-Instance") != options_.id ||
              (model && !model->accepts(aRequest));
  }
  if (isOther) {
    aConnection.Answer(kMisdirected,
                       echo + "Waxwingyoke-Instance-Id: " + options_.id +
                         "\r\n",
                       "");
  } else if (isShed) {
    record_.Add("runner " + options_.id + " turns " + id + " away");
    aConnection.Answer(
      kUnavailable, echo + "Waxwingyoke-Not-Executed: 1\r\n", "");
  } else if (!pause.empty()) {
    record_.Add("runner " + options_.id + " turns " + id +
                " away with Retry-After " + pause);
    aConnection.Answer(
      kUnavailable,
      echo + "Waxwingyoke-Not-Executed: 1\r\nRetry-After: " + pause + "\r\n",
      "");
  } else {
    RunRequest(aRequest, aConnection);
  }
}

void
Runner::RunRequest(const Message& aRequest, Connection& aConnection)
{
  auto id = aRequest.Find("Waxwingyoke-Attempt-Id");
  {
    std::scoped_lock lock(mutex_);
    runs_.push_back({ id, aRequest.target, aRequest.body, record_.Now() });
  }
  record_.Add("runner " + options_.id + " runs " + id + " " + aRequest.method +
              " " + aRequest.target + ", body of " +
              std::to_string(aRequest.body.size()) + " bytes");
  if (crashes && crashes(aRequest)) {
    Crash();
    return;
  }
  bool isSlow = aRequest.target.ends_with("/slow");
  SleepMs(isSlow ? kSlowMs : options_.workMs);
  auto fields = "Waxwingyoke-Attempt-Id: " + id +
                "\r\nWaxwingyoke-Response-Stamp: " + options_.id + "." + id +
                "\r\n";
  if (model) {
    model->answer(fields, aConnection);
  } else if (aRequest.method == "HEAD") {
    auto length = std::to_string(("answer to " + id).size());
    aConnection.Write("HTTP/1.1 200 OK\r\n" + fields +
                      "Content-Length: " + length + "\r\n\r\n");
  } else {
    aConnection.Answer(kOk, fields, "answer to " + id);
  }
}

} // namespace review
