#ifndef waxwingyoke_requests_ClaimFold_h
#define waxwingyoke_requests_ClaimFold_h

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include <schema/log.pb.h>
#include <schema/requests.pb.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/** Number of log streams; the hash of a key selects its claims' stream. */
inline constexpr std::uint32_t kClaimStreamCount = 16;

/** Name of the stream with that number, from 0. */
std::string
GetClaimStreamName(std::uint32_t aNumber);

/** Name of the stream that holds the key's claims. */
std::string
GetClaimStream(const std::string& aOrganisation, const std::string& aKey);

/** The issue time that a key begins with; empty if it has none. */
std::optional<utils::Millis>
ParseIssueTime(std::string_view aKey);

/**
 * State built from the claims of one log stream, applied in log order. The
 * first claim of a key is in force until a claim for the same request replaces
 * its attempt. The same records give the same state on every entry. Not
 * thread-safe.
 */
class ClaimFold
{
public:
  /** aMaxRows: keys held at most; the oldest are evicted first. */
  explicit ClaimFold(std::size_t aMaxRows = 65536);

  /** Applies the record at aOffset; a record applied before is ignored. */
  void Apply(std::uint64_t aOffset, const schema::LogRecord& aRecord);

  /**
   * Discards all rows because the log no longer has the records before aOffset.
   * From then on covers only keys issued after the first remaining record, or
   * after aNow until one is applied.
   */
  void RestartAt(std::uint64_t aOffset, utils::Millis aNow);

  /** Removes keys issued before aOldest, which are no longer accepted. */
  void Expire(utils::Millis aOldest);

  /** The claim in force for the key; null if there is none. */
  const schema::Claim* Find(const std::string& aOrganisation,
                            const std::string& aKey) const;

  /** The verdict on an appended claim, and the claim in force for its key. */
  schema::ClaimReply Evaluate(const schema::Claim& aClaim) const;

  /** Whether the fold holds every claim of keys issued at aIssued. */
  bool Covers(utils::Millis aIssued) const;

  std::uint64_t GetNextOffset() const { return nextOffset_; }
  std::size_t GetRowCount() const { return rows_.size(); }

private:
  void ApplyClaim(const schema::Claim& aClaim);
  void EvictOldest();

  std::size_t maxRows_;
  std::uint64_t nextOffset_ = 0;
  std::unordered_map<std::string, schema::Claim> rows_;
  /** Row keys in the order of their first claims. */
  std::deque<std::string> claimOrder_;
  /** Claims of keys issued up to this time may be missing from the fold. */
  std::optional<utils::Millis> uncoveredUntil_;
  /** The append time of the next batch sets uncoveredUntil_. */
  bool awaitsFirstBatch_ = false;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_ClaimFold_h
