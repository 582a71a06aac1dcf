#ifndef waxwingyoke_burst_BaselineRun_h
#define waxwingyoke_burst_BaselineRun_h

#include <string>

#include "Options.h"
#include "Report.h"

namespace waxwingyoke::burst {

/**
 * Measures a way that the product does not use: "origin", where every VM
 * fetches all from the origin, or "chain", where each fetches from the one
 * before it.
 */
WayResult
RunBaseline(const Options& aOptions, const std::string& aWay);

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_BaselineRun_h
