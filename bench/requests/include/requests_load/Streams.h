#ifndef waxwingyoke_requests_load_Streams_h
#define waxwingyoke_requests_load_Streams_h

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <net/HttpClient.h>
#include <utils/Time.h>

namespace waxwingyoke::requests_load {

/** One streamed request of a load. */
struct StreamCall
{
  std::string prompt;
  std::size_t tokens = 16;
  std::string organisation = "brigade";
  int priority = 5;
  utils::Millis deadline{ 20000 };
};

/** What its caller saw; times in milliseconds with fractions. */
struct StreamSample
{
  int status = 0;
  bool whole = false;
  double startedAt = 0;
  double firstToken = 0;
  double total = 0;
  std::vector<double> gaps;
  std::size_t tokens = 0;
  int priority = 0;
};

/** Milliseconds with fractions since an arbitrary start. */
double
GetPreciseMillis();

StreamSample
RunStream(net::HttpClient& aClient,
          const net::Endpoint& aPeer,
          const StreamCall& aCall);

/** The load of a measurement: calls at a steady rate whatever comes back. */
struct Load
{
  double requestsPerSecond = 10;
  utils::Millis duration{ 5000 };
  /** The call and the peer of the n-th request. */
  std::function<StreamCall(std::size_t)> makeCall;
  std::function<net::Endpoint(std::size_t)> pickPeer;
  /** Called before each call, such as to break something on the way. */
  std::function<void(std::size_t)> onArrival;
};

std::vector<StreamSample>
RunLoad(net::HttpClient& aClient, const Load& aLoad);

/** The sample below which that share lies; 0 where there is none. */
double
GetQuantile(std::vector<double> aSamples, double aShare);

/** Whole answers a second whose calls started in that span. */
double
GetGoodput(const std::vector<StreamSample>& aSamples,
           double aFromMillis,
           double aToMillis);

} // namespace waxwingyoke::requests_load

#endif // waxwingyoke_requests_load_Streams_h
