#include "PieceExchange.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <telemetry/Metrics.h>
#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using utils::Digest;
using utils::Millis;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr const char* kPiecePath = "/fleet/pieces/";
constexpr const char* kListPath = "/fleet/lists/";
constexpr std::size_t kBitsPerByte = 8;
// Enough to use a side's link fully while one response is awaited.
constexpr int kFetchers = 4;
// Uploads share the paced link; more at a time only make each slower. Those to
// other regions have slots of their own, as a whole region waits for each.
constexpr int kMaxLocalUploads = 2;
constexpr int kMaxRemoteUploads = 2;
// Share of the VM's link for pieces; the rest is for the upstream's events.
constexpr double kUploadLinkShare = 0.9;
// Share of the VM's link for pieces to other regions. Links between regions are
// shared by all sides and by live answers, and their capacity is not
// configured.
constexpr double kRemoteLinkShare = 0.5;
// Written to the link at a time; delays an event on it by a few ms at most.
constexpr std::size_t kPartBytes = 8 * 1024;
constexpr const char* kRegionQuery = "region";
// Before a busy side is asked again; about the time that an upload takes.
constexpr Millis kBusyPause(40);
constexpr Millis kPickInterval(25);
constexpr Millis kConnectTimeout(500);
// A healthy side begins its response after one read from its upstream. Short,
// so that a frozen side does not block pieces that other sides have.
constexpr Millis kPieceHeadTimeout(600);
constexpr Millis kPieceTimeout(1500);
constexpr Millis kListTimeout(400);

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

std::uint64_t
Scale(std::uint64_t aBytesPerSecond, double aShare)
{
  return static_cast<std::uint64_t>(static_cast<double>(aBytesPerSecond) *
                                    aShare);
}

bool
HasBit(const std::vector<bool>& aBits, std::uint32_t aBit)
{
  return aBit < aBits.size() && aBits[aBit];
}

std::vector<bool>
ReadBits(const std::string& aBytes)
{
  std::vector<bool> bits(aBytes.size() * kBitsPerByte);
  for (std::size_t i = 0; i < bits.size(); ++i) {
    auto byte = static_cast<unsigned char>(aBytes[i / kBitsPerByte]);
    bits[i] = (byte >> (i % kBitsPerByte) & 1U) != 0;
  }
  return bits;
}

