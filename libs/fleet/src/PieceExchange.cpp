#include "PieceExchange.h"

#include <algorithm>
#include <random>

#include <telemetry/Metrics.h>
#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using utils::Digest;
using utils::Millis;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kBusy = 503;
constexpr const char* kPiecePath = "/fleet/pieces/";
constexpr const char* kListPath = "/fleet/lists/";
constexpr const char* kWaitQuery = "wait_ms";
// Enough to fill a side's link while one answer is on its way.
constexpr int kFetchers = 4;
// More at a time would hold up the upstream's events on the same link.
constexpr int kMaxUploads = 2;
// A piece takes 40 ms on a side's link; this many may be before it.
constexpr Millis kWaitForPiece(1500);
// Sides of the region that are asked beside the one that brings a piece.
constexpr std::size_t kOthersOfRegion = 4;
constexpr Millis kWaitForUpload(1500);
constexpr Millis kConnectTimeout(500);
constexpr Millis kBodyTimeout(2500);

std::string
RankKey(const Digest& aPiece, const std::string& aVm)
{
  return aPiece.ToHex() + aVm;
}

std::vector<std::string>
ListVms(const std::vector<Peer>& aPeers, const std::string& aOwnVm)
{
  std::vector<std::string> vms{ aOwnVm };
  std::ranges::transform(aPeers, std::back_inserter(vms), &Peer::vm);
  return vms;
}

net::HttpResponse
MakeBytes(std::string aBytes)
{
  net::HttpResponse response;
  response.fields.Set("Content-Type", "application/octet-stream");
  response.body = std::move(aBytes);
  return response;
}

void
SendStatus(net::ResponseWriter& aWriter, int aStatus)
{
  net::HttpResponse response;
  response.status = aStatus;
  aWriter.Send(response);
}

} // namespace

PieceExchange::PieceExchange(net::Runtime& aRuntime,
                             const platform::FleetSettings& aSettings,
                             net::HttpClient& aClient,
                             PeerLink& aPeers,
                             PieceStore& aStore,
                             platform::WeightOrigin& aOrigin)
  : runtime_(aRuntime)
  , settings_(aSettings)
  , client_(aClient)
  , peers_(aPeers)
  , store_(aStore)
  , origin_(aOrigin)
{
}

void
PieceExchange::AddRoutes(net::Router& aRouter)
{
  aRouter.Add("GET",
              std::string(kPiecePath) + "*",
              [this](const auto& aRequest, auto& aWriter) {
                ServePiece(aRequest, aWriter);
              });
  aRouter.Add("GET",
              std::string(kListPath) + "*",
              [this](const auto& aRequest, auto& aWriter) {
                ServeList(aRequest, aWriter);
              });
}

// Waits for a piece that is on its way here, and for a turn on the link.
void
PieceExchange::ServePiece(const net::HttpRequest& aRequest,
                          net::ResponseWriter& aWriter)
{
  static auto& sSent =
    telemetry::Metrics::Get().GetCounter("fleet_pieces_sent_total");
  auto path = net::GetPath(aRequest.target);
  auto digest = Digest::Parse(path.substr(std::string_view(kPiecePath).size()));
  if (!digest) {
    SendStatus(aWriter, kNotFound);
    return;
  }
  auto wait =
    std::atoi(std::string(net::FindQuery(aRequest.target, kWaitQuery)).c_str());
  auto until =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
  std::unique_lock lock(mutex_);
  auto bytes = store_.Get(*digest);
  while (!bytes && store_.IsWanted(*digest) &&
         std::chrono::steady_clock::now() < until) {
    changed_.wait_until(lock, until);
    bytes = store_.Get(*digest);
  }
  if (!bytes) {
    SendStatus(aWriter, kNotFound);
    return;
  }
  bool turn = changed_.wait_for(
    lock, kWaitForUpload.ToChrono(), [this] { return uploads_ < kMaxUploads; });
  if (!turn) {
    SendStatus(aWriter, kBusy);
    return;
  }
  ++uploads_;
  lock.unlock();
  sSent.Add();
  aWriter.Send(MakeBytes(std::move(*bytes)));
  lock.lock();
  --uploads_;
  changed_.notify_all();
}

