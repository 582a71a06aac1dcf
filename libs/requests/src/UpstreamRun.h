#ifndef waxwingyoke_requests_UpstreamRun_h
#define waxwingyoke_requests_UpstreamRun_h

#include <optional>
#include <string>

#include <net/Endpoint.h>
#include <net/HttpClient.h>
#include <schema/requests.pb.h>
#include <utils/Error.h>
#include <utils/RcuCell.h>
#include <utils/Time.h>

#include "Answer.h"

namespace waxwingyoke::requests {

/** The upstream beside a side. */
struct Upstream
{
  net::Endpoint endpoint;
  bool isEngine = true;
};

/** Hands one attempt to the upstream and its answer to an Answer. */
class UpstreamRun
{
public:
  UpstreamRun(net::HttpClient& aClient, const Upstream& aUpstream);

  /**
   * Runs it until aDeadline. ConnectFailed alone means that it did not run;
   * aVersion is the one that must have made the answer.
   */
  bool Run(const schema::AttemptRequest& aRequest,
           const std::string& aVersion,
           utils::Millis aDeadline,
           Answer& aAnswer,
           utils::Error& aReason);

  /** Tells an engine to stop the attempt. */
  void Cancel(const std::string& aAttempt);

  /**
   * Whether the upstream died since it was that process: it takes no
   * connections, or is another one.
   */
  bool HasDied(const std::string& aIncarnation);

  /** The process that Watch last saw; empty where it can't be told. */
  std::string GetIncarnation() const { return *incarnation_.Get(); }

  /** Looks which process the engine is; to be called now and then. */
  void Watch();

private:
  net::HttpRequest MakeRequest(const schema::AttemptRequest& aRequest) const;
  bool Relay(net::ResponseStream& aStream,
             const std::string& aVersion,
             utils::Millis aDeadline,
             Answer& aAnswer,
             utils::Error& aReason);

  /** One look: empty where it can't be told from it. */
  std::optional<bool> LookForDeath(const std::string& aIncarnation);

  bool AskOptions(utils::Error& aReason);

  /** Empty if it does not answer. */
  std::string AskIncarnation(utils::Error& aReason);

  net::HttpClient& client_;
  const Upstream& upstream_;
  utils::RcuCell<std::string> incarnation_;
  utils::Clock clock_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_UpstreamRun_h
