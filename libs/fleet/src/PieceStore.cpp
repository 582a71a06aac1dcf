#include "PieceStore.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::fleet {

namespace {

bool
MayStillBeApplied(const utils::Error& aReason)
{
  return aReason.kind == utils::ErrorKind::TimedOut ||
         aReason.kind == utils::ErrorKind::ConnectionLost ||
         aReason.kind == utils::ErrorKind::AnswerBroken;
}

} // namespace

PieceStore::PieceStore(platform::LocalUpstream& aUpstream, utils::Clock aClock)
  : upstream_(aUpstream)
  , clock_(std::move(aClock))
{
}

// Pieces that were checked for the previous list stay valid under their
// digests. A restarted upstream may hold pieces that were never checked.
void
PieceStore::SetWantedList(const platform::PieceList& aList,
                          std::size_t aMaxPieceBytes)
{
  bool sameModel = list_.model == aList.model;
  list_ = aList;
  maxPieceBytes_ = aMaxPieceBytes;
  if (!sameModel) {
    staged_.clear();
  }
  utils::Error reason;
  auto numbers = upstream_.ListStaged(list_.model, reason)
                   .value_or(std::vector<std::uint32_t>());
  for (auto number : numbers) {
    if (number < list_.digests.size()) {
      VerifyPiece(number);
    }
  }
}

bool
PieceStore::VerifyPiece(std::uint32_t aPiece)
{
  utils::Error reason;
  auto begun = clock_.Now();
  auto bytes = upstream_.GetStaged(list_.model, aPiece, maxPieceBytes_, reason);
  if (!bytes) {
    staged_.erase(aPiece);
    return false;
  }
  auto digest = utils::Digest::Of(*bytes);
  staged_[aPiece] = { digest, begun };
  return digest == list_.digests[aPiece];
}

std::set<std::uint32_t>
PieceStore::GetMissing() const
{
  std::set<std::uint32_t> missing;
  for (std::uint32_t i = 0; i < list_.digests.size(); ++i) {
    auto row = staged_.find(i);
    if (row == staged_.end() || row->second.digest != list_.digests[i]) {
      missing.insert(i);
    }
  }
  return missing;
}

bool
PieceStore::Put(std::uint32_t aPiece,
                const std::string& aBytes,
                utils::Error& aReason)
{
  auto digest = utils::Digest::Of(aBytes);
  if (aPiece >= list_.digests.size() || digest != list_.digests[aPiece]) {
    aReason.Set(utils::ErrorKind::DigestMismatch,
                "piece " + std::to_string(aPiece));
    return false;
  }
  auto begun = clock_.Now();
  bool isStaged = upstream_.PutStaged(list_.model, aPiece, aBytes, aReason);
  lastWriteAt_ = clock_.Now();
  if (!isStaged) {
    hasOpenWrite_ = hasOpenWrite_ || MayStillBeApplied(aReason);
    return false;
  }
  staged_[aPiece] = { digest, begun };
  return true;
}

std::optional<std::string>
PieceStore::Get(const utils::Digest& aDigest)
{
  auto row = std::ranges::find_if(staged_, [&aDigest](const auto& aRow) {
    return aRow.second.digest == aDigest;
  });
  if (row == staged_.end()) {
    return std::nullopt;
  }
  auto piece = row->first;
  utils::Error reason;
  auto bytes = upstream_.GetStaged(list_.model, piece, maxPieceBytes_, reason);
  if (!bytes || utils::Digest::Of(*bytes) != aDigest) {
    staged_.erase(piece);
    return std::nullopt;
  }
  return bytes;
}

bool
PieceStore::HasDamaged() const
{
  return std::ranges::any_of(staged_, [this](const auto& aRow) {
    return aRow.first < list_.digests.size() &&
           aRow.second.digest != list_.digests[aRow.first];
  });
}

bool
PieceStore::IsWanted(const utils::Digest& aDigest) const
{
  return std::ranges::find(list_.digests, aDigest) != list_.digests.end();
}

void
PieceStore::Verify()
{
  for (std::uint32_t i = 0; i < list_.digests.size(); ++i) {
    VerifyPiece(i);
  }
}

utils::Millis
PieceStore::GetCheckAge() const
{
  auto now = clock_.Now();
  utils::Millis oldest;
  for (std::uint32_t i = 0; i < list_.digests.size(); ++i) {
    auto row = staged_.find(i);
    auto checkedAt =
      row == staged_.end() ? utils::Millis(0) : row->second.checkedAt;
    oldest = std::max(oldest, now - checkedAt);
  }
  return oldest;
}

} // namespace waxwingyoke::fleet
