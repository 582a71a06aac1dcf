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

/** One process of a side. */
struct SideAddress
{
  net::Endpoint endpoint;
  std::string incarnation;
};

/** What one attempt came to. */
struct AttemptResult
{
  /** Not set: the whole answer came. */
  utils::Error error;
  /** The side's end mark; empty where none came. */
  schema::AnswerEnd end;
  bool hasEnd = false;
  bool callerGone = false;
  /** Version that made what came. */
  std::string version;
};

/** How an attempt's answer is had. */
struct AttemptOptions
{
  utils::Millis deadline;
  /** How long a side that is not to be reached is asked again. */
  utils::Millis patience;
  /** Whether the upstream may be stopped when nobody waits any more. */
  bool mayCancel = true;
};

/**
 * Has one attempt run by a side and follows its answer over as many
 * connections as that takes: on a cut or silent one it asks by the
 * attempt's id on a new one, from the byte that it has.
 */
class AttemptCall
{
public:
  AttemptCall(net::HttpClient& aClient,
              const rpc::RpcClient& aRpc,
              std::string aSecret);

  /** Sends the attempt. */
  AttemptResult Run(const SideAddress& aSide,
                    const schema::AttemptRequest& aRequest,
                    const AttemptOptions& aOptions,
                    CallerSink& aSink) const;

  /** Fetches the answer of an attempt that somebody sent aAge ago. */
  AttemptResult Follow(const SideAddress& aSide,
                       const std::string& aAttempt,
                       utils::Millis aAge,
                       const AttemptOptions& aOptions,
                       CallerSink& aSink) const;

private:
  struct Progress;
  using Stream = std::unique_ptr<net::ResponseStream>;

  net::HttpRequest MakeRequest(const char* aPath, std::string aBody) const;
  Stream OpenAttach(const Progress& aProgress, utils::Error& aReason) const;
  void FollowToEnd(Progress& aProgress) const;
  void ReadFrames(net::ResponseStream& aStream, Progress& aProgress) const;
  bool IsCallerGone(Progress& aProgress) const;
  void TakeFrame(const schema::AnswerFrame& aFrame, Progress& aProgress) const;
  void TakeEnd(const schema::AnswerEnd& aEnd, Progress& aProgress) const;
  void Cancel(const Progress& aProgress) const;

  net::HttpClient& client_;
  const rpc::RpcClient& rpc_;
  std::string secret_;
  utils::Clock clock_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_AttemptCall_h
