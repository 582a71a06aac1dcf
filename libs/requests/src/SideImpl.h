#ifndef waxwingyoke_requests_SideImpl_h
#define waxwingyoke_requests_SideImpl_h

#include <atomic>
#include <memory>
#include <string>

#include <requests/Side.h>
#include <schema/requests.pb.h>
#include <utils/Error.h>

#include "Answer.h"
#include "AttemptTable.h"
#include "Deaths.h"
#include "Gate.h"
#include "UpstreamRun.h"

namespace waxwingyoke::requests {

struct Side::Impl : std::enable_shared_from_this<Side::Impl>
{
  Impl(const schema::DaemonSettings& aSettings,
       membership::Node& aNode,
       net::HttpClient& aClient,
       ServingHook aServing);

  /** POST /attempts. */
  void TakeAttempt(const net::HttpRequest& aRequest,
                   net::ResponseWriter& aWriter);
  /** POST /attempts/attach. */
  void Attach(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  bool Ask(const schema::AskRequest& aRequest, schema::AskReply& aReply);
  bool Bar(const schema::AskRequest& aRequest, schema::AskReply& aReply);

  /** Runs an attempt that has begun and ends its answer. */
  void Execute(const schema::AttemptRequest& aRequest,
               const std::shared_ptr<Answer>& aAnswer,
               utils::Millis aDeadline);

  /** Streams an answer from a byte on until its end or the reader's. */
  void Deliver(const std::shared_ptr<Answer>& aAnswer,
               std::uint64_t aFrom,
               net::ResponseWriter& aWriter);

  bool Check(const schema::AttemptRequest& aRequest,
             Serving& aServing,
             utils::Error& aReason);
  bool CheckConfig(const schema::AttemptRequest& aRequest,
                   utils::Error& aReason);
  bool RunAdmitted(const schema::AttemptRequest& aRequest,
                   Answer& aAnswer,
                   const SlotRequest& aSlotRequest,
                   schema::AnswerEnd& aEnd,
                   utils::Error& aReason);
  void FillEnd(const schema::AttemptRequest& aRequest,
               const utils::Error& aError,
               schema::AnswerEnd& aEnd);
  void RefuseWith(const utils::Error& aError, net::ResponseWriter& aWriter);
  void CancelIfOrphaned(const schema::AttemptRequest& aRequest,
                        const std::shared_ptr<Answer>& aAnswer);
  schema::AttemptState AskTable(const schema::AskRequest& aRequest);

  membership::Node& node;
  Upstream upstream;
  ServingHook serving;
  utils::Clock clock;
  AdmissionGate gate;
  ShardedAttemptRegistry attempts;
  Deaths deaths;
  UpstreamRun runner;
  /** Answers on their way to entries. */
  std::atomic<int> deliveries{ 0 };
  BytesHook onLiveBytes = [](std::size_t) {};
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_SideImpl_h
