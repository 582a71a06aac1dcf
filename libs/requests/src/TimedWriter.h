#ifndef waxwingyoke_requests_TimedWriter_h
#define waxwingyoke_requests_TimedWriter_h

#include <net/HttpServer.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/**
 * Forwards an answer to another writer and adds the times until its first part
 * and its end to the metrics of the process. The end is recorded on
 * destruction, so an instance must live exactly as long as its request.
 */
class TimedWriter : public net::ResponseWriter
{
public:
  explicit TimedWriter(net::ResponseWriter& aInner);
  ~TimedWriter() override;

  bool Send(const net::HttpResponse& aResponse) override;
  bool Start(int aStatus, const net::HttpFields& aFields) override;
  bool Write(std::string_view aPart) override;
  bool Finish() override;
  bool IsPeerDisconnected() override { return inner_.IsPeerDisconnected(); }
  bool IsStarted() const override { return inner_.IsStarted(); }

private:
  void RecordFirstPart();

  net::ResponseWriter& inner_;
  utils::Clock clock_;
  utils::Millis startedAt_;
  bool hasFirstPart_ = false;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_TimedWriter_h
