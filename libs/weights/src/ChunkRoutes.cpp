#include "ChunkRoutes.h"

#include <mutex>
#include <string_view>

#include <telemetry/Metrics.h>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

// More at once only make each slower, and chunks can be passed on only when
// they are whole.
constexpr int kMaxAnswers = 3;
constexpr std::size_t kPartBytes = 16 * 1024;
constexpr std::string_view kManifests = "/manifests/";
constexpr std::string_view kChunks = "/chunks/";

std::optional<utils::Digest>
ReadDigest(const net::HttpRequest& aRequest, std::string_view aPrefix)
{
  auto path = net::GetPath(aRequest.target);
  return path.starts_with(aPrefix)
           ? utils::Digest::Parse(path.substr(aPrefix.size()))
           : std::nullopt;
}

void
Refuse(ErrorKind aKind,
       const net::HttpRequest& aRequest,
       net::ResponseWriter& aWriter)
{
  utils::Error error;
  error.Set(aKind, aRequest.target);
  aWriter.Send(net::MakeErrorResponse(error));
}

/** Counts one answer for as long as it lives. */
class AnswerSlot
{
public:
  explicit AnswerSlot(std::atomic<int>& aAnswers)
    : answers_(aAnswers)
    , taken_(answers_.fetch_add(1) < kMaxAnswers)
  {
  }
  ~AnswerSlot() { answers_.fetch_sub(1); }

  AnswerSlot(const AnswerSlot&) = delete;
  AnswerSlot& operator=(const AnswerSlot&) = delete;

  bool IsTaken() const { return taken_; }

private:
  std::atomic<int>& answers_;
  bool taken_;
};

} // namespace

ChunkRoutes::ChunkRoutes(const ChunkStore& aChunkStore, net::Pacer& aLink)
  : chunkStore_(aChunkStore)
  , link_(aLink)
{
}

void
ChunkRoutes::AddPeerRoutes(net::Router& aRouter, const std::string& aSecret)
{
  auto manifests = [this](const auto& aRequest, auto& aWriter) {
    SendManifest(aRequest, aWriter, false);
  };
  auto chunks = [this](const auto& aRequest, auto& aWriter) {
    SendToPeer(aRequest, aWriter);
  };
  aRouter.Add("GET", "/manifests/*", net::RequireSecret(aSecret, manifests));
  aRouter.Add("GET", "/chunks/*", net::RequireSecret(aSecret, chunks));
}

void
ChunkRoutes::AddEngineRoutes(net::Router& aRouter)
{
  aRouter.Add(
    "GET", "/manifests/*", [this](const auto& aRequest, auto& aWriter) {
      SendManifest(aRequest, aWriter, true);
    });
  aRouter.Add("GET", "/chunks/*", [this](const auto& aRequest, auto& aWriter) {
    SendToEngine(aRequest, aWriter);
  });
}

void
ChunkRoutes::SendManifest(const net::HttpRequest& aRequest,
                          net::ResponseWriter& aWriter,
                          bool aWholeOnly) const
{
  auto version = ReadDigest(aRequest, kManifests);
  auto content = version ? chunkStore_.FindContent(*version) : nullptr;
  if (!content || (aWholeOnly && !chunkStore_.IsWhole(*version))) {
    Refuse(ErrorKind::NotFound, aRequest, aWriter);
    return;
  }
  net::HttpResponse response;
  response.body = content->manifest;
  aWriter.Send(response);
}

void
ChunkRoutes::SendToPeer(const net::HttpRequest& aRequest,
                        net::ResponseWriter& aWriter)
{
  auto digest = ReadDigest(aRequest, kChunks);
  auto bytes = digest ? chunkStore_.FindChunk(*digest) : nullptr;
  if (!bytes) {
    Refuse(ErrorKind::NotFound, aRequest, aWriter);
    return;
  }
  AnswerSlot slot(answers_);
  if (!slot.IsTaken()) {
    Refuse(ErrorKind::Overloaded, aRequest, aWriter);
    return;
  }
  auto begin = clock_.Now();
  if (!MayGive(*digest)) {
    Refuse(ErrorKind::Overloaded, aRequest, aWriter);
    return;
  }
  WritePaced(*bytes, aWriter);
  std::scoped_lock lock(mutex_);
  limit_.End(clock_.Now() - begin);
}

bool
ChunkRoutes::MayGive(const utils::Digest& aChunk)
{
  std::scoped_lock lock(mutex_);
  return limit_.Begin(aChunk, clock_.Now());
}

void
ChunkRoutes::WritePaced(const std::string& aBytes, net::ResponseWriter& aWriter)
{
  static auto& sUp =
    telemetry::Metrics::Get().GetCounter("weights_up_bytes_total");
  constexpr int kOk = 200;
  bool open = aWriter.Start(kOk, {});
  for (std::size_t done = 0; open && done < aBytes.size();) {
    auto part = std::string_view(aBytes).substr(done, kPartBytes);
    link_.Wait(part.size());
    open = aWriter.Write(part);
    done += part.size();
    sUp.Add(part.size());
  }
  if (open && aWriter.Finish()) {
    given_ += 1;
  }
}

void
ChunkRoutes::SendToEngine(const net::HttpRequest& aRequest,
                          net::ResponseWriter& aWriter) const
{
  auto digest = ReadDigest(aRequest, kChunks);
  auto bytes = digest ? chunkStore_.FindWholeChunk(*digest) : nullptr;
  if (!bytes) {
    Refuse(ErrorKind::NotFound, aRequest, aWriter);
    return;
  }
  net::HttpResponse response;
  response.body = *bytes;
  aWriter.Send(response);
}

} // namespace waxwingyoke::weights
