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

/** Kinds of requests, which differ in whether a retry may run them again. */
enum class CallKind
{
  /** A GET of the service that its profile declares idempotent. */
  Idempotent,
  /** A POST to the service with an idempotency key. */
  Keyed,
  /** A POST to the service without a key. */
  Unkeyed,
  /** A streamed chat request. */
  Streaming
};

/** One request and the answers to it and to its retries. */
struct CallRecord
{
  CallKind kind = CallKind::Idempotent;
  /** The id by which upstreams count its runs. */
  std::string id;
  std::vector<bed::CallerAnswer> answers;
};

/**
 * Callers that send requests in a loop, and the record of all requests and
 * answers. Like a load balancer, it polls /readyz of every entry and sends
 * requests to the entries that are ready; to any of them if none is. All
 * fibers that use it must run in one thread.
 */
class Traffic
{
public:
  Traffic(bed::Bed& aBed, std::uint64_t aSeed);

  /** Starts aCallers fibers for each element of aKinds. */
  void Start(const std::vector<CallKind>& aKinds, std::size_t aCallers);

  /** Stops the callers and waits until their current requests end. */
  void Stop();

  /** Sends and records one request in the calling fiber; a keyed one is sent
   * twice. */
  const CallRecord& CallOnce(CallKind aKind);

  /** Sends and records one request to aEntry, once. */
  const CallRecord& CallOnceAt(CallKind aKind, const net::Endpoint& aEntry);

  const std::vector<std::unique_ptr<CallRecord>>& GetRecords() const
  {
    return records_;
  }

private:
  void RunCaller(CallKind aKind);
  void PollReadiness();
  CallRecord& AddRecord(CallKind aKind);
  bed::CallerAnswer Send(const CallRecord& aRecord,
                         const std::string& aKey,
                         const net::Endpoint& aEntry);
  net::Endpoint PickEntry();
  bool IsReady(const bed::BedNode& aEntry);

  bed::Bed& bed_;
  std::uint64_t seed_;
  std::mt19937_64 random_;
  std::uint64_t nextId_ = 0;
  std::size_t activeFibers_ = 0;
  bool stopping_ = false;
  std::vector<net::Endpoint> readyEntries_;
  std::vector<std::unique_ptr<CallRecord>> records_;
};

/** Number of tokens of each streamed answer. */
inline constexpr std::size_t kStreamTokens = 20;

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Traffic_h
