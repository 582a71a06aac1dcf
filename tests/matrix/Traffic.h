#ifndef waxwingyoke_matrix_Traffic_h
#define waxwingyoke_matrix_Traffic_h

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <bed/Bed.h>
#include <bed/Caller.h>

namespace waxwingyoke::matrix {

inline constexpr const char* kModelProfile = "summaries";
inline constexpr const char* kServiceProfile = "csapregiszter";

/** What callers ask for. */
enum class CallKind
{
  Idempotent,
  Keyed,
  Unkeyed,
  Streaming
};

/** One request, with the answers to it and to its repeats under one key. */
struct CallRecord
{
  CallKind kind = CallKind::Idempotent;
  /** By which upstreams count its runs. */
  std::string id;
  std::vector<bed::CallerAnswer> answers;
};

/**
 * Callers that go on asking, and all that they were told. They come through
 * a balancer: it asks every entry's /readyz and uses those that are ready.
 */
class Traffic
{
public:
  Traffic(bed::Bed& aBed, std::uint64_t aSeed);

  /** Starts aCallers fibers for each kind. */
  void Start(const std::vector<CallKind>& aKinds, std::size_t aCallers);

  /** Lets the callers finish what they have and waits for them. */
  void Stop();

  /** One call now, by the calling fiber; it is recorded as well. */
  const CallRecord& CallOnce(CallKind aKind);

  /** The same through one entry. */
  const CallRecord& CallOnceAt(CallKind aKind, const net::Endpoint& aEntry);

  const std::vector<std::unique_ptr<CallRecord>>& GetRecords() const
  {
    return records_;
  }

private:
  void Loop(CallKind aKind);
  void Balance();
  CallRecord& AddRecord(CallKind aKind);
  bed::CallerAnswer Send(const CallRecord& aRecord,
                         const std::string& aKey,
                         const net::Endpoint& aEntry);
  net::Endpoint PickEntry();
  bool IsReady(const bed::BedNode& aEntry);

  bed::Bed& bed_;
  std::uint64_t seed_;
  std::mt19937_64 random_;
  std::uint64_t next_ = 0;
  std::size_t active_ = 0;
  bool stopping_ = false;
  std::vector<net::Endpoint> ready_;
  std::vector<std::unique_ptr<CallRecord>> records_;
};

/** Tokens of each streamed answer. */
inline constexpr std::size_t kStreamTokens = 20;

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Traffic_h
