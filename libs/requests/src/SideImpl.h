#ifndef waxwingyoke_requests_SideImpl_h
#define waxwingyoke_requests_SideImpl_h

#include <atomic>
#include <memory>
#include <string>

#include <requests/Side.h>
#include <schema/requests.pb.h>
#include <utils/Error.h>

#include "AdmissionGate.h"
#include "Answer.h"
#include "CrashAttribution.h"
#include "ShardedAttemptRegistry.h"
#include "UpstreamClient.h"

namespace waxwingyoke::requests {

/** State and request handlers of a Side; fibers keep it alive. */
struct Side::Impl : std::enable_shared_from_this<Side::Impl>
{
  Impl(const schema::DaemonSettings& aSettings,
       membership::Node& aNode,
       net::HttpClient& aClient,
       ServingHook aServing);

  /** POST /attempts. */
  void HandleAttempt(const net::HttpRequest& aRequest,
                     net::ResponseWriter& aWriter);
  /** POST /attempts/attach. */
  void HandleAttach(const net::HttpRequest& aRequest,
                    net::ResponseWriter& aWriter);
  /** RPC attempt.ask: the attempt's state; bars one that has not begun. */
  bool HandleAsk(const schema::AskRequest& aRequest, schema::AskReply& aReply);
  /** RPC attempt.bar: as attempt.ask, and cancels a running attempt. */
  bool HandleBar(const schema::AskRequest& aRequest, schema::AskReply& aReply);

  /** Runs a registered attempt and ends its answer. */
  void Execute(const schema::AttemptRequest& aRequest,
               const std::shared_ptr<Answer>& aAnswer,
               utils::Millis aDeadline);

  /** Streams an answer from byte aFrom on until it ends or the reader
   * disconnects. */
  void Deliver(const std::shared_ptr<Answer>& aAnswer,
               std::uint64_t aFrom,
               net::ResponseWriter& aWriter);

  /** Whether the upstream serves the request's profile and version; sets
   * aServing. */
  bool CheckServing(const schema::AttemptRequest& aRequest,
                    Serving& aServing,
                    utils::Error& aReason);
  /** Whether this side has the entry's revision of the profile, after waiting
   * for it if necessary, and the request is not quarantined. */
  bool CheckConfig(const schema::AttemptRequest& aRequest,
                   utils::Error& aReason);
  /** Runs a request that holds a slot, and frees the slot. */
  bool RunAdmitted(const schema::AttemptRequest& aRequest,
                   Answer& aAnswer,
                   const SlotRequest& aSlotRequest,
                   schema::AnswerEnd& aEnd,
                   utils::Error& aReason);
  /** Sets the fields of the end mark and counts the attempt in the metrics. */
  void FillEnd(const schema::AttemptRequest& aRequest,
               const utils::Error& aError,
               schema::AnswerEnd& aEnd);
  /** Sends an answer that consists of the end mark alone. */
  void SendRefusal(const utils::Error& aError, net::ResponseWriter& aWriter);
  /** Cancels an idempotent attempt if no entry attaches to it in time. */
  void CancelIfOrphaned(const schema::AttemptRequest& aRequest,
                        const std::shared_ptr<Answer>& aAnswer);
  /** The attempt's state; FORGOTTEN for one of another incarnation. */
  schema::AttemptState QueryState(const schema::AskRequest& aRequest);

  membership::Node& node;
  Upstream upstream;
  ServingHook getServing;
  utils::Clock clock;
  AdmissionGate gate;
  ShardedAttemptRegistry attempts;
  CrashAttribution crashAttribution;
  UpstreamClient upstreamClient;
  /** Number of answers that are being streamed to entries. */
  std::atomic<int> deliveries{ 0 };
  BytesHook onLiveBytes = [](std::size_t) {};
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_SideImpl_h