// One line a digest, after the size of a piece.
void
PieceExchange::ServeList(const net::HttpRequest& aRequest,
                         net::ResponseWriter& aWriter)
{
  const auto& list = store_.GetList();
  auto wanted =
    std::string(kListPath) + list.model + "/" + std::to_string(list.version);
  if (list.digests.empty() || net::GetPath(aRequest.target) != wanted) {
    SendStatus(aWriter, kNotFound);
    return;
  }
  std::string text = std::to_string(list.pieceBytes) + "\n";
  std::ranges::for_each(list.digests, [&text](const Digest& aDigest) {
    text += aDigest.ToHex() + "\n";
  });
  aWriter.Send(MakeBytes(std::move(text)));
}

std::optional<platform::PieceList>
PieceExchange::AskPeerForList(const Peer& aPeer,
                              const std::string& aModel,
                              std::uint64_t aVersion)
{
  net::HttpRequest request;
  request.target = kListPath + aModel + "/" + std::to_string(aVersion);
  utils::Error reason;
  auto response =
    client_.Call(aPeer.endpoint,
                 request,
                 { kConnectTimeout, kConnectTimeout, kConnectTimeout },
                 reason);
  if (!response || response->status != kOk) {
    return std::nullopt;
  }
  platform::PieceList list;
  list.model = aModel;
  list.version = aVersion;
  std::string_view rest = response->body;
  bool first = true;
  while (!rest.empty()) {
    auto end = std::min(rest.find('\n'), rest.size() - 1);
    auto line = rest.substr(0, end);
    rest.remove_prefix(end + 1);
    if (first) {
      list.pieceBytes = std::strtoull(std::string(line).c_str(), nullptr, 10);
      first = false;
      continue;
    }
    auto digest = Digest::Parse(line);
    if (!digest) {
      return std::nullopt;
    }
    list.digests.push_back(*digest);
  }
  return list.digests.empty() ? std::nullopt : std::optional(list);
}

std::optional<platform::PieceList>
PieceExchange::GetList(const std::optional<net::Endpoint>& aOrigin,
                       const std::string& aModel,
                       std::uint64_t aVersion,
                       utils::Error& aReason)
{
  // A list is small and all need it at once: the origin is asked by few.
  auto sides = peers_.List(PeerRole::Side);
  std::ranges::stable_partition(sides, [this](const Peer& aPeer) {
    return aPeer.dataCentre == settings_.dataCentre;
  });
  for (const auto& peer : sides) {
    auto list = AskPeerForList(peer, aModel, aVersion);
    if (list) {
      return list;
    }
  }
  if (!aOrigin) {
    aReason.Set(utils::ErrorKind::StoreUnavailable, "no origin is known");
    return std::nullopt;
  }
  return origin_.GetPieceList(*aOrigin, aModel, aVersion, aReason);
}

// Rank 0 of a region brings a piece there, rank 0 of all takes it from the
// origin. Of a version that is not new, others of the region have it.
std::vector<PieceExchange::Source>
PieceExchange::PlanSources(const Digest& aPiece, bool aIsNew) const
{
  auto sides = peers_.List(PeerRole::Side);
  auto find = [&sides](const std::string& aVm) {
    return std::ranges::find(sides, aVm, &Peer::vm);
  };
  std::vector<Peer> near;
  std::ranges::copy_if(
    sides, std::back_inserter(near), [this](const Peer& aPeer) {
      return aPeer.region == settings_.region;
    });
  auto ofRegion =
    utils::RankMembers(aPiece.ToHex(), ListVms(near, settings_.vm));
  auto ofAll = utils::RankMembers(aPiece.ToHex(), ListVms(sides, settings_.vm));
  bool bringsToRegion = ofRegion.front() == settings_.vm;
  bool bringsFromOrigin = ofAll.front() == settings_.vm;
  std::vector<Source> sources;
  auto add = [&](const std::string& aVm, Millis aPatience) {
    if (aVm != settings_.vm) {
      sources.push_back({ find(aVm)->endpoint, aPatience });
    }
  };
  if (!aIsNew || !bringsToRegion) {
    add(ofRegion.front(), bringsToRegion ? Millis(0) : kWaitForPiece);
    auto others = std::min(ofRegion.size() - 1, kOthersOfRegion);
    std::for_each_n(ofRegion.begin() + 1, others, [&](const auto& aVm) {
      add(aVm, Millis(0));
    });
  }
  if (!bringsFromOrigin) {
    add(ofAll.front(), kWaitForPiece);
  }
  // The origin, and once more near by for what it could not give.
  sources.push_back({ std::nullopt, Millis(0) });
  return sources;
}