std::string
MakeBits(const std::vector<bool>& aBits)
{
  std::string bytes((aBits.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (std::size_t i = 0; i < aBits.size(); ++i) {
    auto bit = static_cast<unsigned>(aBits[i]) << (i % kBitsPerByte);
    bytes[i / kBitsPerByte] = static_cast<char>(
      static_cast<unsigned char>(bytes[i / kBitsPerByte]) | bit);
  }
  return bytes;
}

} // namespace

PieceExchange::PieceExchange(const platform::FleetSettings& aSettings,
                             net::HttpClient& aClient,
                             PeerLink& aPeers,
                             PieceStore& aStore,
                             platform::WeightOrigin& aOrigin)
  : settings_(aSettings)
  , client_(aClient)
  , peers_(aPeers)
  , store_(aStore)
  , origin_(aOrigin)
  , uploadPacer_(Scale(aSettings.linkBytesPerSecond, kUploadLinkShare))
  , remoteUploadPacer_(Scale(aSettings.linkBytesPerSecond, kRemoteLinkShare))
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

void
PieceExchange::HandleNotice(const Peer& aFrom,
                            const schema::SideNotice& aNotice)
{
  auto& row = announcements_[aFrom.vm];
  if (row.peer.endpoint != aFrom.endpoint) {
    row.peer = aFrom;
  }
  auto pieces = ReadBits(aNotice.staged_pieces());
  const auto& list = store_.GetList();
  bool isWanted = aNotice.staged_model() == list.model &&
                  aNotice.staged_version() == list.version;
  // The origin has recovered: without this, each side would find out with its
  // next request, up to a backoff pause later.
  if (!originHealth_.IsAnswering() && isWanted && HasUnannouncedPiece(pieces)) {
    originHealth_.MarkUsable();
  }
  row.model = aNotice.staged_model();
  row.version = aNotice.staged_version();
  // Fetchers are not notified but read this with their next poll: notices of
  // many sides arrive in quick succession, and choosing a piece is expensive.
  row.pieces = std::move(pieces);
}

// Whether aPieces contains a missing piece that no side announced before. Such
// a piece can only have come from the origin.
bool
PieceExchange::HasUnannouncedPiece(const std::vector<bool>& aPieces) const
{
  return std::ranges::any_of(store_.GetMissing(), [&](std::uint32_t aPiece) {
    return HasBit(aPieces, aPiece) && !IsAnnounced(aPiece);
  });
}

bool
PieceExchange::IsAnnounced(std::uint32_t aPiece) const
{
  const auto& list = store_.GetList();
  return std::ranges::any_of(announcements_, [&](const auto& aRow) {
    const auto& announcement = aRow.second;
    return announcement.model == list.model &&
           announcement.version == list.version &&
           HasBit(announcement.pieces, aPiece);
  });
}

bool
PieceExchange::AreMissingPiecesAnnounced() const
{
  return std::ranges::all_of(store_.GetMissing(), [this](std::uint32_t aPiece) {
    return IsAnnounced(aPiece);
  });
}

void
PieceExchange::FillNotice(schema::SideNotice& aNotice) const
{
  const auto& list = store_.GetList();
  if (list.digests.empty()) {
    return;
  }
  auto missing = store_.GetMissing();
  std::vector<bool> bits(list.digests.size(), true);
  std::ranges::for_each(
    missing, [&bits](std::uint32_t aPiece) { bits[aPiece] = false; });
  aNotice.set_staged_model(list.model);
  aNotice.set_staged_version(list.version);
  aNotice.set_staged_pieces(MakeBits(bits));
}

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
  auto region = net::FindQuery(aRequest.target, kRegionQuery);
  bool isRemoteRegion = region != settings_.region;
  auto& uploads = isRemoteRegion ? remoteUploads_ : localUploads_;
  if (uploads >= (isRemoteRegion ? kMaxRemoteUploads : kMaxLocalUploads)) {
    SendStatus(aWriter, kServiceUnavailable);
    return;
  }
  ++uploads;
  auto bytes = store_.Get(*digest);
  if (bytes) {
    sSent.Add();
    SendPaced(*bytes, isRemoteRegion, aWriter);
  } else {
    SendStatus(aWriter, kNotFound);
  }
  --uploads;
}

// Writes small parts, so that an event of the upstream waits for one at most.
bool
PieceExchange::SendPaced(const std::string& aBytes,
                         bool aIsRemoteRegion,
                         net::ResponseWriter& aWriter)
{
  bool sent =
    aWriter.Start(kOk, { { "Content-Type", "application/octet-stream" } });
  std::string_view rest = aBytes;
  while (sent && !rest.empty()) {
    auto part = rest.substr(0, kPartBytes);
    if (aIsRemoteRegion) {
      remoteUploadPacer_.Wait(part.size());
    }
    uploadPacer_.Wait(part.size());
    sent = aWriter.Write(part);
    rest.remove_prefix(part.size());
  }
  return sent && aWriter.Finish();
}

