#ifndef waxwingyoke_fleet_Exchange_h
#define waxwingyoke_fleet_Exchange_h

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <dispatch/BufferBudget.h>
#include <net/HttpServer.h>
#include <platform/FleetConfig.h>
#include <platform/RequestDialect.h>

#include "EntryServices.h"
#include "EventRelay.h"
#include "HedgedSend.h"
#include "UpstreamLease.h"
#include "UpstreamSend.h"

namespace waxwingyoke::fleet {

/**
 * Handles one request of a caller, from its arrival to the end of its response.
 * Runs in the fiber of the connection.
 */
class Exchange
{
public:
  Exchange(EntryServices& aServices,
           const net::HttpRequest& aRequest,
           net::ResponseWriter& aWriter);

  /** Returns once the response has ended or the caller has disconnected. */
  void Run();

  /**
   * Ends a request whose response has not begun with a response of the entry's
   * own, as the process is about to exit.
   */
  void Stop();

  /**
   * Wakes the request if it waits for room at an upstream, as all that it may
   * use may have been evacuated.
   */
  void CheckQueued() { queueCondition_.notify_all(); }

private:
  /** With less time left no upstream can answer, so nothing is sent. */
  static constexpr utils::Millis kMinTimeLeft{ 30 };
  /** Interval in which a silent upstream and its hedge are compared. */
  static constexpr utils::Millis kHedgeInterval{ 100 };
  /**
   * Reads after the deadline, or after the time without an event, for what had
   * arrived before: this process itself may have been suspended.
   */
  static constexpr int kMaxLateReads = 64;
  /** Up to this many failed connects are followed by another send. */
  static constexpr int kMaxConnectFailures = 3;

  /** Result of a request, for the log. */
  enum class End
  {
    Served,
    Refused,
    Denied,
    Failed,
    CallerDisconnected
  };

  bool ResolveRoute();
  bool CheckKey();
  bool CheckConfigFreshness();
  bool CheckQuarantine();
  bool CheckRegions();
  void BindRegions();
  void FollowRegions();
  const platform::Route* FindSameRoute(
    const platform::FleetConfig& aConfig) const;
  const platform::Organisation* FindSameOrganisation(
    const platform::FleetConfig& aConfig) const;
  std::uint64_t MakeDigest() const;
  void PickService();
  void MakeQuery();

  bool WaitForPlacement();
  bool RefuseIfUnservable();
  bool RefuseIfEvacuated();
  bool IsEvacuated() const;
  std::optional<dispatch::SendOpening> FindOpening() const;
  utils::Millis GetWaitLimit() const;
  void UpdateQuery(bool aIsLate);
  bool AcquirePlacement(bool aMustMeetObjective);

  void Serve();
  bool DeliverAnswer();
  bool SendOnce();
  SendParameters MakeSendParameters(UpstreamLease& aLease,
                                    std::uint64_t aVersion);
  void RecordSend();
  void RecordFailedSend(const UpstreamAnswer& aAnswer,
                        UpstreamLease& aLease,
                        std::uint64_t aVersion);
  void Exclude(const std::string& aUpstream);
  bool PrepareNextSend(bool aMayHaveRun);
  bool DeliverResponse();
  bool ReadBody(std::string& aBody, dispatch::BufferShare& aShare);
  bool ShouldRetryElsewhere(int aStatus);
  void RelayStream();
  bool ForwardEvents();
  bool ForwardPart(const std::string& aPart, dispatch::BufferShare& aShare);
  bool CheckAnswerMemory(const dispatch::BufferShare& aShare);
  bool FinishStream();
  void RecordBrokenStream(utils::Millis aQuietSince);
  std::string GetFramingName() const;
  net::ReadResult ReadPart(std::string& aPart, utils::Millis aQuietSince);
  bool IsTruncated() const;
  void RecordEvents();
  bool ResumeElsewhere();
  bool AcquireResumePlacement();
  utils::Millis GetHeadTimeout() const;
  utils::Millis GetSilenceTimeout() const;

  bool MayHedge();
  void HedgeHead();
  void HedgeStream(utils::Millis aQuietSince);
  void StartHedge(const dispatch::Placement& aPlacement);
  void HandleHedgeProgress();
  bool ShouldAdoptHedge(utils::Millis aQuietSince) const;
  void SettleHeadHedge();
  bool HasHedgeAnswer();
  bool AdoptUsableHedge();
  void AdoptHedge();
  void DiscardHedge();
  void LogHedgeEnd(std::string_view aOutcome) const;
  void RecordHang(utils::Millis aQuietSince, utils::Millis aSilenceTimeout);
  BrokenRequest MakeBrokenRequest() const;
  void RecordLostConnection();
  void RecordSurvival();

