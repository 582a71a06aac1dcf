#include "ClaimFold.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::requests {

namespace {

using utils::Millis;

// Maximum difference between the clocks of callers and entries.
constexpr Millis kMaxClockSkew(60 * 1000);

std::string
MakeRowKey(const std::string& aOrganisation, const std::string& aKey)
{
  // The length prefix keeps pairs distinct whose concatenation is the same.
  return std::to_string(aOrganisation.size()) + ":" + aOrganisation + aKey;
}

} // namespace

std::string
GetClaimStreamName(std::uint32_t aNumber)
{
  constexpr std::uint32_t kFirstTwoDigitNumber = 10;
  return std::string("claims-") + (aNumber < kFirstTwoDigitNumber ? "0" : "") +
         std::to_string(aNumber);
}

std::string
GetClaimStream(const std::string& aOrganisation, const std::string& aKey)
{
  auto hash = utils::StableHash(MakeRowKey(aOrganisation, aKey));
  return GetClaimStreamName(
    static_cast<std::uint32_t>(hash % kClaimStreamCount));
}

std::optional<Millis>
ParseIssueTime(std::string_view aKey)
{
  auto digits = aKey.substr(0, aKey.find('-'));
  std::int64_t issued = 0;
  const char* end = digits.data() + digits.size();
  auto result = std::from_chars(digits.data(), end, issued);
  if (result.ec != std::errc() || result.ptr != end || issued < 0) {
    return std::nullopt;
  }
  return Millis(issued);
}

ClaimFold::ClaimFold(std::size_t aMaxRows)
  : maxRows_(aMaxRows)
{
}

void
ClaimFold::Apply(std::uint64_t aOffset, const schema::LogRecord& aRecord)
{
  if (aOffset < nextOffset_) {
    return;
  }
  nextOffset_ = aOffset + 1;
  if (!aRecord.has_claim_batch()) {
    return;
  }
  const auto& batch = aRecord.claim_batch();
  if (awaitsFirstBatch_) {
    uncoveredUntil_ = Millis(batch.appended_ms()) + kMaxClockSkew;
    awaitsFirstBatch_ = false;
  }
  std::ranges::for_each(batch.claims(), [this](const schema::Claim& aClaim) {
    ApplyClaim(aClaim);
  });
}

void
ClaimFold::ApplyClaim(const schema::Claim& aClaim)
{
  auto key = MakeRowKey(aClaim.organisation(), aClaim.key());
  auto [row, isNew] = rows_.try_emplace(key, aClaim);
  if (isNew) {
    claimOrder_.push_back(std::move(key));
    EvictOldest();
    return;
  }
  auto& current = row->second;
  bool replaces = !aClaim.replaces_attempt().empty() &&
                  aClaim.replaces_attempt() == current.attempt() &&
                  aClaim.request_digest() == current.request_digest();
  if (replaces) {
    current = aClaim;
  }
}

void
ClaimFold::EvictOldest()
{
  while (claimOrder_.size() > maxRows_) {
    auto row = rows_.find(claimOrder_.front());
    auto issued = ParseIssueTime(row->second.key()).value_or(Millis(0));
    uncoveredUntil_ = std::max(uncoveredUntil_.value_or(issued), issued);
    rows_.erase(row);
    claimOrder_.pop_front();
  }
}

void
ClaimFold::RestartAt(std::uint64_t aOffset, Millis aNow)
{
  rows_.clear();
  claimOrder_.clear();
  nextOffset_ = aOffset;
  uncoveredUntil_ = aNow + kMaxClockSkew;
  awaitsFirstBatch_ = true;
}

void
ClaimFold::Expire(Millis aOldest)
{
  while (!claimOrder_.empty()) {
    auto row = rows_.find(claimOrder_.front());
    if (ParseIssueTime(row->second.key()).value_or(Millis(0)) >= aOldest) {
      return;
    }
    rows_.erase(row);
    claimOrder_.pop_front();
  }
}

const schema::Claim*
ClaimFold::Find(const std::string& aOrganisation, const std::string& aKey) const
{
  auto row = rows_.find(MakeRowKey(aOrganisation, aKey));
  return row == rows_.end() ? nullptr : &row->second;
}

schema::ClaimReply
ClaimFold::Evaluate(const schema::Claim& aClaim) const
{
  schema::ClaimReply reply;
  const auto* current = Find(aClaim.organisation(), aClaim.key());
  if (!current) {
    reply.set_verdict(schema::UNCLAIMED);
    return reply;
  }
  *reply.mutable_claim() = *current;
  if (current->request_digest() != aClaim.request_digest()) {
    reply.set_verdict(schema::OTHER_BODY);
  } else if (current->attempt() == aClaim.attempt()) {
    reply.set_verdict(schema::GRANTED);
  } else {
    reply.set_verdict(schema::REPEAT);
  }
  return reply;
}

bool
ClaimFold::Covers(Millis aIssued) const
{
  return !uncoveredUntil_ || aIssued > *uncoveredUntil_;
}

} // namespace waxwingyoke::requests
