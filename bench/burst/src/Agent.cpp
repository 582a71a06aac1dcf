#include "Agent.h"

#include <cstdio>

#include <net/HttpServer.h>
#include <net/Router.h>
#include <net/Runtime.h>
#include <telemetry/Metrics.h>

#include <ChunkRoutes.h>
#include <ChunkStore.h>
#include <Content.h>
#include <Fetcher.h>
#include <net/Pacer.h>

namespace waxwingyoke::burst {

namespace {

constexpr utils::Millis kRetryPause(20);
constexpr utils::Millis kDeadline(600000);
constexpr std::uint64_t kMaxBytes = std::uint64_t(1) << 32;
constexpr const char* kSecret = "bench";

/** Fetches a version from one source and serves its chunks. */
class Agent
{
public:
  explicit Agent(const AgentOptions& aOptions)
    : source_(*net::Endpoint::Parse(aOptions.source))
    , version_(*utils::Digest::Parse(aOptions.version))
    , chunkStore_(kMaxBytes)
    , link_(aOptions.linkBytesPerSecond)
    , routes_(chunkStore_, link_)
    , fetcher_(http_, link_)
  {
  }

  void AddRoutes(net::Router& aRouter)
  {
    routes_.AddPeerRoutes(aRouter, kSecret);
    aRouter.Add("GET", "/metrics", [](const auto&, auto& aWriter) {
      net::HttpResponse response;
      response.body = telemetry::Metrics::Get().Show();
      aWriter.Send(response);
    });
    aRouter.Add("GET", "/whole", [this](const auto&, auto& aWriter) {
      constexpr int kNotFound = 404;
      net::HttpResponse response;
      response.status =
        chunkStore_.IsComplete(version_) ? response.status : kNotFound;
      aWriter.Send(response);
    });
  }

  void FetchAll()
  {
    utils::Error reason;
    auto bytes = FetchWithRetries("/manifests/" + version_.ToHex(), kMaxBytes);
    auto content = weights::Content::Read(version_, std::move(bytes), reason);
    chunkStore_.AddContent(content);
    for (const auto& chunk : content->chunks) {
      auto body =
        FetchWithRetries("/chunks/" + chunk.digest.ToHex(), chunk.bytes);
      chunkStore_.AddChunk(chunk.digest, std::move(body), reason);
    }
  }

private:
  std::string FetchWithRetries(const std::string& aPath, std::uint64_t aMax)
  {
    static auto& sDownloadedBytes =
      telemetry::Metrics::Get().GetCounter("weights_down_peer_bytes_total");
    weights::FetchRequest request;
    request.source = source_;
    request.path = aPath;
    request.fields = { net::MakeSecretField(kSecret) };
    request.maxBytes = aMax;
    request.deadline = kDeadline;
    request.shouldContinue = [] { return true; };
    request.onBytes = [&](std::size_t aBytes) { sDownloadedBytes.Add(aBytes); };
    while (true) {
      utils::Error reason;
      if (auto bytes = fetcher_.Fetch(request, reason)) {
        return std::move(*bytes);
      }
      net::Runtime::Sleep(kRetryPause);
    }
  }

  const net::Endpoint source_;
  const utils::Digest version_;
  net::HttpClient http_;
  weights::ChunkStore chunkStore_;
  net::Pacer link_;
  weights::ChunkRoutes routes_;
  weights::Fetcher fetcher_;
};

} // namespace

int
RunAgent(const AgentOptions& aOptions)
{
  net::Runtime runtime(1);
  return runtime.Run([&] {
    Agent agent(aOptions);
    net::Router router;
    agent.AddRoutes(router);
    utils::Error reason;
    auto server = net::HttpServer::Builder(runtime)
                    .SetEndpoint(*net::Endpoint::Parse(aOptions.listen))
                    .SetHandler([&](const auto& aRequest, auto& aWriter) {
                      router.Handle(aRequest, aWriter);
                    })
                    .Build(reason);
    if (!server) {
      std::fprintf(stderr, "agent: %s\n", reason.detail.c_str());
      net::ExitProcess(1);
    }
    net::Runtime::SpawnHere([&] { agent.FetchAll(); });
    runtime.WaitForSignal();
    net::ExitProcess(0);
    return 0;
  });
}

} // namespace waxwingyoke::burst
