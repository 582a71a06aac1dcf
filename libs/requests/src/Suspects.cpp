#include "Suspects.h"

#include <algorithm>
#include <memory>

namespace waxwingyoke::requests {

namespace {

constexpr utils::Millis kSuspectTime(10 * 60 * 1000);
// Bridges the time until the quarantine's record is in force here.
constexpr utils::Millis kConvictedTime(30 * 1000);
constexpr std::size_t kMaxRows = 4096;

} // namespace

Suspicion
Suspects::Find(const std::string& aDigest, utils::Millis aNow) const
{
  auto rows = rows_.Get();
  auto row = rows->find(aDigest);
  if (row == rows->end() || row->second.until < aNow) {
    return Suspicion::None;
  }
  return row->second.suspicion;
}

void
Suspects::Note(const std::string& aDigest,
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
  bool convicts = aStrike == schema::CONVICTED;
  if (convicts || row.suspicion != Suspicion::Convicted) {
    row.suspicion = convicts ? Suspicion::Convicted : Suspicion::Suspect;
    row.until = aNow + (convicts ? kConvictedTime : kSuspectTime);
  }
  rows_.Set(std::move(rows));
}

void
Suspects::Clear(const std::string& aDigest)
{
  std::scoped_lock lock(writeMutex_);
  auto rows = std::make_shared<Rows>(*rows_.Get());
  if (rows->erase(aDigest) > 0) {
    rows_.Set(std::move(rows));
  }
}

} // namespace waxwingyoke::requests
