#include <doctest/doctest.h>

#include <membership/ClusterStatus.h>

using namespace waxwingyoke;
using namespace waxwingyoke::membership;

namespace {

NodeReport
MakeReport(const std::string& aVm, std::uint64_t aOffset)
{
  NodeReport report;
  report.vm.set_id(aVm);
  report.vm.set_data_centre("osl-sone1");
  report.reply.emplace();
  report.reply->set_config_offset(aOffset);
  return report;
}

} // namespace

TEST_CASE("lagging nodes are listed, leaving VMs are not waited for")
{
  ClusterStatus status;
  status.log.available = true;
  status.log.nextOffset = 7;
  status.nodes = { MakeReport("at-end", 7),
                   MakeReport("behind", 5),
                   MakeReport("silent", 0),
                   MakeReport("listed-leaving", 3),
                   MakeReport("says-leaving", 3) };
  status.nodes[2].reply.reset();
  status.nodes[2].failure = "timed out";
  status.nodes[3].vm.set_leaving(true);
  status.nodes[4].reply->mutable_status()->set_leaving(true);

  auto lagging = FindLaggingNodes(status, status.GetTargetOffset());
  REQUIRE(lagging.size() == 2);
  CHECK(lagging[0].vm == "behind");
  CHECK(lagging[1].vm == "silent");
  auto text = Show(status, status.GetTargetOffset());
  CHECK(text.find("behind in osl-sone1: at revision 5") != std::string::npos);
  CHECK(text.find("timed out") != std::string::npos);
  CHECK(FindLaggingNodes(status, 0).size() == 1);
}

TEST_CASE("without the log, the highest offset of any node is the target")
{
  ClusterStatus status;
  status.nodes = { MakeReport("a", 4), MakeReport("b", 6) };
  CHECK(status.GetTargetOffset() == 6);
  CHECK(FindLaggingNodes(status, 6).size() == 1);
  CHECK(Show(status, 6).find("NOT AVAILABLE") != std::string::npos);
}
