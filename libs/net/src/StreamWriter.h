#ifndef waxwingyoke_net_StreamWriter_h
#define waxwingyoke_net_StreamWriter_h

#include <functional>
#include <memory>
#include <utility>

#include <net/HttpServer.h>

#include "Beast.h"

namespace waxwingyoke::net {

/**
 * Writes the response to one request to its connection. Exists only while
 * the request's handler runs.
 */
class StreamWriter : public ResponseWriter
{
public:
  /** aMayKeep is asked once, when the response's head is written. */
  StreamWriter(beast::tcp_stream& aStream,
               utils::Millis aTimeout,
               std::function<bool()> aMayKeep)
    : stream_(aStream)
    , timeout_(aTimeout)
    , mayKeep_(std::move(aMayKeep))
  {
  }

  bool Send(const HttpResponse& aResponse) override;
  bool Start(int aStatus, const HttpFields& aFields) override;
  bool Write(std::string_view aPart) override;
  bool Finish() override;
  bool IsPeerDisconnected() override
  {
    return broken_ || IsClosedByPeer(stream_.socket());
  }
  bool IsStarted() const override { return started_; }
  void SetDisconnectHook(std::function<void()> aHook) override;

  /** Stops watching for the caller's disconnect; to be called before the
   * next read. */
  void EndWatch();

  /** Whether the response promised to keep the connection. */
  bool KeepsConnection() const { return keepAlive_; }

  /** Whether a write waited too long for a caller that does not read. */
  bool HasTimedOut() const { return timedOut_; }

  /** Whether the response was sent completely. */
  bool IsComplete() const { return finished_ && !broken_; }

private:
  template<typename Operation>
  bool RunWrite(Operation aOperation);

  struct Watch;

  beast::tcp_stream& stream_;
  std::shared_ptr<Watch> watch_;
  utils::Millis timeout_;
  std::function<bool()> mayKeep_;
  bool keepAlive_ = false;
  bool started_ = false;
  bool finished_ = false;
  bool broken_ = false;
  bool timedOut_ = false;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_StreamWriter_h
