#ifndef waxwingyoke_burst_BaselineRun_h
#define waxwingyoke_burst_BaselineRun_h

#include <string>

#include "Options.h"
#include "Report.h"

namespace waxwingyoke::burst {

/**
 * Measures a way of distribution that the product does not use, for comparison:
 * "origin", where every VM fetches everything from the origin, or "chain",
 * where each VM fetches from the previous one.
 */
WayResult
RunBaseline(const Options& aOptions, const std::string& aWay);

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_BaselineRun_h
