#ifndef waxwingyoke_requests_AttemptCall_h
#define waxwingyoke_requests_AttemptCall_h

#include <cstdint>
#include <memory>
#include <string>

#include <net/HttpClient.h>
#include <rpc/RpcClient.h>
#include <schema/requests.pb.h>
#include <utils/Digest.h>
#include <utils/Error.h>
#include <utils/Time.h>

#include "CallerSink.h"
#include "Frames.h"

namespace waxwingyoke::requests {

/** Address of one process of a side; a restart changes the incarnation. */
struct SideAddress
{
  net::Endpoint endpoint;
  std::string incarnation;
};

/** Outcome of one attempt. */
struct AttemptResult
{
  /** Not set if the answer is complete. */
  utils::Error error;
  /** The side's end frame; empty unless hasEnd. */
  schema::AnswerEnd end;
  bool hasEnd = false;
  bool callerDisconnected = false;
  /** Version that produced the answer, from its head. */
  std::string version;
};

/** Options for running an attempt or attaching to one. */
struct AttemptOptions
{
  utils::Millis deadline;
  /** How long to try to reconnect to an unreachable side. */
  utils::Millis reconnectTimeout;
  /** Whether to cancel the attempt when the caller disconnects. */
  bool mayCancel = true;
};

/**
 * Sends an attempt to a side and reads its answer. If the connection breaks or
 * stays silent, attaches to the attempt by its id on a new connection and
 * resumes from the next byte. Usable by any number of fibers at once.
 */
class AttemptCall
{
public:
  /** aAgeClock measures the ages of attempts. */
  AttemptCall(
    net::HttpClient& aClient,
    const rpc::RpcClient& aRpc,
    std::string aSecret,
    const utils::Clock& aAgeClock = utils::Clock::CountingSuspension());

  /** Sends the attempt and returns when its answer has ended. */
  AttemptResult Run(const SideAddress& aSide,
                    const schema::AttemptRequest& aRequest,
                    const AttemptOptions& aOptions,
                    CallerSink& aSink) const;

  /**
   * Reads the answer of an attempt that another request sent; aAge is an upper
   * bound of the time since then.
   */
  AttemptResult Attach(const SideAddress& aSide,
                       const std::string& aAttempt,
                       utils::Millis aAge,
                       const AttemptOptions& aOptions,
                       CallerSink& aSink) const;

private:
  struct Progress;
  using Stream = std::unique_ptr<net::ResponseStream>;

  net::HttpRequest MakeRequest(const char* aPath, std::string aBody) const;
  Stream OpenAttach(const Progress& aProgress, utils::Error& aReason) const;
  void AttachUntilDone(Progress& aProgress) const;
  void ReadFrames(net::ResponseStream& aStream, Progress& aProgress) const;
  bool IsCallerDisconnected(Progress& aProgress) const;
  void ApplyFrame(const schema::AnswerFrame& aFrame, Progress& aProgress) const;
  void ApplyHead(const schema::AnswerHead& aHead, Progress& aProgress) const;
  void ApplyEnd(const schema::AnswerEnd& aEnd, Progress& aProgress) const;
  void Cancel(const Progress& aProgress) const;
  utils::Millis GetMaxAge(const Progress& aProgress) const;

  net::HttpClient& client_;
  const rpc::RpcClient& rpc_;
  std::string secret_;
  utils::Clock clock_;
  utils::Clock ageClock_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_AttemptCall_h
