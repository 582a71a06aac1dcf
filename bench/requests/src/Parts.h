#ifndef waxwingyoke_bench_requests_Parts_h
#define waxwingyoke_bench_requests_Parts_h

#include <string>

namespace waxwingyoke::bench_requests {

/** Each measures one matter and returns its figures as one JSON object;
 * empty where its bed could not be had. */
std::string
MeasureLatency();
std::string
MeasureOverload();
std::string
MeasureLoss();
std::string
MeasurePrefix();
std::string
MeasureOnce();

} // namespace waxwingyoke::bench_requests

#endif // waxwingyoke_bench_requests_Parts_h