  void RecordRefusal();
  void RefuseClosed();
  void Refuse(utils::ErrorKind aKind, std::string_view aText);
  void RefuseAfter(utils::ErrorKind aKind,
                   std::string_view aText,
                   utils::Millis aRetryAfter);
  void Deny(int aStatus, std::string_view aText);
  void Fail(std::string_view aText);
  void Answer(int aStatus,
              std::string_view aText,
              std::optional<utils::Millis> aRetryAfter);
  void LogEnd();

  void FollowTimeLimit();
  /** 0 once stopped. */
  utils::Millis GetTimeLeft();
  bool HasUpstreamRunOutOfTime() const;
  void CancelWaits();
  utils::Millis GetElapsed() const;
  bool IsRetry() const { return elapsedBefore_ > utils::Millis(0); }
  bool IsCallerDisconnected() const { return callerDisconnected_; }
  void HandleCallerDisconnect();

  EntryServices& services_;
  const net::HttpRequest& request_;
  net::ResponseWriter& writer_;
  platform::CallerRequest caller_;
  utils::Millis arrivedAt_;
  utils::Millis deadline_;
  /** The route's time limit that deadline_ respects. */
  utils::Millis timeLimit_;
  /** The configuration that timeLimit_ was last compared with. */
  std::shared_ptr<const platform::FleetConfig> limitConfig_;
  /**
   * Time since the caller's first attempt; above zero if this is a retry of a
   * refused request.
   */
  utils::Millis elapsedBefore_;

  std::shared_ptr<const platform::FleetConfig> config_;
  const platform::Route* route_ = nullptr;
  const platform::Organisation* organisation_ = nullptr;
  const platform::ServiceInfo* service_ = nullptr;
  /** Kept for query_, which refers to it, until the request ends. */
  std::shared_ptr<const dispatch::EngineModel> engine_;
  dispatch::PlacementQuery query_;
  /** The configuration whose regions query_ was last bound to. */
  std::shared_ptr<const platform::FleetConfig> regionsConfig_;
  std::uint64_t digest_ = 0;
  /** Stable hashes of the prompt's parts that other requests may share. */
  std::vector<std::uint64_t> parts_;

  boost::fibers::condition_variable queueCondition_;
  bool callerDisconnected_ = false;
  bool isStopped_ = false;
  /** Cancels the present send; made anew for each. */
  std::optional<net::CallCanceller> sendCanceller_;
  std::unique_ptr<UpstreamLease> lease_;
  std::uint64_t leaseVersion_ = 0;
  double predictedMs_ = 0;
  utils::Millis placedAt_;
  /** SendParameters::startTimeout of the last send. */
  std::optional<utils::Millis> startTimeout_;
  UpstreamAnswer answer_;
  /** Runs beside the send of answer_ until one of both has gone on. */
  std::unique_ptr<HedgedSend> hedge_;
  double hedgePredictedMs_ = 0;
  utils::Millis hedgedAt_;
  /** When the present send began. */
  utils::Millis sentAt_;
  /** When the upstream of answer_ stops work, as its send stated. */
  utils::Millis upstreamDeadline_;
  int sends_ = 0;
  /** Given up for another one while it was sound; may be asked once more. */
  std::string sparedUpstream_;
  int connectFailures_ = 0;
  bool mayHaveRun_ = false;
  EventRelay relay_;
  bool streaming_ = false;
  /** Events relayed before the current upstream's response. */
  std::uint64_t eventsBeforeResponse_ = 0;
  /** Framing of the last response that an upstream began. */
  std::optional<net::BodyFraming> framing_;

  End end_ = End::Failed;
  int status_ = 0;
  std::string reason_;
  utils::Millis firstPartAt_;
  utils::Millis lastEventAt_;
  /** First event of the current upstream's response; empty until it comes. */
  std::optional<utils::Millis> responseBeganAt_;
  /** The upstream has written for longer than a crash would have taken. */
  bool hasSurvived_ = false;
  /** Longest pause between two events of the stream. */
  utils::Millis longestPause_;
  std::string upstreams_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_Exchange_h
