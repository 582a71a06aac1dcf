#include "Runner.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "Origin.h"

namespace waxwingyoke::review {

namespace {

using utils::Millis;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kEvents = 6;
constexpr Millis kEventInterval(20);
// The usual work of a plain request.
constexpr Millis kWorkTime(60);
// WarmS of the configuration.
constexpr Millis kLoadTime(300);
// A piece that turned bad within this time before the order is excused.
constexpr Millis kExcusedTime(3000);

std::uint64_t
ReadField(const std::string& aBody, const std::string& aName)
{
  auto at = aBody.find("\"" + aName + "\":");
  return at == std::string::npos
           ? 0
           : std::strtoull(aBody.c_str() + at + aName.size() + 3, nullptr, 10);
}

void
SendStatus(net::ResponseWriter& aWriter, int aStatus)
{
  net::HttpResponse response;
  response.status = aStatus;
  aWriter.Send(response);
}

} // namespace

Runner::Runner(std::string aId, std::string aService, std::string aModel)
  : id_(std::move(aId))
  , service_(std::move(aService))
  , model_(std::move(aModel))
  , born_(utils::GetWallTime().value)
{
  for (std::uint32_t piece = 0; !model_.empty() && piece < kPieces; ++piece) {
    staged_[piece] = MakePiece(1, piece);
  }
}

bool
Runner::Start(net::Runtime& aRuntime, const net::Endpoint& aEndpoint)
{
  endpoint_ = aEndpoint;
  utils::Error reason;
  server_ = net::HttpServer::Builder(aRuntime)
              .SetEndpoint(aEndpoint)
              .SetHandler([this](const auto& aRequest, auto& aWriter) {
                ++running_;
                Handle(aRequest, aWriter);
                --running_;
              })
              .Build(reason);
  return server_ != nullptr;
}

void
Runner::Stop()
{
  isStopped_ = true;
  server_->Close();
}

std::string
Runner::MakeModels() const
{
  if (model_.empty()) {
    return "";
  }
  auto version = std::to_string(version_);
  auto layers = isLoading_
                  ? std::string("null")
                  : R"({"From":0,"Target":16,"Version":)" + version + "}";
  return R"(,"Stage":"both","Models":[{"Name":")" + model_ + R"(","Version":)" +
         version + R"(,"Adapters":[]}],"layers":)" + layers;
}

std::string
Runner::MakeDirectoryRecord()
{
  return R"({"Service":")" + service_ + R"(","Address":")" +
         endpoint_.ToString() +
         R"(","Zone":"z1","Version":"v1","Slots":16,"State":"ready",)"
         R"("ColdLeftMs":0,"Sequence":)" +
         std::to_string(++beats_) + R"(,"born":)" + std::to_string(born_) +
         MakeModels() + "}";
}

bool
Runner::HasStaged(std::uint64_t aVersion) const
{
  return std::ranges::all_of(staged_, [aVersion](const auto& aRow) {
    return aRow.second == MakePiece(aVersion, aRow.first);
  });
}

void
Runner::Spoil(std::uint32_t aPiece)
{
  staged_[aPiece].back() = '!';
  spoiltAt_[aPiece] = clock_.Now();
}

void
Runner::Handle(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter)
{
  if (HandleControl(aRequest, aWriter)) {
    return;
  }
  std::string id(aRequest.fields.Find("Waxwingyoke-Attempt-Id"));
  auto expected = aRequest.fields.Find("Waxwingyoke-Expect-Instance");
  auto version = aRequest.fields.Find("Waxwingyoke-Expect-Version");
  net::HttpResponse refusal;
  refusal.fields.Set("Waxwingyoke-Attempt-Id", id);
  bool isMisdirected =
    (!expected.empty() && expected != id_) ||
    (!version.empty() && version != std::to_string(version_));
  if (isMisdirected) {
    refusal.status = kMisdirected;
    refusal.fields.Set("Waxwingyoke-Instance-Id", id_);
    aWriter.Send(refusal);
  } else if (isLoading_) {
    refusal.status = kUnavailable;
    refusal.fields.Set("Waxwingyoke-Not-Executed", "1");
    aWriter.Send(refusal);
  } else {
    RunRequest(aRequest, aWriter);
  }
}

