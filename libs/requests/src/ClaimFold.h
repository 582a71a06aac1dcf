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

/** Streams that claims are spread over by the hash of their key. */
inline constexpr std::uint32_t kClaimStreams = 16;

std::string
GetClaimStreamName(std::uint32_t aNumber);

/** The stream of a key. */
std::string
GetClaimStream(const std::string& aOrganisation, const std::string& aKey);

/** The time of issue that a key carries; empty where it carries none. */
std::optional<utils::Millis>
ParseIssued(std::string_view aKey);

/**
 * The claims of one stream in log order: the first for a key is in force,
 * until one of the same request replaces its attempt. The same records give
 * the same state on every entry.
 */
class ClaimFold
{
public:
  explicit ClaimFold(std::size_t aMaxRows = 65536);

  /** Folds the record at aOffset; what was folded already does nothing. */
  void Apply(std::uint64_t aOffset, const schema::LogRecord& aRecord);

  /**
   * The log no longer has the records before aOffset: forgets everything
   * and trusts only keys issued after the first record that is left, or
   * after aNow where none is.
   */
  void RestartAt(std::uint64_t aOffset, utils::Millis aNow);

  /** Drops keys issued before aOldest, which nobody may use any more. */
  void Expire(utils::Millis aOldest);

  /** Null where the key was not claimed. */
  const schema::Claim* Find(const std::string& aOrganisation,
                            const std::string& aKey) const;

  /** What the fold says of a claim that was appended. */
  schema::ClaimReply Judge(const schema::Claim& aClaim) const;

  /** Whether all claims of keys issued then are in the fold. */
  bool Covers(utils::Millis aIssued) const;

  std::uint64_t GetNextOffset() const { return nextOffset_; }
  std::size_t GetRows() const { return rows_.size(); }

private:
  void ApplyClaim(const schema::Claim& aClaim);
  void DropOldest();

  std::size_t maxRows_;
  std::uint64_t nextOffset_ = 0;
  std::unordered_map<std::string, schema::Claim> rows_;
  /** Keys of rows in the order of their first claims. */
  std::deque<std::string> order_;
  /** Keys issued up to then may have claims that are not here. */
  std::optional<utils::Millis> uncoveredUntil_;
  /** The next record's time bounds what is covered. */
  bool awaitsFirst_ = false;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_ClaimFold_h
