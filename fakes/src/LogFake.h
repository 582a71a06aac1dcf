#ifndef waxwingyoke_fakes_LogFake_h
#define waxwingyoke_fakes_LogFake_h

#include <deque>
#include <map>
#include <string>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "FaultGate.h"

namespace waxwingyoke::fakes {

/** The log service: streams of records with offsets, kept for a time. */
class LogFake
{
public:
  explicit LogFake(FaultGate& aGate);

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

  FaultGate& gate_;
  TokenBucket rate_;
  std::map<std::string, Stream> streams_;
  // Only for the waiting of long reads.
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable appended_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_LogFake_h
