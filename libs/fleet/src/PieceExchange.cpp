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
constexpr int kBusy = 503;
constexpr const char* kPiecePath = "/fleet/pieces/";
constexpr const char* kListPath = "/fleet/lists/";
constexpr std::size_t kBitsPerByte = 8;
// Enough to fill a side's link while one answer is on its way.
constexpr int kFetchers = 4;
// Uploads share the paced link; more at a time only make each slower. Those to
// other regions have places of their own: a whole region waits for each.
constexpr int kMaxNearUploads = 2;
constexpr int kMaxFarUploads = 2;
// Of the VM's link, for pieces: the rest is for the upstream's events.
constexpr double kOwnLinkShare = 0.9;
// Links between regions are shared by all sides and by live answers, and no
// setting says what they carry.
constexpr double kFarLinkShare = 0.5;
// What may stand before an event on the link at a time: some ms.
constexpr std::size_t kPartBytes = 8 * 1024;
constexpr const char* kRegionQuery = "region";
// About the time that an upload takes.
constexpr Millis kBusyPause(40);
constexpr Millis kPickInterval(25);
constexpr Millis kConnectTimeout(500);
// A side that runs begins to answer after one read from its upstream; one that
// is frozen must not hold up what others have.
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
  , ownLink_(Scale(aSettings.linkBytesPerSecond, kOwnLinkShare))
  , farLink_(Scale(aSettings.linkBytesPerSecond, kFarLinkShare))
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
PieceExchange::TakeNotice(const Peer& aFrom, const schema::SideNotice& aNotice)
{
  auto& row = announcements_[aFrom.vm];
  if (row.peer.endpoint != aFrom.endpoint) {
    row.peer = aFrom;
  }
  auto pieces = ReadBits(aNotice.staged_pieces());
  const auto& list = store_.GetList();
  bool isWanted = aNotice.staged_model() == list.model &&
                  aNotice.staged_version() == list.version;
  // Else all would find out by themselves, up to a pause later.
  if (!originHealth_.IsAnswering() && isWanted && IsNewToAll(pieces)) {
    originHealth_.NoteReturn();
  }
  row.model = aNotice.staged_model();
  row.version = aNotice.staged_version();
  // Those who fetch look at it with their next step: notices of many sides
  // come in quick succession, and a choice is dear.
  row.pieces = std::move(pieces);
}

// Whether a piece is among them that no side was known to have: it can only
// come from the origin.
bool
PieceExchange::IsNewToAll(const std::vector<bool>& aPieces) const
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
    const auto& said = aRow.second;
    return said.model == list.model && said.version == list.version &&
           HasBit(said.pieces, aPiece);
  });
}

bool
PieceExchange::IsRestHeld() const
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
  bool isFar = region != settings_.region;
  auto& uploads = isFar ? farUploads_ : nearUploads_;
  if (uploads >= (isFar ? kMaxFarUploads : kMaxNearUploads)) {
    SendStatus(aWriter, kBusy);
    return;
  }
  ++uploads;
  auto bytes = store_.Get(*digest);
  if (bytes) {
    sSent.Add();
    SendPaced(*bytes, isFar, aWriter);
  } else {
    SendStatus(aWriter, kNotFound);
  }
  --uploads;
}

// A part at a time, so that the upstream's events wait behind one part at most.
bool
PieceExchange::SendPaced(const std::string& aBytes,
                         bool aIsFar,
                         net::ResponseWriter& aWriter)
{
  bool sent =
    aWriter.Start(kOk, { { "Content-Type", "application/octet-stream" } });
  std::string_view rest = aBytes;
  while (sent && !rest.empty()) {
    auto part = rest.substr(0, kPartBytes);
    if (aIsFar) {
      farLink_.Wait(part.size());
    }
    ownLink_.Wait(part.size());
    sent = aWriter.Write(part);
    rest.remove_prefix(part.size());
  }
  return sent && aWriter.Finish();
}

