#ifndef waxwingyoke_net_StreamWriter_h
#define waxwingyoke_net_StreamWriter_h

#include <functional>
#include <memory>

#include <net/HttpServer.h>

#include "Beast.h"

namespace waxwingyoke::net {

/**
 * Writes the answer to one request to its connection. Lives as long as the
 * request's handler.
 */
class StreamWriter : public ResponseWriter
{
public:
  StreamWriter(beast::tcp_stream& aStream,
               utils::Millis aTimeout,
               bool aKeepAlive)
    : stream_(aStream)
    , timeout_(aTimeout)
    , keepAlive_(aKeepAlive)
  {
  }

  bool Send(const HttpResponse& aResponse) override;
  bool Start(int aStatus, const HttpFields& aFields) override;
  bool Write(std::string_view aPart) override;
  bool Finish() override;
  bool IsPeerGone() override
  {
    return broken_ || IsClosedByPeer(stream_.socket());
  }
  bool IsStarted() const override { return started_; }
  void OnPeerGone(std::function<void()> aHook) override;

  /** Ends the watch for the caller's close; before the next read. */
  void EndWatch();

  /** Whether the answer went out to its end. */
  bool IsWhole() const { return finished_ && !broken_; }

private:
  template<typename Operation>
  bool Do(Operation aOperation);

  /** Shared with the wait's handler, which may run after this is gone. */
  struct Watch
  {
    std::function<void()> hook;
    bool fired = false;
    bool ended = false;
  };

  beast::tcp_stream& stream_;
  std::shared_ptr<Watch> watch_;
  utils::Millis timeout_;
  bool keepAlive_;
  bool started_ = false;
  bool finished_ = false;
  bool broken_ = false;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_StreamWriter_h
