#include "RolloutProgress.h"

#include <algorithm>
#include <sstream>

#include <profiles/Config.h>
#include <telemetry/Logger.h>

namespace waxwingyoke::tool {

namespace {

bool
IsReady(const schema::Profile& aProfile, const schema::NodeStatus& aStatus)
{
  return aStatus.ready_profile() == aProfile.name() &&
         aStatus.ready_version() == aProfile.version();
}

void
AddNode(const schema::Profile& aProfile,
        const membership::NodeReport& aNode,
        DataCentreProgress& aDataCentre)
{
  ++aDataCentre.vms;
  if (!aNode.reply) {
    aDataCentre.failures.push_back({ aNode.vm.id(), aNode.failure });
    return;
  }
  const auto& status = aNode.reply->status();
  aDataCentre.ready += IsReady(aProfile, status) ? 1 : 0;
  if (status.transfer().version() == aProfile.version()) {
    aDataCentre.chunksHeld += status.transfer().chunks_held();
    aDataCentre.chunksTotal += status.transfer().chunks_total();
  }
  if (!status.failure().empty()) {
    aDataCentre.failures.push_back({ aNode.vm.id(), status.failure() });
  }
}

std::string
FormatFailuresJson(const std::vector<RolloutFailure>& aFailures)
{
  std::string text;
  std::ranges::for_each(aFailures, [&text](const RolloutFailure& aFailure) {
    text += text.empty() ? "" : ",";
    text += "{\"vm\":" + telemetry::QuoteJson(aFailure.vm) +
            ",\"reason\":" + telemetry::QuoteJson(aFailure.reason) + "}";
  });
  return "[" + text + "]";
}

} // namespace

bool
RolloutProgress::IsDone() const
{
  return std::ranges::all_of(dataCentres, [](const auto& aDataCentre) {
    return aDataCentre.second.ready == aDataCentre.second.vms;
  });
}

RolloutProgress
ComputeProgress(const schema::Profile& aProfile,
                const membership::ClusterStatus& aStatus)
{
  RolloutProgress progress;
  progress.version = aProfile.version();
  std::ranges::for_each(aStatus.nodes, [&](const auto& aNode) {
    if (!aNode.vm.leaving() && profiles::Selects(aProfile, aNode.vm)) {
      AddNode(aProfile, aNode, progress.dataCentres[aNode.vm.data_centre()]);
    }
  });
  return progress;
}

std::string
FormatText(const RolloutProgress& aProgress)
{
  std::ostringstream out;
  for (const auto& [name, dataCentre] : aProgress.dataCentres) {
    out << name << ": " << dataCentre.ready << " of " << dataCentre.vms
        << " ready, " << dataCentre.chunksHeld << " of "
        << dataCentre.chunksTotal << " chunks\n";
    std::ranges::for_each(dataCentre.failures, [&out](const auto& aFailure) {
      out << "  " << aFailure.vm << ": " << aFailure.reason << "\n";
    });
  }
  return out.str();
}

std::string
FormatJson(const RolloutProgress& aProgress)
{
  std::ostringstream out;
  out << "{\"version\":" << telemetry::QuoteJson(aProgress.version)
      << ",\"done\":" << (aProgress.IsDone() ? "true" : "false")
      << ",\"data_centres\":[";
  const char* separator = "";
  for (const auto& [name, dataCentre] : aProgress.dataCentres) {
    out << separator << "{\"name\":" << telemetry::QuoteJson(name)
        << ",\"vms\":" << dataCentre.vms << ",\"ready\":" << dataCentre.ready
        << ",\"chunks_held\":" << dataCentre.chunksHeld
        << ",\"chunks_total\":" << dataCentre.chunksTotal
        << ",\"failed\":" << FormatFailuresJson(dataCentre.failures) << "}";
    separator = ",";
  }
  out << "]}\n";
  return out.str();
}

} // namespace waxwingyoke::tool
