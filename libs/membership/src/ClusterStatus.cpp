#include <membership/ClusterStatus.h>

#include <algorithm>
#include <map>

namespace waxwingyoke::membership {

namespace {

/** Totals over the nodes of one data centre. */
struct DataCentreSummary
{
  std::size_t nodes = 0;
  std::size_t relays = 0;
  std::uint64_t lowest = UINT64_MAX;
  std::uint64_t highest = 0;
  std::int64_t oldestMs = 0;
};

std::map<std::string, DataCentreSummary>
Summarise(const ClusterStatus& aStatus)
{
  std::map<std::string, DataCentreSummary> summaries;
  std::ranges::for_each(aStatus.nodes, [&summaries](const NodeReport& aNode) {
    auto& summary = summaries[aNode.vm.region() + "/" + aNode.vm.data_centre()];
    ++summary.nodes;
    if (!aNode.reply) {
      return;
    }
    summary.relays += aNode.reply->relay() ? 1 : 0;
    summary.lowest = std::min(summary.lowest, aNode.reply->config_offset());
    summary.highest = std::max(summary.highest, aNode.reply->config_offset());
    summary.oldestMs = std::max(summary.oldestMs, aNode.reply->age_ms());
  });
  return summaries;
}

std::string
ShowDataCentres(const ClusterStatus& aStatus)
{
  std::string text;
  for (const auto& [name, summary] : Summarise(aStatus)) {
    text += name + ": ";
    if (summary.lowest > summary.highest) {
      text += "no answer";
    } else {
      text += "revision " + std::to_string(summary.lowest) +
              " in force everywhere, up to " + std::to_string(summary.highest) +
              ", seen " + std::to_string(summary.oldestMs) + " ms ago";
    }
    text += ", " + std::to_string(summary.nodes) + " nodes, " +
            std::to_string(summary.relays) + " relays\n";
  }
  return text;
}

std::string
ShowLog(const LogReport& aLog)
{
  if (!aLog.available) {
    return "log: NOT AVAILABLE, no change can be accepted; what is in force "
           "stays: " +
           aLog.failure + "\n";
  }
  return "log: available, records " + std::to_string(aLog.firstOffset) +
         " to " + std::to_string(aLog.nextOffset) + "\n";
}

std::string
ShowAppends(const ClusterStatus& aStatus)
{
  std::map<std::string, schema::AppendUse> uses;
  std::uint64_t mismatches = 0;
  std::ranges::for_each(aStatus.nodes, [&](const NodeReport& aNode) {
    if (!aNode.reply) {
      return;
    }
    mismatches += aNode.reply->snapshot_mismatches();
    std::ranges::for_each(aNode.reply->appends(), [&uses](const auto& aUse) {
      auto& sum = uses[aUse.use()];
      sum.set_sent(sum.sent() + aUse.sent());
      sum.set_held_back(sum.held_back() + aUse.held_back());
    });
  });
  std::string text = "appends since the processes started:";
  for (const auto& [use, sum] : uses) {
    text += " " + use + " " + std::to_string(sum.sent());
    if (sum.held_back() > 0) {
      text += " (" + std::to_string(sum.held_back()) + " held back)";
    }
  }
  text += "\n";
  if (mismatches > 0) {
    text += "WARNING: " + std::to_string(mismatches) +
            " snapshots differ from the state of their readers\n";
  }
  return text;
}

} // namespace

std::uint64_t
ClusterStatus::GetTargetOffset() const
{
  if (log.available) {
    return log.nextOffset;
  }
  std::uint64_t furthest = 0;
  std::ranges::for_each(nodes, [&furthest](const NodeReport& aNode) {
    if (aNode.reply) {
      furthest = std::max(furthest, aNode.reply->config_offset());
    }
  });
  return furthest;
}

std::vector<LaggingNode>
FindLaggingNodes(const ClusterStatus& aStatus, std::uint64_t aOffset)
{
  std::vector<LaggingNode> lagging;
  std::ranges::for_each(aStatus.nodes, [&](const NodeReport& aNode) {
    bool isLeaving =
      aNode.vm.leaving() || (aNode.reply && aNode.reply->status().leaving());
    bool isReached = aNode.reply && aNode.reply->config_offset() >= aOffset;
    if (isLeaving || isReached) {
      return;
    }
    auto reason = aNode.reply ? "at revision " +
                                  std::to_string(aNode.reply->config_offset())
                              : "no answer: " + aNode.failure;
    lagging.push_back({ aNode.vm.id(), aNode.vm.data_centre(), reason });
  });
  return lagging;
}

std::string
Show(const ClusterStatus& aStatus, std::uint64_t aOffset)
{
  auto text = ShowLog(aStatus.log) + ShowDataCentres(aStatus);
  auto lagging = FindLaggingNodes(aStatus, aOffset);
  text += "revision " + std::to_string(aOffset) +
          (lagging.empty() ? " is in force on every node\n"
                           : " is NOT in force on " +
                               std::to_string(lagging.size()) + " nodes:\n");
  std::ranges::for_each(lagging, [&text](const LaggingNode& aLagging) {
    text += "  " + aLagging.vm + " in " + aLagging.dataCentre + ": " +
            aLagging.reason + "\n";
  });
  return text + ShowAppends(aStatus);
}

} // namespace waxwingyoke::membership