// The size of a piece, then one line a digest.
void
PieceExchange::ServeList(const net::HttpRequest& aRequest,
                         net::ResponseWriter& aWriter)
{
  const auto& list = store_.GetList();
  auto held =
    std::string(kListPath) + list.model + "/" + std::to_string(list.version);
  if (list.digests.empty() || net::GetPath(aRequest.target) != held) {
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
  auto response = client_.Call(aPeer.endpoint,
                               request,
                               { kConnectTimeout, kListTimeout, kListTimeout },
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

// Of a version that was named just now only the origin has a list.
std::optional<platform::PieceList>
PieceExchange::GetList(const FetchOrder& aOrder,
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
  // Each side begins with another one of them.
  std::ranges::sort(holders, [this](const Peer& aLeft, const Peer& aRight) {
    bool isLeftNear = aLeft.region == settings_.region;
    if (isLeftNear != (aRight.region == settings_.region)) {
      return isLeftNear;
    }
    auto own = utils::StableHash(settings_.vm);
    return utils::StableHash(aLeft.vm, own) < utils::StableHash(aRight.vm, own);
  });
  for (const auto& peer : holders) {
    auto list = AskPeerForList(peer, aModel, aVersion);
    if (list) {
      return list;
    }
  }
  if (aOrder.origin == nullptr) {
    aReason.Set(utils::ErrorKind::StoreUnavailable, "no origin is known");
    return std::nullopt;
  }
  if (!originHealth_.IsUsable() || !IsListTurn(aOrder, aVersion)) {
    return std::nullopt;
  }
  auto list =
    origin_.GetPieceList(*aOrder.origin->origin, aModel, aVersion, aReason);
  originHealth_.Note(list.has_value(), aReason);
  change_.isFromOrigin = change_.isFromOrigin || list;
  return list;
}

bool
PieceExchange::IsListTurn(const FetchOrder& aOrder, std::uint64_t aVersion)
{
  if (listVersion_ != aVersion) {
    listVersion_ = aVersion;
    listWantedAt_ = clock_.Now();
  }
  PickQuery query;
  AddSides(aOrder, query);
  // All whose turn had come while the origin was away would ask at its return.
  auto since = std::max(listWantedAt_, originHealth_.GetFailedAt());
  return clock_.Now() - since >= GetListTurn(query, aVersion);
}

PickQuery
PieceExchange::MakeQuery(const FetchOrder& aOrder)
{
  const auto& list = store_.GetList();
  PickQuery query;
  query.missing = store_.GetMissing();
  std::ranges::for_each(
    onTheWay_, [&query](std::uint32_t aPiece) { query.missing.erase(aPiece); });
  query.running = downloads_;
  query.elapsed = clock_.Now() - begunAt_;
  query.originElapsed =
    clock_.Now() - std::max(begunAt_, originHealth_.GetFailedAt());
  query.originUsable = aOrder.origin != nullptr && originHealth_.IsUsable();
  AddSides(aOrder, query);
  auto sides =
    std::accumulate(query.sides.begin(),
                    query.sides.end(),
                    std::uint64_t{ 0 },
                    [](std::uint64_t aSum, const PieceHolder& aSide) {
                      return aSum ^ aSide.hash;
                    });
  auto pieces = list.digests.size();
  if (ranks_.size() != pieces || rankedSides_ != sides) {
    ranks_ = RankPieces(query, static_cast<std::uint32_t>(pieces));
    rankedSides_ = sides;
  }
  query.ranks = ranks_;
  AddFarTimes(query);
  return query;
}

void
PieceExchange::AddFarTimes(PickQuery& aQuery)
{
  auto now = clock_.Now();
  farSince_.resize(store_.GetList().digests.size());
  aQuery.farElapsed.resize(farSince_.size());
  for (auto piece : aQuery.missing) {
    auto& since = farSince_[piece];
    if (!since && IsHeld(aQuery, piece, false)) {
      since = now;
    }
    aQuery.farElapsed[piece] = since ? now - *since : Millis(0);
  }
}

// This side and the others that can be counted on.
void
PieceExchange::AddSides(const FetchOrder& aOrder, PickQuery& aQuery) const
{
  auto row = aOrder.origin != nullptr
               ? settings_.regions.find(aOrder.origin->originDataCentre)
               : settings_.regions.end();
  auto originRegion =
    row == settings_.regions.end() ? std::string() : row->second;
  const auto& list = store_.GetList();
  auto now = clock_.Now();
  aQuery.ownVm = settings_.vm;
  aQuery.ownHash = utils::StableHash(settings_.vm);
  aQuery.isNearOrigin = settings_.region == originRegion;
  aQuery.isNew = aOrder.isNew;
  peers_.Visit(PeerRole::Side, [&](const Peer& aPeer) {
    if (!aPeer.IsAlive(now)) {
      return;
    }
    PieceHolder side;
    side.vm = aPeer.vm;
    side.hash = utils::StableHash(aPeer.vm);
    side.isNear = aPeer.region == settings_.region;
    side.isNearOrigin = aPeer.region == originRegion;
    auto said = announcements_.find(aPeer.vm);
    if (said != announcements_.end() && said->second.model == list.model &&
        said->second.version == list.version) {
      side.pieces = said->second.pieces;
      side.isBusy = now < said->second.busyUntil;
    }
    aQuery.sides.push_back(std::move(side));
  });
}

std::optional<std::string>
PieceExchange::FetchFromOrigin(const PieceChoice& aChoice,
                               const FetchOrder& aOrder,
                               utils::Error& aReason)
{
  static auto& sFromOrigin =
    telemetry::Metrics::Get().GetCounter("fleet_pieces_from_origin_total");
  sFromOrigin.Add();
  const auto& list = store_.GetList();
  auto bytes = origin_.GetPiece(
    *aOrder.origin->origin, list.model, list.version, aChoice.piece, aReason);
  originHealth_.Note(bytes.has_value(), aReason);
  return bytes;
}

std::optional<std::string>
PieceExchange::FetchFrom(const PieceChoice& aChoice,
                         const FetchOrder& aOrder,
                         utils::Error& aReason)
{
  const auto& list = store_.GetList();
  if (aChoice.vm.empty()) {
    return FetchFromOrigin(aChoice, aOrder, aReason);
  }
  auto& row = announcements_[aChoice.vm];
  net::HttpRequest request;
  request.target = kPiecePath + list.digests[aChoice.piece].ToHex() + "?" +
                   kRegionQuery + "=" + settings_.region;
  auto response =
    client_.Call(row.peer.endpoint,
                 request,
                 { kConnectTimeout, kPieceHeadTimeout, kPieceTimeout },
                 aReason);
  if (response && response->status == kOk) {
    return std::move(response->body);
  }
  auto& after = announcements_[aChoice.vm];
  after.busyUntil = clock_.Now() + kBusyPause;
  if (response && response->status == kBusy) {
    aReason.Set(utils::ErrorKind::Overloaded, "the side has no room");
  } else {
    // Until its next notice it has nothing that counts.
    after.pieces.clear();
    if (response) {
      aReason.Set(utils::ErrorKind::NotFound, "the side does not have it");
    }
  }
  return std::nullopt;
}

void
PieceExchange::NoteSource(const PieceChoice& aChoice)
{
  auto row = announcements_.find(aChoice.vm);
  bool isNear =
    row != announcements_.end() && row->second.peer.region == settings_.region;
  auto& source = aChoice.vm.empty() ? sources_.origin
                 : isNear           ? sources_.ownRegion
                                    : sources_.otherRegions;
  ++source.pieces;
  source.lastAfter = clock_.Now() - begunAt_;
}

bool
PieceExchange::FetchOne(const PieceChoice& aChoice, const FetchOrder& aOrder)
{
  auto version = store_.GetList().version;
  utils::Error reason;
  auto bytes = FetchFrom(aChoice, aOrder, reason);
  // Another version may be wanted by now, with other pieces in that place.
  if (bytes && store_.GetList().version == version &&
      store_.Put(aChoice.piece, *bytes, reason)) {
    change_.isAny = true;
    change_.isFromOrigin = change_.isFromOrigin || aChoice.vm.empty();
    NoteSource(aChoice);
    return true;
  }
  bool known = reason.kind == utils::ErrorKind::Overloaded ||
               (aChoice.vm.empty() && !originHealth_.IsAnswering());
  if (reason.IsSet() && !known) {
    logger_.Report(
      reason,
      { { "piece", std::to_string(aChoice.piece) },
        { "source", aChoice.vm.empty() ? "origin" : aChoice.vm } });
  }
  return false;
}

void
PieceExchange::FetchLoop(const FetchOrder& aOrder)
{
  while (aOrder.isWanted() && !store_.GetMissing().empty()) {
    auto choice = PickPiece(MakeQuery(aOrder));
    if (!choice) {
      net::Runtime::Sleep(kPickInterval);
      continue;
    }
    onTheWay_.insert(choice->piece);
    ++downloads_[choice->vm];
    bool fetched = FetchOne(*choice, aOrder);
    --downloads_[choice->vm];
    onTheWay_.erase(choice->piece);
    if (!fetched) {
      net::Runtime::Sleep(kPickInterval);
    }
  }
  --fetchers_;
  fetched_.notify_all();
}

bool
PieceExchange::FetchMissing(const FetchOrder& aOrder)
{
  begunAt_ = clock_.Now();
  farSince_.clear();
  sources_ = {};
  while (fetchers_ < kFetchers) {
    ++fetchers_;
    net::Runtime::SpawnHere([this, &aOrder] { FetchLoop(aOrder); });
  }
  std::unique_lock lock(mutex_);
  fetched_.wait(lock, [this] { return fetchers_ == 0; });
  return store_.GetMissing().empty();
}

} // namespace waxwingyoke::fleet
