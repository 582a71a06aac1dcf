#include "Origin.h"

#include <cstdlib>

#include <utils/Digest.h>

namespace waxwingyoke::review {

namespace {

std::uint64_t
ReadNumber(const net::HttpRequest& aRequest, std::string_view aName)
{
  return std::strtoull(
    std::string(net::FindQuery(aRequest.target, aName)).c_str(), nullptr, 10);
}

} // namespace

std::string
MakePiece(std::uint64_t aVersion, std::uint32_t aPiece)
{
  std::string head =
    "v" + std::to_string(aVersion) + " p" + std::to_string(aPiece) + " ";
  std::string bytes(kPieceBytes, static_cast<char>('a' + aPiece % 26));
  return bytes.replace(0, head.size(), head);
}

bool
Origin::Start(net::Runtime& aRuntime, const net::Endpoint& aEndpoint)
{
  utils::Error reason;
  server_ = net::HttpServer::Builder(aRuntime)
              .SetEndpoint(aEndpoint)
              .SetHandler([this](const auto& aRequest, auto& aWriter) {
                Handle(aRequest, aWriter);
              })
              .Build(reason);
  return server_ != nullptr;
}

std::string
Origin::MakeManifest(std::uint64_t aVersion)
{
  std::string digests;
  for (std::uint32_t piece = 0; piece < kPieces; ++piece) {
    digests += (piece == 0 ? "\"" : ",\"") +
               utils::Digest::Of(MakePiece(aVersion, piece)).ToHex() + "\"";
  }
  ++manifests_;
  if (aVersion == corruptVersion && corrupted_ == 0) {
    ++corrupted_;
    // One digit of the first digest: still a valid manifest by its form.
    digests[1] = digests[1] == '0' ? '1' : '0';
  }
  return R"({"Model":"m","Version":)" + std::to_string(aVersion) +
         R"(,"ChunkBytes":)" + std::to_string(kPieceBytes) +
         R"(,"layers":16,"Digests":[)" + digests + "]}";
}

void
Origin::Handle(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter)
{
  constexpr int kOk = 200;
  auto version = ReadNumber(aRequest, "Version");
  if (net::GetPath(aRequest.target).starts_with("/waxwingyoke/manifest/")) {
    aWriter.Send(net::MakeJsonResponse(kOk, MakeManifest(version)));
    return;
  }
  ++pieces_;
  net::HttpResponse response;
  response.body =
    MakePiece(version, static_cast<std::uint32_t>(ReadNumber(aRequest, "Num")));
  aWriter.Send(response);
}

} // namespace waxwingyoke::review
