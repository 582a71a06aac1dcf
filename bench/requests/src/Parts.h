#ifndef waxwingyoke_bench_requests_Parts_h
#define waxwingyoke_bench_requests_Parts_h

#include <string>

namespace waxwingyoke::bench_requests {

/** Each runs one measurement on a test bed of its own and returns the figures
 * as a JSON object; empty if the test bed could not be set up. */
std::string
MeasureLatency();
std::string
MeasureOverload();
std::string
MeasureLoss();
std::string
MeasurePrefix();
std::string
MeasureAtMostOnce();

} // namespace waxwingyoke::bench_requests

#endif // waxwingyoke_bench_requests_Parts_h
