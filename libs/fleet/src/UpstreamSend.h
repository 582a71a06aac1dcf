#ifndef waxwingyoke_fleet_UpstreamSend_h
#define waxwingyoke_fleet_UpstreamSend_h

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <net/HttpClient.h>
#include <platform/RequestDialect.h>

#include "EntryServices.h"
#include "UpstreamLease.h"

namespace waxwingyoke::fleet {

/**
 * Largest body of an answer that is not a stream. It is read completely before
 * it is delivered.
 */
inline constexpr std::size_t kMaxAnswerBytes = 4 << 20;

/** Why an answer that was buffered is given up. */
inline constexpr const char* kNoAnswerMemory =
  "the answer is larger than the memory that is left for answers";

/** Result of sending a request to one upstream. */
enum class SendResult
{
  /** The response head has arrived. */
  Answered,
  /** Nothing was sent. */
  NotSent,
  /** The upstream proved that the request has not run. */
  NotRun,
  /** The request may have run; there is no response to deliver. */
  Lost,
  /** The deadline has passed. */
  OutOfTime
};

/** The result of one send and the upstream's response. */
struct UpstreamAnswer
{
  SendResult result = SendResult::NotSent;
  platform::UpstreamHead head;
  net::HttpFields fields;
  std::unique_ptr<net::ResponseStream> stream;
  /** Begin of the body, if it was read before; the stream has the rest. */
  std::string readAhead;
  /** From the first to the last event that was read ahead. */
  std::optional<utils::Millis> writingTime;
  utils::Error reason;
};

/** Parameters of one send. */
struct SendParameters
{
  const net::HttpRequest& request;
  const std::string& attemptId;
  platform::SendOptions metadata;
  /** Longest wait for the response head. */
  utils::Millis headTimeout;
  /**
   * The work must have started, which the head proves, within this time;
   * otherwise the send is cancelled. Empty: no limit; not above 0: nothing is
   * sent.
   */
  std::optional<utils::Millis> startTimeout = std::nullopt;
  net::CallCanceller* canceller = nullptr;
  /** If set, called once if the head takes longer; see net::CallOptions. */
  std::function<void()> onSilence = nullptr;
  utils::Millis silenceTimeout{ 0 };
  /** A head that takes longer than this is the upstream's failure. */
  utils::Millis objective{ 0 };
};

/**
 * Sends a request to the lease's upstream, classifies the result and updates
 * the upstream's health. Blocks the calling fiber until the response head
 * arrives or the send fails.
 */
UpstreamAnswer
SendToUpstream(EntryServices& aServices,
               UpstreamLease& aLease,
               const SendParameters& aParameters);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_UpstreamSend_h