bool
Runner::HandleControl(const net::HttpRequest& aRequest,
                      net::ResponseWriter& aWriter)
{
  auto path = net::GetPath(aRequest.target);
  auto numText = std::string(net::FindQuery(aRequest.target, "Num"));
  auto piece =
    static_cast<std::uint32_t>(std::strtoul(numText.c_str(), nullptr, 10));
  if (!path.starts_with("/waxwingyoke/") || model_.empty()) {
    return false;
  }
  if (path == "/waxwingyoke/report") {
    aWriter.Send(net::MakeJsonResponse(
      kOk,
      R"({"Busy":)" + std::string(isLoading_ ? "true" : "false") +
        R"(,"born":)" + std::to_string(born_) + R"(,"pace":1.0,"Sequence":)" +
        std::to_string(sequence_) +
        R"(,"Queued":0,"Running":0,"KvUsed":0,"KvTotal":1180000,"Handles":0)" +
        MakeModels() + "}"));
  } else if (path == "/waxwingyoke/stage-put/" + model_) {
    staged_[piece] = aRequest.body;
    spoiltAt_.erase(piece);
    SendStatus(aWriter, kOk);
  } else if (path == "/waxwingyoke/stage-get/" + model_ && numText.empty()) {
    std::string held;
    for (const auto& [number, bytes] : staged_) {
      held += (held.empty() ? "" : ",") + std::to_string(number);
    }
    aWriter.Send(net::MakeJsonResponse(kOk, R"({"held":[)" + held + "]}"));
  } else if (path == "/waxwingyoke/stage-get/" + model_) {
    HandleStaged(piece, aWriter);
  } else if (path == "/waxwingyoke/order") {
    SendStatus(aWriter, HandleOrder(aRequest.body));
  } else {
    SendStatus(aWriter, kForbidden);
  }
  return true;
}

void
Runner::HandleStaged(std::uint32_t aPiece, net::ResponseWriter& aWriter)
{
  if (!staged_.contains(aPiece)) {
    SendStatus(aWriter, kNotFound);
    return;
  }
  net::HttpResponse response;
  response.body = staged_[aPiece];
  aWriter.Send(response);
  if (onStagedRead) {
    onStagedRead(aPiece);
  }
}

// Loads what is staged at this moment.
int
Runner::HandleOrder(const std::string& aBody)
{
  bool isExpected = aBody.find("\"Expected\":") == std::string::npos ||
                    ReadField(aBody, "Expected") == sequence_;
  if (isLoading_ || !isExpected) {
    return kConflict;
  }
  Load load;
  load.version = ReadField(aBody, "Version");
  load.at = clock_.Now();
  for (std::uint32_t piece = 0; piece < kPieces; ++piece) {
    auto spoilt = spoiltAt_.find(piece);
    auto spoiltFor =
      spoilt == spoiltAt_.end() ? Millis(0) : load.at - spoilt->second;
    bool isExcused = spoilt != spoiltAt_.end() && spoiltFor <= kExcusedTime;
    if (!isExcused && staged_[piece] != MakePiece(load.version, piece)) {
      load.badPieces.push_back(piece);
      load.spoiltFor = std::max(load.spoiltFor, spoiltFor);
    }
  }
  loads_.push_back(load);
  ++sequence_;
  isLoading_ = true;
  net::Runtime::SpawnHere([this, version = load.version] {
    net::Runtime::Sleep(kLoadTime);
    version_ = version;
    isLoading_ = false;
  });
  return kAccepted;
}

void
Runner::RunRequest(const net::HttpRequest& aRequest,
                   net::ResponseWriter& aWriter)
{
  std::string id(aRequest.fields.Find("Waxwingyoke-Attempt-Id"));
  std::string tenant(aRequest.fields.Find("Waxwingyoke-Tenant"));
  runs_.push_back({ id, tenant, version_, clock_.Now() });
  net::HttpFields fields{ { "Waxwingyoke-Attempt-Id", id },
                          { "Waxwingyoke-Response-Stamp", "stamp-" + id_ } };
  if (!model_.empty()) {
    std::string last(aRequest.fields.Find("Last-Event-Id"));
    fields.Set("Content-Type", "text/event-stream");
    fields.Set("Waxwingyoke-Weight-Versions", std::to_string(version_));
    StreamEvents(fields, std::atoi(last.c_str()) + 1, aWriter);
    return;
  }
  net::Runtime::Sleep(kWorkTime);
  aWriter.Send({ kOk, fields, "by " + id_ });
}

void
Runner::StreamEvents(const net::HttpFields& aFields,
                     int aFrom,
                     net::ResponseWriter& aWriter)
{
  bool isSent = aWriter.Start(kOk, aFields);
  for (int event = aFrom; isSent && event <= kEvents && !isStopped_; ++event) {
    net::Runtime::Sleep(kEventInterval);
    auto number = std::to_string(event);
    std::string text("id: ");
    text.append(number).append("\ndata: token ").append(number).append("\n\n");
    isSent = aWriter.Write(text);
  }
  if (isSent) {
    aWriter.Finish();
  }
}

} // namespace waxwingyoke::review
