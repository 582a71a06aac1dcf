#include <platform/StoreClient.h>

namespace waxwingyoke::platform {

using utils::ErrorKind;

namespace {

// Larger than the largest chunk that a manifest may contain.
constexpr std::size_t kMaxObjectBytes = 64 << 20;

} // namespace

StoreClient::StoreClient(net::HttpClient& aClient)
  : client_(aClient)
{
}

std::optional<std::string>
StoreClient::Get(const net::Endpoint& aSource,
                 const std::string& aPath,
                 const utils::Digest& aDigest,
                 const net::HttpFields& aFields,
                 const net::CallTimeouts& aTimeouts,
                 utils::Error& aReason)
{
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  net::HttpRequest request;
  request.target = aPath + aDigest.ToHex();
  request.fields = aFields;
  net::CallOptions options;
  options.maxBodyBytes = kMaxObjectBytes;
  auto response = client_.Call(aSource, request, aTimeouts, aReason, options);
  if (!response) {
    return std::nullopt;
  }
  if (response->status != kOk) {
    aReason.Set(response->status == kNotFound ? ErrorKind::NotFound
                                              : ErrorKind::StoreUnavailable,
                aSource.ToString() + " answered " +
                  std::to_string(response->status));
    return std::nullopt;
  }
  if (utils::Digest::Of(response->body) != aDigest) {
    aReason.Set(ErrorKind::DigestMismatch,
                aSource.ToString() + " sent bytes with another digest for " +
                  request.target);
    return std::nullopt;
  }
  return std::move(response->body);
}

std::optional<schema::Manifest>
StoreClient::GetManifest(const net::Endpoint& aSource,
                         const utils::Digest& aVersion,
                         const net::CallTimeouts& aTimeouts,
                         utils::Error& aReason)
{
  auto bytes = Get(aSource, "/manifests/", aVersion, {}, aTimeouts, aReason);
  if (!bytes) {
    return std::nullopt;
  }
  schema::Manifest manifest;
  if (!manifest.ParseFromString(*bytes)) {
    aReason.Set(ErrorKind::DigestMismatch, "the manifest can't be parsed");
    return std::nullopt;
  }
  return manifest;
}

std::optional<std::string>
StoreClient::GetChunk(const net::Endpoint& aSource,
                      const utils::Digest& aChunk,
                      const net::HttpFields& aFields,
                      const net::CallTimeouts& aTimeouts,
                      utils::Error& aReason)
{
  return Get(aSource, "/chunks/", aChunk, aFields, aTimeouts, aReason);
}

} // namespace waxwingyoke::platform
