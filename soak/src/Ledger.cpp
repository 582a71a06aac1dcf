#include "Ledger.h"

#include <algorithm>
#include <array>

#include <Deployment.h>
#include <StandIn.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

constexpr int kOk = 200;
constexpr std::array<int, 4> kPromises{ 408, 421, 429, 503 };
constexpr std::array<int, 3> kDenials{ 401, 403, 404 };
// A fault's effects on connections outlast it for about this long.
constexpr Millis kAftermath(1500);

bool
IsAmong(const auto& aList, int aStatus)
{
  return std::ranges::find(aList, aStatus) != aList.end();
}

} // namespace

const char*
GetPath(RouteKind aKind)
{
  constexpr std::array<const char*, 3> kPaths{ "/stream/", "/once/", "/safe/" };
  return kPaths[static_cast<std::size_t>(aKind)];
}

void
Ledger::AddViolation(const std::string& aText)
{
  violations_.push_back(aText);
}

void
Ledger::NoteRevoked(const std::string& aKey, Millis aNow)
{
  revokedAt_.try_emplace(aKey, aNow);
}

void
Ledger::NoteStop(std::size_t aEntry, Millis aNow)
{
  stops_.push_back({ aEntry, aNow });
}

void
Ledger::Note(const Attempt& aAttempt)
{
  attempts_.push_back(aAttempt);
  CheckWhole(aAttempt);
}

void
Ledger::CheckWhole(const Attempt& aAttempt)
{
  if (aAttempt.status != kOk) {
    return;
  }
  bool isStream = aAttempt.route == RouteKind::Stream;
  bool isWhole = isStream
                   ? aAttempt.body == adapter::UpstreamStandIn::MakeEvents()
                   : aAttempt.body == "by org";
  if (!isWhole) {
    AddViolation("not the whole answer to " + aAttempt.id + ": " +
                 aAttempt.body);
  }
}

// A key that is taken away binds from its bound on, cut off or not.
void
Ledger::CheckRevoked(const Attempt& aAttempt)
{
  auto revoked = revokedAt_.find(aAttempt.key);
  bool isLate = revoked != revokedAt_.end() &&
                aAttempt.sentAt > revoked->second + Millis(adapter::kRevokeMs);
  if (isLate && countRuns_(aAttempt.id) > 0) {
    AddViolation("ran with a revoked key: " + aAttempt.id);
  }
}

bool
Ledger::IsDisturbed(Millis aFrom, Millis aTo) const
{
  return std::ranges::any_of(faults_, [&](const Moment& aFault) {
    return aFault.begin <= aTo && aFault.end + kAftermath >= aFrom;
  });
}

// A request that was running when its entry was told to stop is finished.
void
Ledger::CheckStop(const Attempt& aAttempt)
{
  bool isAcross = std::ranges::any_of(stops_, [&](const Stop& aStop) {
    return aStop.entry == aAttempt.entry && aAttempt.sentAt < aStop.at &&
           aAttempt.endedAt > aStop.at;
  });
  if (isAcross && aAttempt.status == 0 &&
      !IsDisturbed(aAttempt.sentAt, aAttempt.endedAt) &&
      countRuns_(aAttempt.id) > 0) {
    AddViolation("cut by a stop: " + aAttempt.id);
  }
}

void
Ledger::Close()
{
  for (const auto& attempt : attempts_) {
    auto runs = countRuns_(attempt.id);
    if (attempt.route == RouteKind::Once && runs > 1) {
      AddViolation("ran " + std::to_string(runs) + " times: " + attempt.id);
    }
    if (IsAmong(kPromises, attempt.status) && runs > 0) {
      AddViolation("refused as not run, and ran: " + attempt.id);
    }
    bool isKnownKey = !revokedAt_.contains(attempt.key);
    if (IsAmong(kDenials, attempt.status) && isKnownKey) {
      AddViolation("denied though allowed: " + attempt.id + " " +
                   std::to_string(attempt.status));
    }
    CheckRevoked(attempt);
    CheckStop(attempt);
  }
}

int
Ledger::Count(int aStatus) const
{
  return static_cast<int>(
    std::ranges::count(attempts_, aStatus, &Attempt::status));
}

} // namespace waxwingyoke::soak
