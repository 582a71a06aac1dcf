#include "Report.h"

#include <iomanip>
#include <sstream>

namespace waxwingyoke::burst {

namespace {

void
WriteResult(const Options& aOptions,
            const WayResult& aResult,
            std::ostream& aOut)
{
  auto bound = aOptions.GetTimeBound().value;
  auto ratio = static_cast<double>(aResult.timeToAllMs) /
               static_cast<double>(std::max<std::int64_t>(1, bound));
  aOut << std::fixed << std::setprecision(2)
       << "\"time_to_n_ms\":" << aResult.timeToAllMs
       << ",\"bound_ms\":" << bound << ",\"ratio\":" << ratio
       << ",\"origin_copies\":" << aResult.originCopies
       << ",\"max_vm_link_copies\":" << aResult.maxLinkCopies
       << ",\"inter_region_copies\":" << aResult.interRegionCopies
       << ",\"failed\":" << aResult.failed
       << ",\"violations\":" << aResult.violations;
}

} // namespace

std::string
MakeReport(const Options& aOptions, const std::vector<WayResult>& aResults)
{
  std::ostringstream out;
  out << "{\"vms\":" << aOptions.vms << ",";
  WriteResult(aOptions, aResults.front(), out);
  out << ",\"seed\":" << aOptions.seed << ",\"faults\":\"" << aOptions.faults
      << "\",\"bytes\":" << aOptions.bytes
      << ",\"chunk_bytes\":" << aOptions.chunkBytes << ",\"ways\":[";
  for (std::size_t i = 0; i < aResults.size(); ++i) {
    out << (i == 0 ? "" : ",") << "{\"way\":\"" << aResults[i].way << "\",";
    WriteResult(aOptions, aResults[i], out);
    out << "}";
  }
  out << "]}";
  return out.str();
}

} // namespace waxwingyoke::burst
