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
        PlaceProgress& aPlace)
{
  ++aPlace.vms;
  if (!aNode.reply) {
    aPlace.failures.push_back({ aNode.vm.id(), aNode.failure });
    return;
  }
  const auto& status = aNode.reply->status();
  aPlace.ready += IsReady(aProfile, status) ? 1 : 0;
  if (status.transfer().version() == aProfile.version()) {
    aPlace.chunksHeld += status.transfer().chunks_held();
    aPlace.chunksTotal += status.transfer().chunks_total();
  }
  if (!status.failure().empty()) {
    aPlace.failures.push_back({ aNode.vm.id(), status.failure() });
  }
}

std::string
ShowFailuresJson(const std::vector<RolloutFailure>& aFailures)
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
  return std::ranges::all_of(places, [](const auto& aPlace) {
    return aPlace.second.ready == aPlace.second.vms;
  });
}

RolloutProgress
MeasureProgress(const schema::Profile& aProfile,
                const membership::ClusterStatus& aStatus)
{
  RolloutProgress progress;
  progress.version = aProfile.version();
  std::ranges::for_each(aStatus.nodes, [&](const auto& aNode) {
    if (!aNode.vm.leaving() && profiles::Selects(aProfile, aNode.vm)) {
      AddNode(aProfile, aNode, progress.places[aNode.vm.data_centre()]);
    }
  });
  return progress;
}

std::string
Show(const RolloutProgress& aProgress)
{
  std::ostringstream out;
  for (const auto& [name, place] : aProgress.places) {
    out << name << ": " << place.ready << " of " << place.vms << " ready, "
        << place.chunksHeld << " of " << place.chunksTotal << " chunks\n";
    std::ranges::for_each(place.failures, [&out](const auto& aFailure) {
      out << "  " << aFailure.vm << ": " << aFailure.reason << "\n";
    });
  }
  return out.str();
}

std::string
ShowJson(const RolloutProgress& aProgress)
{
  std::ostringstream out;
  out << "{\"version\":" << telemetry::QuoteJson(aProgress.version)
      << ",\"done\":" << (aProgress.IsDone() ? "true" : "false")
      << ",\"data_centres\":[";
  const char* separator = "";
  for (const auto& [name, place] : aProgress.places) {
    out << separator << "{\"name\":" << telemetry::QuoteJson(name)
        << ",\"vms\":" << place.vms << ",\"ready\":" << place.ready
        << ",\"chunks_held\":" << place.chunksHeld
        << ",\"chunks_total\":" << place.chunksTotal
        << ",\"failed\":" << ShowFailuresJson(place.failures) << "}";
    separator = ",";
  }
  out << "]}\n";
  return out.str();
}

} // namespace waxwingyoke::tool
