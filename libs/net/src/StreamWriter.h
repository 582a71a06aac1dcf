#ifndef waxwingyoke_net_StreamWriter_h
#define waxwingyoke_net_StreamWriter_h

#include <functional>
#include <memory>
#include <optional>
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
  /**
   * aGetKeepTime is called once, when the response's head is written: for how
   * long the connection is kept afterwards, empty if it is closed.
   */
  StreamWriter(beast::tcp_stream& aStream,
               utils::Millis aTimeout,
               std::function<std::optional<utils::Millis>()> aGetKeepTime)
    : stream_(aStream)
    , timeout_(aTimeout)
    , getKeepTime_(std::move(aGetKeepTime))
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

  /** The time that the response stated for this; 0 if it stated none. */
  utils::Millis GetStatedKeepTime() const { return statedKeepTime_; }

  /** Whether a write waited too long for a caller that does not read. */
  bool HasTimedOut() const { return timedOut_; }

  /** Whether the response was sent completely. */
  bool IsComplete() const { return finished_ && !broken_; }

private:
  /** Sets the fields of a response's head that concern the connection. */
  template<typename Message>
  void SetConnectionFields(Message& aMessage);
  template<typename Operation>
  bool RunWrite(Operation aOperation);

  struct Watch;

  beast::tcp_stream& stream_;
  std::shared_ptr<Watch> watch_;
  utils::Millis timeout_;
  std::function<std::optional<utils::Millis>()> getKeepTime_;
  bool keepAlive_ = false;
  utils::Millis statedKeepTime_{ 0 };
  bool started_ = false;
  bool finished_ = false;
  bool broken_ = false;
  bool timedOut_ = false;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_StreamWriter_h
