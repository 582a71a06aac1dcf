#include "Platform.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <sstream>

#include <fcntl.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr std::int64_t kHeartbeatMs = 1000;
constexpr std::int64_t kWarmMs = 300;
// Of requests whose path ends with "/slow".
constexpr std::int64_t kSlowMs = 4500;
constexpr const char* kModel = "m";
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

// The number of a field of a JSON text; 0 if it has none.
std::uint64_t
FindNumber(const std::string& aText, const std::string& aName)
{
  auto field = "\"" + aName + "\":";
  auto at = aText.find(field);
  return at == std::string::npos ? 0
                                 : ParseNumber(aText.substr(at + field.size()));
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

std::string
Weights::MakePiece(std::uint64_t aVersion, int aNum)
{
  auto text = std::to_string(aVersion) + "/" + std::to_string(aNum) + ";";
  std::string piece;
  while (piece.size() < kChunkBytes) {
    piece += text;
  }
  piece.resize(kChunkBytes);
  return piece;
}

std::string
Weights::MakeDigest(const std::string& aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibble = 15;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         digest.data());
  std::string text;
  for (auto byte : digest) {
    text += kDigits[byte >> kNibbleBits];
    text += kDigits[byte & kNibble];
  }
  return text;
}

Origin::Origin(const Address& aAddress, Record& aRecord)
  : record_(aRecord)
  , server_(aAddress, [this](const Message& aRequest, Connection& aConnection) {
    Handle(aRequest, aConnection);
  })
{
}

void
Origin::SpoilLists(int aCount)
{
  std::scoped_lock lock(mutex_);
  spoil_ = aCount;
}

std::string
Origin::MakeList(std::uint64_t aVersion)
{
  std::string digests;
  for (int i = 0; i < Weights::kChunks; ++i) {
    digests += std::string(i > 0 ? "," : "") + '"' +
               Weights::MakeDigest(Weights::MakePiece(aVersion, i)) + '"';
  }
  bool isSpoilt = false;
  {
    std::scoped_lock lock(mutex_);
    isSpoilt = spoil_ > 0;
    spoil_ -= isSpoilt ? 1 : 0;
  }
  if (isSpoilt) {
    ++spoilt_;
    auto& digit = digests[1];
    digit = digit == '0' ? '1' : '0';
  }
  record_.Add("the origin sends the list of version " +
              std::to_string(aVersion) +
              (isSpoilt ? ", one digit spoilt" : ""));
  return R"({"Model":"m","Version":)" + std::to_string(aVersion) +
         R"(,"ChunkBytes":)" + std::to_string(Weights::kChunkBytes) +
         R"(,"layers":)" + std::to_string(Weights::kLayers) +
         R"(,"Digests":[)" + digests + "]}";
}

void
Origin::Handle(const Message& aRequest, Connection& aConnection)
{
  ++answers_;
  auto path = GetPath(aRequest.target);
  auto version = ParseNumber(aRequest.FindQuery("Version"));
  if (path == "/waxwingyoke/manifest/m") {
    aConnection.Answer(kOk, kJson, MakeList(version));
  } else if (path == "/waxwingyoke/piece/m") {
    auto num = static_cast<int>(ParseNumber(aRequest.FindQuery("Num")));
    aConnection.Answer(kOk, "", Weights::MakePiece(version, num));
  } else {
    aConnection.Answer(kNotFound, "", "");
  }
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
  std::string lastState;
  while (!hasEnded_) {
    auto now = NowMs();
    std::string entry;
    std::string state;
    {
      std::scoped_lock lock(mutex_);
      state = MakeState();
      bool isDue = now - lastAt >= kHeartbeatMs || state != lastState;
      if (isUp_ && reachesStore && isDue) {
        entry = MakeEntry();
      }
    }
    if (!entry.empty()) {
      store_.Append(kServers, options_.id, entry);
      lastAt = now;
      isListed = true;
      lastState = state;
    } else if (isListed && now - lastAt >= kMissed * kHeartbeatMs) {
      record_.Add("the entry of " + options_.id + " expires");
      store_.Append(kServers, options_.id, "");
      isListed = false;
    }
    SleepMs(kPollMs);
  }
}

std::string
Runner::MakeState()
{
  if (!options_.hasModel) {
    return "";
  }
  bool isLoaded = version_ > 0 && NowMs() >= loadedAt_;
  auto version = std::to_string(version_);
  return std::string(R"(,"Models":[)") +
         (isLoaded ? R"({"Name":"m","Version":)" + version + "}" : "") +
         R"(],"layers":)" +
         (isLoaded
            ? R"({"From":0,"Target":)" + std::to_string(Weights::kLayers) +
                R"(,"Version":)" + version + "}"
            : "null");
}

std::string
Runner::MakeEntry()
{
  return R"({"Service":")" + options_.service + R"(","Address":")" +
         options_.address.ToString() +
         R"(","Zone":"z1","Version":"v1","Slots":6,"State":"ready",)" +
         R"("ColdLeftMs":0,"Stage":"both","Sequence":)" +
         std::to_string(++beats_) + R"(,"born":)" + std::to_string(born_) +
         MakeState() + "}";
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
Runner::LosePower()
{
  Crash();
  std::scoped_lock lock(mutex_);
  staged_.clear();
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
  orders_ = 0;
  version_ = 0;
}

