#include "Engine.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include <openssl/sha.h>
#include <sys/socket.h>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr std::int64_t kWarmMs = 300;
// How long an engine under load takes to answer a report.
constexpr std::int64_t kReportMs = 500;
constexpr const char* kJson = "Content-Type: application/json\r\n";

std::uint64_t
ParseNumber(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

// The number of a field of a JSON text.
std::uint64_t
FindNumber(const std::string& aText,
           const std::string& aName,
           std::uint64_t aFallback)
{
  auto field = "\"" + aName + "\":";
  auto at = aText.find(field);
  return at == std::string::npos ? aFallback
                                 : ParseNumber(aText.substr(at + field.size()));
}

std::string
GetPath(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
MakeList(std::uint64_t aVersion)
{
  std::ostringstream digests;
  for (int i = 0; i < Weights::kChunks; ++i) {
    digests << (i > 0 ? "," : "") << '"'
            << Weights::MakeDigest(Weights::MakePiece(aVersion, i)) << '"';
  }
  return R"({"Model":"m","Version":)" + std::to_string(aVersion) +
         R"(,"ChunkBytes":)" + std::to_string(Weights::kChunkBytes) +
         R"(,"layers":)" + std::to_string(Weights::kLayers) +
         R"(,"Digests":[)" + digests.str() + "]}";
}

} // namespace

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

Origin::Origin(const Address& aAddress)
  : server_(aAddress, [](const Message& aRequest, Connection& aConnection) {
    Handle(aRequest, aConnection);
  })
{
}

void
Origin::Handle(const Message& aRequest, Connection& aConnection)
{
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

Engine::Engine(Runner& aRunner, Record& aRecord)
  : runner_(aRunner)
  , record_(aRecord)
{
  runner_.model =
    Runner::Model{ [this] { return MakeState(); },
                   [this](const Message& aRequest, Connection& aConnection) {
                     return HandleControl(aRequest, aConnection);
                   },
                   [this](const Message& aRequest) {
                     return Accepts(aRequest);
                   },
                   [this](const std::string& aFields, Connection& aConnection) {
                     Answer(aFields, aConnection);
                   } };
}

void
Engine::LosePower()
{
  runner_.Crash();
  std::scoped_lock lock(mutex_);
  staged_.clear();
  layers_ = {};
  loadedAt_ = 0;
  orders_ = 0;
  puts_ = 0;
}

void
Engine::Restart()
{
  runner_.Restart();
}

void
Engine::LoseAnswerToPut(int aNum)
{
  std::scoped_lock lock(mutex_);
  lostPut_ = aNum;
}

std::uint64_t
Engine::FindVersion() const
{
  auto version = layers_.front();
  bool isWhole =
    std::all_of(layers_.begin(), layers_.end(), [version](auto aLayer) {
      return aLayer == version;
    });
  return isWhole && NowMs() >= loadedAt_ ? version : 0;
}

std::string
Engine::MakeState()
{
  std::scoped_lock lock(mutex_);
  auto isHeld = [](auto aLayer) { return aLayer > 0; };
  const auto* first = std::find_if(layers_.cbegin(), layers_.cend(), isHeld);
  const auto* end = std::find_if_not(first, layers_.cend(), isHeld);
  if (first == layers_.cend() || NowMs() < loadedAt_) {
    return R"(,"Models":[],"layers":null)";
  }
  auto version = std::to_string(*first);
  return R"(,"Models":[{"Name":"m","Version":)" + version +
         R"(}],"layers":{"From":)" + std::to_string(first - layers_.cbegin()) +
         R"(,"Target":)" + std::to_string(end - layers_.cbegin()) +
         R"(,"Version":)" + version + "}";
}

bool
Engine::HandleControl(const Message& aRequest, Connection& aConnection)
{
  auto path = GetPath(aRequest.target);
  if (path == "/waxwingyoke/report") {
    AnswerReport(aConnection);
  } else if (path == "/waxwingyoke/stage-put/m") {
    AnswerPut(aRequest, aConnection);
  } else if (path == "/waxwingyoke/stage-get/m") {
    AnswerGet(aRequest, aConnection);
  } else if (path == "/waxwingyoke/order") {
    AnswerOrder(aRequest, aConnection);
  } else {
    return false;
  }
  return true;
}

void
Engine::AnswerReport(Connection& aConnection)
{
  SleepMs(kReportMs);
  auto state = MakeState();
  auto orders = std::to_string(orders_);
  bool isBusy = false;
  {
    std::scoped_lock lock(mutex_);
    isBusy = NowMs() < loadedAt_;
  }
  aConnection.Answer(kOk,
                     kJson,
                     std::string(R"({"Stage":"both","Busy":)") +
                       (isBusy ? "true" : "false") + R"(,"Sequence":)" +
                       orders + R"(,"Queued":0,"Running":0,"born":)" +
                       std::to_string(runner_.GetBorn()) + state + "}");
}

void
Engine::AnswerPut(const Message& aRequest, Connection& aConnection)
{
  auto num = static_cast<int>(ParseNumber(aRequest.FindQuery("Num")));
  bool isLost = false;
  {
    std::scoped_lock lock(mutex_);
    staged_[num] = aRequest.body;
    isLost = num == lostPut_;
    lostPut_ = isLost ? -1 : lostPut_;
  }
  ++puts_;
  if (isLost) {
    record_.Add("the answer to the staging of piece " + std::to_string(num) +
                " is lost");
    ::shutdown(aConnection.GetSocket(), SHUT_RDWR);
    return;
  }
  aConnection.Answer(kOk, "", "");
}

void
Engine::AnswerGet(const Message& aRequest, Connection& aConnection)
{
  auto text = aRequest.FindQuery("Num");
  std::ostringstream held;
  std::string piece;
  bool isStaged = false;
  {
    std::scoped_lock lock(mutex_);
    for (const auto& row : staged_) {
      held << (held.str().empty() ? "" : ",") << row.first;
    }
    auto found = staged_.find(static_cast<int>(ParseNumber(text)));
    isStaged = found != staged_.end();
    piece = isStaged ? found->second : "";
  }
  if (text.empty()) {
    aConnection.Answer(kOk, kJson, R"({"held":[)" + held.str() + "]}");
  } else {
    aConnection.Answer(isStaged ? kOk : kNotFound, "", piece);
  }
}

void
Engine::AnswerOrder(const Message& aRequest, Connection& aConnection)
{
  auto status = ApplyOrder(aRequest.body);
  record_.Add("order " + aRequest.body + " gets " + std::to_string(status));
  aConnection.Answer(status, kJson, "{}");
}

int
Engine::ApplyOrder(const std::string& aBody)
{
  std::scoped_lock lock(mutex_);
  auto orders = static_cast<std::uint64_t>(orders_);
  auto version = FindNumber(aBody, "Version", 0);
  auto from = FindNumber(aBody, "From", 0);
  auto target = FindNumber(aBody, "Target", Weights::kLayers);
  bool isAll = from == 0 && target == Weights::kLayers;
  if (NowMs() < loadedAt_ || FindNumber(aBody, "Expected", orders) != orders) {
    return kConflict;
  }
  if (isAll && FindVersion() == version) {
    return kOk;
  }
  ++orders_;
  for (std::size_t layer = 0; layer < layers_.size(); ++layer) {
    layers_[layer] = layer >= from && layer < target ? version : 0;
  }
  loadedAt_ = NowMs() + kWarmMs * static_cast<std::int64_t>(target - from) /
                          Weights::kLayers;
  return kAccepted;
}

bool
Engine::Accepts(const Message& aRequest)
{
  std::scoped_lock lock(mutex_);
  auto version = FindVersion();
  auto expected = ParseNumber(aRequest.Find("Waxwingyoke-Expect-Version"));
  return version > 0 && (expected == 0 || expected == version);
}

void
Engine::Answer(const std::string& aFields, Connection& aConnection)
{
  constexpr int kEvents = 5;
  constexpr std::int64_t kEventMs = 30;
  std::uint64_t version = 0;
  {
    std::scoped_lock lock(mutex_);
    version = FindVersion();
  }
  aConnection.Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                    aFields +
                    "Waxwingyoke-Weight-Versions: " + std::to_string(version) +
                    "\r\nTransfer-Encoding: chunked\r\n\r\n");
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
  aConnection.Write("0\r\n\r\n");
}

} // namespace review
