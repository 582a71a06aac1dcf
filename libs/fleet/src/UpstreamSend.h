#ifndef waxwingyoke_fleet_UpstreamSend_h
#define waxwingyoke_fleet_UpstreamSend_h

#include <memory>
#include <optional>
#include <string>

#include <net/HttpClient.h>
#include <platform/RequestDialect.h>

#include "EntryServices.h"
#include "UpstreamLease.h"

namespace waxwingyoke::fleet {

/** What became of sending a request to one upstream. */
enum class SendResult
{
  /** Its answer's head is there. */
  Answered,
  /** Nothing was sent. */
  NotSent,
  /** The upstream proved that the request has not run. */
  NotRun,
  /** It may have run; there is no answer to deliver. */
  Lost,
  /** The time is up. */
  OutOfTime
};

/** One send of a request and the answer to it. */
struct UpstreamAnswer
{
  SendResult result = SendResult::NotSent;
  platform::UpstreamHead head;
  net::HttpFields fields;
  std::unique_ptr<net::ResponseStream> stream;
  utils::Error reason;
};

/** What a send is made with. */
struct SendOrder
{
  const net::HttpRequest& request;
  const std::string& attemptId;
  platform::SendTerms terms;
  /** Longest silence before the head. */
  utils::Millis headTimeout;
  /**
   * The work must have begun, which the head proves, within this time; else it
   * is taken back. Empty: whenever it gets its turn.
   */
  std::optional<utils::Millis> timeToBegin;
  net::CallCanceller* canceller = nullptr;
};

/** Sends a request to the lease's upstream and judges what comes back. */
UpstreamAnswer
SendToUpstream(EntryServices& aServices,
               UpstreamLease& aLease,
               const SendOrder& aOrder);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_UpstreamSend_h
