#ifndef waxwingyoke_net_StreamWriter_h
#define waxwingyoke_net_StreamWriter_h

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

  /** Whether the answer went out to its end. */
  bool IsWhole() const { return finished_ && !broken_; }

private:
  template<typename Operation>
  bool Do(Operation aOperation);

  beast::tcp_stream& stream_;
  utils::Millis timeout_;
  bool keepAlive_;
  bool started_ = false;
  bool finished_ = false;
  bool broken_ = false;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_StreamWriter_h
