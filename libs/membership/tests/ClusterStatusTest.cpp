#include <doctest/doctest.h>

#include <membership/ClusterStatus.h>

using namespace waxwingyoke;
using namespace waxwingyoke::membership;

namespace {

NodeAccount
MakeAccount(const std::string& aVm, std::uint64_t aOffset)
{
  NodeAccount account;
  account.vm.set_id(aVm);
  account.vm.set_data_centre("osl-sone1");
  account.reply.emplace();
  account.reply->set_config_offset(aOffset);
  return account;
}

} // namespace

TEST_CASE("laggards are named, leaving VMs are not waited for")
{
  ClusterStatus status;
  status.log.available = true;
  status.log.nextOffset = 7;
  status.nodes = { MakeAccount("at-end", 7),
                   MakeAccount("behind", 5),
                   MakeAccount("silent", 0),
                   MakeAccount("listed-leaving", 3),
                   MakeAccount("says-leaving", 3) };
  status.nodes[2].reply.reset();
  status.nodes[2].failure = "timed out";
  status.nodes[3].vm.set_leaving(true);
  status.nodes[4].reply->mutable_status()->set_leaving(true);

  auto laggards = FindLaggards(status, status.GetWantedOffset());
  REQUIRE(laggards.size() == 2);
  CHECK(laggards[0].vm == "behind");
  CHECK(laggards[1].vm == "silent");
  auto text = Show(status, status.GetWantedOffset());
  CHECK(text.find("behind in osl-sone1: at revision 5") != std::string::npos);
  CHECK(text.find("timed out") != std::string::npos);
  CHECK(FindLaggards(status, 0).size() == 1);
}

TEST_CASE("while the log is out, the furthest node tells what is wanted")
{
  ClusterStatus status;
  status.nodes = { MakeAccount("a", 4), MakeAccount("b", 6) };
  CHECK(status.GetWantedOffset() == 6);
  CHECK(FindLaggards(status, 6).size() == 1);
  CHECK(Show(status, 6).find("NOT AVAILABLE") != std::string::npos);
}