// Sends the size of a piece, then the digests, each on a line.
void
PieceExchange::ServeList(const net::HttpRequest& aRequest,
                         net::ResponseWriter& aWriter)
{
  const auto& list = store_.GetList();
  auto listPath =
    std::string(kListPath) + list.model + "/" + std::to_string(list.version);
  if (list.digests.empty() || net::GetPath(aRequest.target) != listPath) {
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
PieceExchange::FetchListFromPeer(const Peer& aPeer,
                                 const FetchTask& aTask,
                                 const std::string& aModel,
                                 std::uint64_t aVersion)
{
  net::HttpRequest request;
  request.target = kListPath + aModel + "/" + std::to_string(aVersion);
  utils::Error reason;
  net::CallOptions options;
  options.maxBodyBytes = aTask.maxListBytes;
  auto response = client_.Call(aPeer.endpoint,
                               request,
                               { kConnectTimeout, kListTimeout, kListTimeout },
                               reason,
                               options);
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

// A list that lacks pieces would pass as staged without them.
bool
PieceExchange::IsComplete(const std::optional<platform::PieceList>& aList,
                          const FetchTask& aTask,
                          utils::Error& aReason)
{
  if (!aList) {
    return false;
  }
  auto pieces = aList->digests.size();
  if (aTask.pieces > 0 && pieces != aTask.pieces) {
    aReason.Set(utils::ErrorKind::DigestMismatch,
                "a list of " + std::to_string(pieces) + " pieces, " +
                  std::to_string(aTask.pieces) + " are configured");
    return false;
  }
  return true;
}

// No side has the list of a version that was just named: only the origin does.
std::optional<platform::PieceList>
PieceExchange::GetList(const FetchTask& aTask,
                       const std::string& aModel,
                       std::uint64_t aVersion,
                       utils::Error& aReason)
{
  std::vector<Peer> holders;
  for (const auto& [vm, row] : announcements_) {
    if (row.model == aModel && row.version == aVersion) {
      holders.push_back(row.peer);
    }
  }
  // Sides of the own region first, then in an order that differs by requester.
  std::ranges::sort(holders, [this](const Peer& aLeft, const Peer& aRight) {
    bool isLeftLocal = aLeft.region == settings_.region;
    if (isLeftLocal != (aRight.region == settings_.region)) {
      return isLeftLocal;
    }
    auto seed = utils::StableHash(settings_.vm);
    return utils::StableHash(aLeft.vm, seed) <
           utils::StableHash(aRight.vm, seed);
  });
  for (const auto& peer : holders) {
    auto list = FetchListFromPeer(peer, aTask, aModel, aVersion);
    utils::Error ignored;
    if (IsComplete(list, aTask, ignored)) {
      return list;
    }
  }
  if (aTask.origin == nullptr) {
    aReason.Set(utils::ErrorKind::StoreUnavailable,
                "the configuration names no weight origin");
    return std::nullopt;
  }
  if (!originHealth_.IsUsable() || !IsListRequestDue(aTask, aVersion)) {
    return std::nullopt;
  }
  auto list = origin_.GetPieceList(
    *aTask.origin->origin, aModel, aVersion, aTask.maxListBytes, aReason);
  bool isUsable = IsComplete(list, aTask, aReason);
  originHealth_.RecordResult(isUsable, aReason);
  change_.isFromOrigin = change_.isFromOrigin || isUsable;
  return isUsable ? std::move(list) : std::nullopt;
}

bool
PieceExchange::IsListRequestDue(const FetchTask& aTask, std::uint64_t aVersion)
{
  if (listVersion_ != aVersion) {
    listVersion_ = aVersion;
    listWantedAt_ = clock_.Now();
  }
  PickQuery query;
  AddSides(aTask, query);
  // Counted from the origin's last failure: otherwise all sides that became due
  // while it was unavailable would send their requests at once.
  auto since = std::max(listWantedAt_, originHealth_.GetRanksSince());
  return clock_.Now() - since >= GetListDelay(query, aVersion);
}

PickQuery
PieceExchange::MakeQuery(const FetchTask& aTask)
{
  const auto& list = store_.GetList();
  PickQuery query;
  query.missing = store_.GetMissing();
  std::ranges::for_each(
    inFlight_, [&query](std::uint32_t aPiece) { query.missing.erase(aPiece); });
  query.activeDownloads = downloads_;
  query.elapsed = clock_.Now() - startedAt_;
  query.originElapsed =
    clock_.Now() - std::max(startedAt_, originHealth_.GetRanksSince());
  query.originUsable = aTask.origin != nullptr && originHealth_.IsUsable();
  AddSides(aTask, query);
  bool isProber = IsOriginProber(query, list.version);
  originHealth_.SetProber(isProber);
  query.probesOrigin = isProber && !originHealth_.IsAnswering();
  auto sides =
    std::accumulate(query.sides.begin(),
                    query.sides.end(),
                    std::uint64_t{ 0 },
                    [](std::uint64_t aSum, const PieceHolder& aSide) {
                      return aSum ^ aSide.hash;
                    });
  auto pieces = list.digests.size();
  if (ranks_.size() != pieces || rankedSidesHash_ != sides) {
    ranks_ = RankPieces(query, static_cast<std::uint32_t>(pieces));
    rankedSidesHash_ = sides;
  }
  query.ranks = ranks_;
  AddRemoteTimes(query);
  return query;
}

void
PieceExchange::AddRemoteTimes(PickQuery& aQuery)
{
  auto now = clock_.Now();
  remoteSince_.resize(store_.GetList().digests.size());
  aQuery.remoteElapsed.resize(remoteSince_.size());
  for (auto piece : aQuery.missing) {
    auto& since = remoteSince_[piece];
    if (!since && IsHeld(aQuery, piece, false)) {
      since = now;
    }
    aQuery.remoteElapsed[piece] = since ? now - *since : Millis(0);
  }
}

// Fills in this side and all other sides that are alive.
void
PieceExchange::AddSides(const FetchTask& aTask, PickQuery& aQuery) const
{
  auto row = aTask.origin != nullptr
               ? settings_.regions.find(aTask.origin->originDataCentre)
               : settings_.regions.end();
  auto originRegion =
    row == settings_.regions.end() ? std::string() : row->second;
  const auto& list = store_.GetList();
  auto now = clock_.Now();
  aQuery.ownVm = settings_.vm;
  aQuery.ownHash = utils::StableHash(settings_.vm);
  aQuery.isInOriginRegion = settings_.region == originRegion;
  aQuery.isNew = aTask.isNew;
  peers_.Visit(PeerRole::Side, [&](const Peer& aPeer) {
    if (!aPeer.IsAlive(now)) {
      return;
    }
    PieceHolder side;
    side.vm = aPeer.vm;
    side.hash = utils::StableHash(aPeer.vm);
    side.isInLocalRegion = aPeer.region == settings_.region;
    side.isInOriginRegion = aPeer.region == originRegion;
    auto announcement = announcements_.find(aPeer.vm);
    if (announcement != announcements_.end() &&
        announcement->second.model == list.model &&
        announcement->second.version == list.version) {
      side.pieces = announcement->second.pieces;
      side.isBusy = now < announcement->second.busyUntil;
    }
    aQuery.sides.push_back(std::move(side));
  });
}

std::optional<std::string>
PieceExchange::FetchFromOrigin(const PieceChoice& aChoice,
                               const FetchTask& aTask,
                               utils::Error& aReason)
{
  static auto& sFromOrigin =
    telemetry::Metrics::Get().GetCounter("fleet_pieces_from_origin_total");
  sFromOrigin.Add();
  const auto& list = store_.GetList();
  auto bytes = origin_.GetPiece(*aTask.origin->origin,
                                list.model,
                                list.version,
                                aChoice.piece,
                                aTask.maxPieceBytes,
                                aReason);
  originHealth_.RecordResult(bytes.has_value(), aReason);
  return bytes;
}

std::optional<std::string>
PieceExchange::FetchFrom(const PieceChoice& aChoice,
                         const FetchTask& aTask,
                         utils::Error& aReason)
{
  const auto& list = store_.GetList();
  if (aChoice.vm.empty()) {
    return FetchFromOrigin(aChoice, aTask, aReason);
  }
  auto& row = announcements_[aChoice.vm];
  net::HttpRequest request;
  request.target = kPiecePath + list.digests[aChoice.piece].ToHex() + "?" +
                   kRegionQuery + "=" + settings_.region;
  net::CallOptions options;
  options.maxBodyBytes = aTask.maxPieceBytes;
  auto response =
    client_.Call(row.peer.endpoint,
                 request,
                 { kConnectTimeout, kPieceHeadTimeout, kPieceTimeout },
                 aReason,
                 options);
  if (response && response->status == kOk) {
    return std::move(response->body);
  }
  auto& current = announcements_[aChoice.vm];
  current.busyUntil = clock_.Now() + kBusyPause;
  if (response && response->status == kServiceUnavailable) {
    aReason.Set(utils::ErrorKind::Overloaded,
                "the side has no free upload slot");
  } else {
    // Its pieces are ignored until its next notice.
    current.pieces.clear();
    if (response) {
      aReason.Set(utils::ErrorKind::NotFound,
                  "the side does not have the piece");
    }
  }
  return std::nullopt;
}

void
PieceExchange::RecordSource(const PieceChoice& aChoice)
{
  auto row = announcements_.find(aChoice.vm);
  bool isInLocalRegion =
    row != announcements_.end() && row->second.peer.region == settings_.region;
  auto& source = aChoice.vm.empty() ? sources_.origin
                 : isInLocalRegion  ? sources_.ownRegion
                                    : sources_.otherRegions;
  ++source.pieces;
  source.lastElapsed = clock_.Now() - startedAt_;
}

bool
PieceExchange::FetchPiece(const PieceChoice& aChoice, const FetchTask& aTask)
{
  auto version = store_.GetList().version;
  utils::Error reason;
  auto bytes = FetchFrom(aChoice, aTask, reason);
  // Another version may be wanted by now, with other bytes under this number.
  if (bytes && store_.GetList().version == version &&
      store_.Put(aChoice.piece, *bytes, reason)) {
    change_.isChanged = true;
    change_.isFromOrigin = change_.isFromOrigin || aChoice.vm.empty();
    RecordSource(aChoice);
    return true;
  }
  bool isExpected = reason.kind == utils::ErrorKind::Overloaded ||
                    (aChoice.vm.empty() && !originHealth_.IsAnswering());
  if (reason.IsSet() && !isExpected) {
    logger_.Report(
      reason,
      { { "piece", std::to_string(aChoice.piece) },
        { "source", aChoice.vm.empty() ? "origin" : aChoice.vm } });
  }
  return false;
}

void
PieceExchange::FetchLoop(const FetchTask& aTask)
{
  while (aTask.isWanted() && !store_.GetMissing().empty()) {
    auto choice = PickPiece(MakeQuery(aTask));
    if (!choice) {
      net::Runtime::Sleep(kPickInterval);
      continue;
    }
    inFlight_.insert(choice->piece);
    ++downloads_[choice->vm];
    bool fetched = FetchPiece(*choice, aTask);
    --downloads_[choice->vm];
    inFlight_.erase(choice->piece);
    if (!fetched) {
      net::Runtime::Sleep(kPickInterval);
    }
  }
  --fetchers_;
  fetchersDone_.notify_all();
}

bool
PieceExchange::FetchMissing(const FetchTask& aTask)
{
  startedAt_ = clock_.Now();
  remoteSince_.clear();
  sources_ = {};
  while (fetchers_ < kFetchers) {
    ++fetchers_;
    net::Runtime::SpawnHere([this, &aTask] { FetchLoop(aTask); });
  }
  std::unique_lock lock(mutex_);
  fetchersDone_.wait(lock, [this] { return fetchers_ == 0; });
  return store_.GetMissing().empty();
}

} // namespace waxwingyoke::fleet