std::uint64_t
Runner::GetVersion()
{
  std::scoped_lock lock(mutex_);
  return NowMs() >= loadedAt_ ? version_ : 0;
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
  if (HandleControl(aRequest, aConnection)) {
    return;
  }
  auto id = aRequest.Find("Waxwingyoke-Attempt-Id");
  auto echo = id.empty() ? "" : "Waxwingyoke-Attempt-Id: " + id + "\r\n";
  std::string pause;
  bool isOther = false;
  {
    std::scoped_lock lock(mutex_);
    arrivals_.push_back({ id, aRequest.target, aRequest.body, record_.Now() });
    pause = retryAfter;
    auto version = ParseNumber(aRequest.Find("Waxwingyoke-Expect-Version"));
    isOther = aRequest.Find("Waxwingyoke-Expect-Instance") != options_.id ||
              (options_.hasModel && (version_ == 0 || NowMs() < loadedAt_ ||
                                     (version > 0 && version != version_)));
  }
  if (isOther) {
    aConnection.Answer(kMisdirected,
                       echo + "Waxwingyoke-Instance-Id: " + options_.id +
                         "\r\n",
                       "");
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

bool
Runner::HandleControl(const Message& aRequest, Connection& aConnection)
{
  auto path = GetPath(aRequest.target);
  if (path == "/waxwingyoke/order") {
    HandleOrder(aRequest, aConnection);
    return true;
  }
  bool isControl = path == "/health" || path == "/waxwingyoke/report" ||
                   path == "/waxwingyoke/stage-put/m" ||
                   path == "/waxwingyoke/stage-get/m";
  if (!isControl) {
    return false;
  }
  int status = kOk;
  std::string body;
  std::string fields;
  {
    std::scoped_lock lock(mutex_);
    auto numText = aRequest.FindQuery("Num");
    auto num = static_cast<int>(ParseNumber(numText));
    if (path == "/health") {
      fields = "Waxwingyoke-Instance-Id: " + options_.id + "\r\n";
    } else if (path == "/waxwingyoke/report") {
      fields = kJson;
      body = std::string(R"({"Stage":"both","Busy":)") +
             (NowMs() < loadedAt_ ? "true" : "false") + R"(,"Sequence":)" +
             std::to_string(orders_) + R"(,"Queued":0,"Running":0,"born":)" +
             std::to_string(born_) + MakeState() + "}";
    } else if (path == "/waxwingyoke/stage-put/m") {
      staged_[num] = aRequest.body;
    } else if (numText.empty()) {
      fields = kJson;
      for (const auto& [number, piece] : staged_) {
        body += (body.empty() ? "" : ",") + std::to_string(number);
      }
      body = R"({"held":[)" + body + "]}";
    } else if (staged_.contains(num)) {
      body = staged_[num];
    } else {
      status = kNotFound;
    }
  }
  aConnection.Answer(status, fields, body);
  return true;
}

void
Runner::HandleOrder(const Message& aRequest, Connection& aConnection)
{
  int status = kAccepted;
  std::string text;
  {
    std::scoped_lock lock(mutex_);
    auto version = FindNumber(aRequest.body, "Version");
    bool hasExpected = aRequest.body.find("\"Expected\"") != std::string::npos;
    bool isWhole = true;
    for (int i = 0; i < Weights::kChunks; ++i) {
      isWhole = isWhole && staged_.contains(i) &&
                staged_[i] == Weights::MakePiece(version, i);
    }
    if (aRequest.body.find("\"start\"") == std::string::npos) {
      status = kBadRequest;
    } else if (NowMs() < loadedAt_ ||
               (hasExpected && FindNumber(aRequest.body, "Expected") !=
                                 static_cast<std::uint64_t>(orders_))) {
      status = kConflict;
    } else if (version_ == version) {
      status = kOk;
    } else {
      ++orders_;
      version_ = version;
      loadedAt_ = NowMs() + kWarmMs;
      text = "runner " + options_.id + " loads version " +
             std::to_string(version) + (isWhole ? "" : " from spoilt pieces");
    }
  }
  if (!text.empty()) {
    record_.Add(text);
  }
  aConnection.Answer(status, kJson, "{}");
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
  std::string version;
  if (options_.hasModel) {
    version =
      "Waxwingyoke-Weight-Versions: " + std::to_string(GetVersion()) + "\r\n";
  }
  auto fields = "Waxwingyoke-Attempt-Id: " + id +
                "\r\nWaxwingyoke-Response-Stamp: " + options_.id + "." + id +
                "\r\n" + version;
  if (options_.hasModel) {
    RunStream(fields, aConnection);
  } else {
    aConnection.Answer(kOk, fields, "answer to " + id);
  }
}

void
Runner::RunStream(const std::string& aFields, Connection& aConnection) const
{
  constexpr int kEvents = 5;
  constexpr std::int64_t kEventMs = 30;
  constexpr const char* kLast = "0\r\n\r\n";
  aConnection.Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                    aFields + "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 1; i <= kEvents; ++i) {
    std::ostringstream event;
    event << "id: " << i << "\ndata: " << i << "\n\n";
    std::ostringstream chunk;
    chunk << std::hex << event.str().size() << "\r\n" << event.str() << "\r\n";
    if (!aConnection.Write(chunk.str())) {
      return;
    }
    SleepMs(kEventMs);
  }
  aConnection.Write(kLast);
}

} // namespace review
