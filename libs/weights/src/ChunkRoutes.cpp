#include "ChunkRoutes.h"

#include <mutex>
#include <string_view>

#include <telemetry/Metrics.h>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

// More concurrent uploads would only slow each other down, and a chunk can be
// passed on only once it is complete.
constexpr int kMaxConcurrentUploads = 3;
constexpr std::size_t kPartBytes = 16 * 1024;
constexpr std::string_view kManifestPrefix = "/manifests/";
constexpr std::string_view kChunkPrefix = "/chunks/";

std::optional<utils::Digest>
ReadDigest(const net::HttpRequest& aRequest, std::string_view aPrefix)
{
  auto path = net::GetPath(aRequest.target);
  return path.starts_with(aPrefix)
           ? utils::Digest::Parse(path.substr(aPrefix.size()))
           : std::nullopt;
}

void
SendError(ErrorKind aKind,
          const net::HttpRequest& aRequest,
          net::ResponseWriter& aWriter)
{
  utils::Error error;
  error.Set(aKind, aRequest.target);
  aWriter.Send(net::MakeErrorResponse(error));
}

/** Counts one upload as active for its own lifetime. */
class UploadSlot
{
public:
  explicit UploadSlot(std::atomic<int>& aActiveUploads)
    : activeUploads_(aActiveUploads)
    , acquired_(activeUploads_.fetch_add(1) < kMaxConcurrentUploads)
  {
  }
  ~UploadSlot() { activeUploads_.fetch_sub(1); }

  UploadSlot(const UploadSlot&) = delete;
  UploadSlot& operator=(const UploadSlot&) = delete;

  bool IsAcquired() const { return acquired_; }

private:
  std::atomic<int>& activeUploads_;
  bool acquired_;
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
                          bool aCompleteOnly) const
{
  auto version = ReadDigest(aRequest, kManifestPrefix);
  auto content = version ? chunkStore_.FindContent(*version) : nullptr;
  if (!content || (aCompleteOnly && !chunkStore_.IsComplete(*version))) {
    SendError(ErrorKind::NotFound, aRequest, aWriter);
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
  auto digest = ReadDigest(aRequest, kChunkPrefix);
  auto bytes = digest ? chunkStore_.FindChunk(*digest) : nullptr;
  if (!bytes) {
    SendError(ErrorKind::NotFound, aRequest, aWriter);
    return;
  }
  UploadSlot slot(activeUploads_);
  if (!slot.IsAcquired()) {
    SendError(ErrorKind::Overloaded, aRequest, aWriter);
    return;
  }
  auto begin = clock_.Now();
  if (!TryBeginUpload(*digest)) {
    SendError(ErrorKind::Overloaded, aRequest, aWriter);
    return;
  }
  WritePaced(*bytes, aWriter);
  std::scoped_lock lock(mutex_);
  uploadLimit_.End(clock_.Now() - begin);
}

bool
ChunkRoutes::TryBeginUpload(const utils::Digest& aChunk)
{
  std::scoped_lock lock(mutex_);
  return uploadLimit_.TryBegin(aChunk, clock_.Now());
}

void
ChunkRoutes::WritePaced(const std::string& aBytes, net::ResponseWriter& aWriter)
{
  static auto& sUploadedBytes =
    telemetry::Metrics::Get().GetCounter("weights_up_bytes_total");
  constexpr int kOk = 200;
  bool open = aWriter.Start(kOk, {});
  for (std::size_t sent = 0; open && sent < aBytes.size();) {
    auto part = std::string_view(aBytes).substr(sent, kPartBytes);
    link_.Wait(part.size());
    open = aWriter.Write(part);
    sent += part.size();
    sUploadedBytes.Add(part.size());
  }
  if (open && aWriter.Finish()) {
    uploadedChunks_ += 1;
  }
}

void
ChunkRoutes::SendToEngine(const net::HttpRequest& aRequest,
                          net::ResponseWriter& aWriter) const
{
  auto digest = ReadDigest(aRequest, kChunkPrefix);
  auto bytes =
    digest ? chunkStore_.FindChunkOfCompleteVersion(*digest) : nullptr;
  if (!bytes) {
    SendError(ErrorKind::NotFound, aRequest, aWriter);
    return;
  }
  net::HttpResponse response;
  response.body = *bytes;
  aWriter.Send(response);
}

} // namespace waxwingyoke::weights
