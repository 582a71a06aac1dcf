#include "SuspectRegistry.h"

#include <algorithm>
#include <memory>

namespace waxwingyoke::requests {

namespace {

constexpr utils::Millis kSuspectTtl(10 * 60 * 1000);
// Covers the time until this entry has applied the quarantine record.
constexpr utils::Millis kConvictedTtl(30 * 1000);
constexpr std::size_t kMaxRows = 4096;

} // namespace

Suspicion
SuspectRegistry::Find(const std::string& aDigest, utils::Millis aNow) const
{
  auto rows = rows_.Get();
  auto row = rows->find(aDigest);
  if (row == rows->end() || row->second.until < aNow) {
    return Suspicion::None;
  }
  return row->second.suspicion;
}

void
SuspectRegistry::RecordStrike(const std::string& aDigest,
                              schema::Strike aStrike,
                              utils::Millis aNow)
{
  if (aStrike == schema::NO_STRIKE) {
    return;
  }
  std::scoped_lock lock(writeMutex_);
  auto rows = std::make_shared<Rows>(*rows_.Get());
  std::erase_if(*rows,
                [aNow](const auto& aRow) { return aRow.second.until < aNow; });
  if (rows->size() >= kMaxRows) {
    rows->erase(rows->begin());
  }
  auto& row = (*rows)[aDigest];
  bool isConviction = aStrike == schema::CONVICTED;
  if (isConviction || row.suspicion != Suspicion::Convicted) {
    row.suspicion = isConviction ? Suspicion::Convicted : Suspicion::Suspect;
    row.until = aNow + (isConviction ? kConvictedTtl : kSuspectTtl);
  }
  rows_.Set(std::move(rows));
}

void
SuspectRegistry::Clear(const std::string& aDigest)
{
  std::scoped_lock lock(writeMutex_);
  auto rows = std::make_shared<Rows>(*rows_.Get());
  if (rows->erase(aDigest) > 0) {
    rows_.Set(std::move(rows));
  }
}

} // namespace waxwingyoke::requests
