#ifndef waxwingyoke_weights_Fetcher_h
#define waxwingyoke_weights_Fetcher_h

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <net/HttpClient.h>
#include <net/Pacer.h>
#include <utils/Digest.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::weights {

/** A moving average of the download rate, and the deadlines based on it. */
class RateMeter
{
public:
  /** Adds one complete download of aBytes that took aTime. */
  void Add(std::uint64_t aBytes, utils::Millis aTime);

  /** How long a download of aBytes may take before it is abandoned. */
  utils::Millis GetDeadline(std::uint64_t aBytes) const;

  /** The expected time for aBytes; a default before the first download. */
  utils::Millis GetExpectedTime(std::uint64_t aBytes) const;

private:
  /** Bytes per second; 0 before the first download. */
  double rate_ = 0;
};

/** One object to fetch, its source and its limits. */
struct FetchRequest
{
  net::Endpoint source;
  std::string path;
  net::HttpFields fields;
  /** A longer body fails with TooLarge. */
  std::uint64_t maxBytes = 0;
  utils::Millis deadline;
  /** Paces transfers between regions; null for a source in the region. */
  net::Pacer* regionLink = nullptr;
  /** Called between reads of the body; false cancels the fetch. */
  std::function<bool()> shouldContinue;
  /** Receives the size of each part of the body. */
  std::function<void(std::size_t)> onBytes;
  /** Receives the time until the response headers; may be empty. */
  std::function<void(utils::Millis)> onHeaders;
};

/** Fetches objects over HTTP at the rate that the link's pacer allows. */
class Fetcher
{
public:
  Fetcher(net::HttpClient& aHttp, net::Pacer& aLink);

  /**
   * The body; only its length is checked, not its digest. Empty with NotFound,
   * Overloaded, StoreUnavailable (another status), DeadlineExceeded (slow or
   * cancelled), TooLarge, or the error of the connection.
   */
  std::optional<std::string> Fetch(const FetchRequest& aRequest,
                                   utils::Error& aReason);

private:
  /** Reads the body of an error until aEnd at the latest. */
  void SkipError(net::ResponseStream& aStream, utils::Millis aEnd);
  std::optional<std::string> ReadBody(net::ResponseStream& aStream,
                                      const FetchRequest& aRequest,
                                      utils::Millis aEnd,
                                      utils::Error& aReason);

  net::HttpClient& http_;
  net::Pacer& link_;
  utils::Clock clock_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Fetcher_h
