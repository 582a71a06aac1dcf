#ifndef waxwingyoke_fakes_LogFake_h
#define waxwingyoke_fakes_LogFake_h

#include <deque>
#include <map>
#include <string>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "FaultInjector.h"

namespace waxwingyoke::fakes {

/** Fake of the log service: streams of records with offsets, of which the
 * latest are retained. */
class LogFake
{
public:
  explicit LogFake(FaultInjector& aFaultInjector);

  void AddRoutes(net::Router& aRouter);

private:
  struct Stream
  {
    std::uint64_t firstOffset = 0;
    std::deque<std::string> records;

    std::uint64_t GetNextOffset() const { return firstOffset + records.size(); }
  };

  void Append(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  void Read(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  void Trim(Stream& aStream) const;

  FaultInjector& faultInjector_;
  TokenBucket rate_;
  std::map<std::string, Stream> streams_;
  // Only for long polling: reads that wait until a record is appended.
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable appended_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_LogFake_h
