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

/** The rate at which chunks came lately, and the deadlines that follow. */
class RateMeter
{
public:
  /** Takes in one whole transfer. */
  void Add(std::uint64_t aBytes, utils::Millis aTime);

  /** How long aBytes may take before their source is left. */
  utils::Millis GetDeadline(std::uint64_t aBytes) const;

  /** The usual time of aBytes; a guess before the first transfer. */
  utils::Millis GetUsualTime(std::uint64_t aBytes) const;

private:
  /** Bytes a second; 0 before the first transfer. */
  double rate_ = 0;
};

/** One object to fetch and how. */
struct FetchOrder
{
  net::Endpoint source;
  std::string path;
  net::HttpFields fields;
  /** More than this is not read. */
  std::uint64_t maxBytes = 0;
  utils::Millis deadline;
  /** The budget between regions; null within the region. */
  net::Pacer* regionLink = nullptr;
  /** Asked between parts; false ends the fetch. */
  std::function<bool()> goOn;
  /** Told the bytes of each part. */
  std::function<void(std::size_t)> onBytes;
  /** Told the time to the answer's head. */
  std::function<void(utils::Millis)> onHead;
};

/** Fetches over HTTP, part by part, within the budget of the link. */
class Fetcher
{
public:
  Fetcher(net::HttpClient& aHttp, net::Pacer& aLink);

  /**
   * The body, unchecked but for its length. NotFound, Overloaded,
   * DeadlineExceeded where a cancelled or slow fetch was left, TooLarge, or
   * the error of the connection.
   */
  std::optional<std::string> Fetch(const FetchOrder& aOrder,
                                   utils::Error& aReason);

private:
  std::optional<std::string> ReadBody(net::ResponseStream& aStream,
                                      const FetchOrder& aOrder,
                                      utils::Millis aEnd,
                                      utils::Error& aReason);

  net::HttpClient& http_;
  net::Pacer& link_;
  utils::Clock clock_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Fetcher_h