std::optional<std::string>
PieceExchange::FetchFrom(const Source& aSource,
                         std::uint32_t aPiece,
                         const std::optional<net::Endpoint>& aOrigin,
                         utils::Error& aReason)
{
  const auto& list = store_.GetList();
  if (!aSource.peer) {
    if (!aOrigin) {
      aReason.Set(utils::ErrorKind::StoreUnavailable, "no origin is known");
      return std::nullopt;
    }
    static auto& sFromOrigin =
      telemetry::Metrics::Get().GetCounter("fleet_pieces_from_origin_total");
    sFromOrigin.Add();
    return origin_.GetPiece(
      *aOrigin, list.model, list.version, aPiece, aReason);
  }
  net::HttpRequest request;
  request.target = kPiecePath + list.digests[aPiece].ToHex() + "?" +
                   kWaitQuery + "=" + std::to_string(aSource.patience.value);
  auto response = client_.Call(
    *aSource.peer,
    request,
    { kConnectTimeout, aSource.patience + kBodyTimeout, kBodyTimeout },
    aReason);
  if (response && response->status != kOk) {
    aReason.Set(utils::ErrorKind::NotFound, "the side does not have it");
    return std::nullopt;
  }
  return response ? std::optional(std::move(response->body)) : std::nullopt;
}

bool
PieceExchange::FetchOne(std::uint32_t aPiece,
                        const std::optional<net::Endpoint>& aOrigin,
                        bool aIsNew)
{
  auto version = store_.GetList().version;
  auto digest = store_.GetList().digests[aPiece];
  for (const auto& source : PlanSources(digest, aIsNew)) {
    utils::Error reason;
    auto bytes = FetchFrom(source, aPiece, aOrigin, reason);
    if (store_.GetList().version != version) {
      return false;
    }
    if (bytes && store_.Put(aPiece, *bytes, reason)) {
      changed_.notify_all();
      return true;
    }
    if (reason.kind != utils::ErrorKind::NotFound) {
      logger_.Report(
        reason,
        { { "piece", std::to_string(aPiece) },
          { "source", source.peer ? source.peer->ToString() : "origin" } });
    }
  }
  return false;
}

void
PieceExchange::FetchLoop(const std::optional<net::Endpoint>& aOrigin,
                         bool aIsNew)
{
  while (!queue_.empty()) {
    auto piece = queue_.back();
    queue_.pop_back();
    FetchOne(piece, aOrigin, aIsNew);
  }
  --fetchers_;
  changed_.notify_all();
}

bool
PieceExchange::FetchMissing(const std::optional<net::Endpoint>& aOrigin,
                            bool aIsNew)
{
  auto missing = store_.GetMissing();
  queue_.assign(missing.begin(), missing.end());
  // Each side in an order of its own, so that they don't all ask one.
  std::ranges::sort(queue_, {}, [this](std::uint32_t aPiece) {
    return utils::StableHash(
      RankKey(store_.GetList().digests[aPiece], settings_.vm));
  });
  // Those that others wait for come first, that is last in the queue.
  std::ranges::stable_partition(queue_, [this](std::uint32_t aPiece) {
    const auto& digest = store_.GetList().digests[aPiece];
    auto vms = ListVms(peers_.List(PeerRole::Side), settings_.vm);
    return utils::RankMembers(digest.ToHex(), vms).front() != settings_.vm;
  });
  while (fetchers_ < kFetchers) {
    ++fetchers_;
    net::Runtime::SpawnHere(
      [this, aOrigin, aIsNew] { FetchLoop(aOrigin, aIsNew); });
  }
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return fetchers_ == 0; });
  return store_.GetMissing().empty();
}

} // namespace waxwingyoke::fleet
