#ifndef waxwingyoke_fleet_Exchange_h
#define waxwingyoke_fleet_Exchange_h

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <net/HttpServer.h>
#include <platform/FleetConfig.h>
#include <platform/RequestDialect.h>

#include "EntryServices.h"
#include "EventRelay.h"
#include "UpstreamLease.h"
#include "UpstreamSend.h"

namespace waxwingyoke::fleet {

/** One request of a caller, from its arrival to the end of its answer. */
class Exchange
{
public:
  Exchange(EntryServices& aServices,
           const net::HttpRequest& aRequest,
           net::ResponseWriter& aWriter);

  void Run();

private:
  /** Under this much time no upstream can do anything. */
  static constexpr utils::Millis kMinTimeLeft{ 30 };

  /** What a request came to, for the log. */
  enum class End
  {
    Served,
    Refused,
    Denied,
    Failed,
    CallerGone
  };

  bool FindTerms();
  bool CheckKey();
  bool CheckTrust();
  bool CheckQuarantine();
  std::uint64_t MakeDigest() const;
  void PickService();
  void MakeQuery();

  bool WaitForPlace();
  utils::Millis GetWaitLimit() const;
  bool TakePlace(bool aMustMeetObjective);

  void Serve();
  bool SendOnce();
  bool MaySendAgain(bool aMayHaveRun);
  bool DeliverWhole();
  bool ReadBody(std::string& aBody);
  bool IsWorthAnother(int aStatus);
  void RelayStream();
  bool ForwardEvents();
  void NoteEvents();
  bool ResumeElsewhere();
  void NoteLoss();

  void Refuse(utils::ErrorKind aKind, std::string_view aText);
  void Deny(int aStatus, std::string_view aText);
  void Fail(std::string_view aText);
  void Answer(int aStatus,
              std::string_view aText,
              std::optional<utils::Millis> aRetryAfter);
  void LogEnd();

  utils::Millis GetTimeLeft() const;
  utils::Millis GetElapsed() const;
  bool HasReturned() const { return elapsedBefore_ > utils::Millis(0); }
  bool IsCallerGone() const { return canceller_.IsCancelled(); }

  EntryServices& services_;
  const net::HttpRequest& request_;
  net::ResponseWriter& writer_;
  platform::CallerRequest caller_;
  utils::Millis arrivedAt_;
  utils::Millis deadline_;
  /** Since the caller's first attempt; longer than zero if it was refused. */
  utils::Millis elapsedBefore_;

  std::shared_ptr<const platform::FleetConfig> config_;
  const platform::Route* route_ = nullptr;
  const platform::Organisation* organisation_ = nullptr;
  const platform::ServiceInfo* service_ = nullptr;
  dispatch::PlaceQuery query_;
  std::uint64_t digest_ = 0;

  net::CallCanceller canceller_;
  std::unique_ptr<UpstreamLease> lease_;
  std::uint64_t leaseVersion_ = 0;
  double predictedMs_ = 0;
  utils::Millis placedAt_;
  UpstreamAnswer answer_;
  int sends_ = 0;
  int connectFailures_ = 0;
  bool mayHaveRun_ = false;
  EventRelay relay_;
  bool streaming_ = false;

  End end_ = End::Failed;
  int status_ = 0;
  std::string why_;
  utils::Millis firstPartAt_;
  utils::Millis lastEventAt_;
  /** Between two events of a stream. */
  utils::Millis longestPause_;
  std::string upstreams_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_Exchange_h
