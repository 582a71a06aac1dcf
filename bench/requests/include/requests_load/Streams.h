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

/** A streamed chat request. */
struct StreamCall
{
  std::string prompt;
  std::size_t tokens = 16;
  std::string organisation = "brigade";
  int priority = 5;
  utils::Millis deadline{ 20000 };
};

/** The caller's view of a streamed request; times are fractional ms. */
struct StreamSample
{
  int status = 0;
  bool complete = false;
  double startedAt = 0;
  /** From startedAt to the first token. */
  double firstToken = 0;
  double total = 0;
  /** Times between the arrivals of successive tokens. */
  std::vector<double> gaps;
  std::size_t tokens = 0;
  int priority = 0;
};

/** Monotonic time in fractional ms since an arbitrary start. */
double
GetPreciseMillis();

/** Sends a request and reads its answer to the end. */
StreamSample
RunStream(net::HttpClient& aClient,
          const net::Endpoint& aPeer,
          const StreamCall& aCall);

/** An open-loop load: calls at a constant rate, independent of the answers. */
struct Load
{
  double requestsPerSecond = 10;
  utils::Millis duration{ 5000 };
  /** Return the n-th request and the endpoint to send it to. */
  std::function<StreamCall(std::size_t)> makeCall;
  std::function<net::Endpoint(std::size_t)> pickPeer;
  /** Called before the n-th call, for example to inject a fault. */
  std::function<void(std::size_t)> onArrival;
};

/** Runs a load and waits for all answers; one sample per call, in order. */
std::vector<StreamSample>
RunLoad(net::HttpClient& aClient, const Load& aLoad);

/** Returns the quantile aShare (0 to 1) of the samples; 0 if there are none. */
double
GetQuantile(std::vector<double> aSamples, double aShare);

/** Complete answers per second that ended between the two times. */
double
GetGoodput(const std::vector<StreamSample>& aSamples,
           double aFromMillis,
           double aToMillis);

} // namespace waxwingyoke::requests_load

#endif // waxwingyoke_requests_load_Streams_h
