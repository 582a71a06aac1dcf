#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <PermitExpiryTracker.h>
#include <PermitFold.h>
#include <PermitPolling.h>
#include <TicketFold.h>

using namespace waxwingyoke;
using namespace waxwingyoke::weights;
using utils::Millis;

namespace {

constexpr unsigned kSeed = 20261203;

schema::OriginTicket
MakeTicket(std::uint32_t aExtent,
           std::uint64_t aRevision = 1,
           bool aUrgent = false)
{
  schema::OriginTicket ticket;
  ticket.set_version("v");
  ticket.set_revision(aRevision);
  ticket.set_extent(aExtent);
  ticket.set_extents(48);
  ticket.set_urgent(aUrgent);
  return ticket;
}

schema::PermitRequest
MakeRequest(const std::string& aVm,
            std::uint64_t aRevision,
            std::uint32_t aLimit,
            const std::string& aIncarnation = "1")
{
  schema::PermitRequest request;
  request.set_profile("p");
  request.set_revision(aRevision);
  request.set_vm(aVm);
  request.set_incarnation(aIncarnation);
  request.set_max_unavailable(aLimit);
  return request;
}

schema::PermitRelease
MakeRelease(const Permit& aPermit)
{
  schema::PermitRelease release;
  release.set_profile("p");
  release.set_revision(aPermit.revision);
  release.set_vm(aPermit.vm);
  release.set_incarnation(aPermit.incarnation);
  release.set_request_offset(aPermit.offset);
  return release;
}

std::vector<std::string>
ListGranted(const PermitFold& aFold)
{
  std::vector<std::string> granted;
  for (const auto& permit : aFold.GetPermits("p")) {
    if (permit.granted) {
      granted.push_back(permit.vm);
    }
  }
  return granted;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE(
  "an extent gets four tickets per publication for any number of requests")
{
  std::mt19937 random(kSeed);
  TicketFold fold;
  std::map<std::uint32_t, std::size_t> granted;
  for (int step = 0; step < 2000; ++step) {
    auto extent = static_cast<std::uint32_t>(random() % 48);
    auto id = std::to_string(random() % 900);
    bool repeated = fold.IsKnown(id);
    bool before = fold.IsGranted(id);
    fold.Apply(id, MakeTicket(extent));
    CHECK(fold.IsKnown(id));
    if (repeated) {
      CHECK(fold.IsGranted(id) == before);
    } else {
      granted[extent] += fold.IsGranted(id) ? 1 : 0;
    }
  }
  CHECK(std::ranges::all_of(granted, [](const auto& aEntry) {
    return aEntry.second == kMaxOriginCopies;
  }));
  fold.Apply("next", MakeTicket(0, 2));
  CHECK(fold.IsGranted("next"));
}

TEST_CASE("urgent tickets are granted from the budget unused by other extents")
{
  TicketFold fold;
  std::size_t granted = 0;
  for (int i = 0; i < 1000; ++i) {
    auto id = std::to_string(i);
    auto extent = static_cast<std::uint32_t>(i % 3);
    fold.Apply(id, MakeTicket(extent, 1, i >= 12));
    granted += fold.IsGranted(id) ? 1 : 0;
    CHECK(fold.IsGranted(id) == (i < 48 * 4));
  }
  CHECK(granted == 48 * kMaxOriginCopies);
}

TEST_CASE("a VM with more VMs ahead in the queue polls the log less often")
{
  PermitFold fold;
  for (std::uint64_t offset = 1; offset <= 100; ++offset) {
    fold.Apply(offset, MakeRequest("vm-" + std::to_string(offset), 5, 4));
  }
  const auto& permits = fold.GetPermits("p");
  CHECK(GetPollPause(permits, 0, 4) == Millis(300));
  CHECK(GetPollPause(permits, 4, 4) == Millis(300));
  CHECK(GetPollPause(permits, 9, 4) == Millis(900));
  CHECK(GetPollPause(permits, 100, 4) == Millis(3000));
  CHECK(GetPollPause(permits, 9, 0) == Millis(2700));
}

// A retried release reaches the log twice; the second must not release the
// permit that the same VM requested in between.
TEST_CASE("a repeated release does not release a later permit")
{
  PermitFold fold;
  fold.Apply(1, MakeRequest("a", 5, 1));
  auto release = MakeRelease(fold.GetPermits("p")[0]);
  fold.Apply(release);
  fold.Apply(3, MakeRequest("a", 5, 1));
  fold.Apply(release);
  CHECK(ListGranted(fold) == Names{ "a" });
}

TEST_CASE("permits are granted in the log's order and stay until released")
{
  PermitFold fold;
  fold.Apply(1, MakeRequest("a", 5, 2));
  fold.Apply(2, MakeRequest("b", 5, 2));
  fold.Apply(3, MakeRequest("c", 5, 2));
  fold.Apply(4, MakeRequest("a", 5, 2));
  CHECK(ListGranted(fold) == Names{ "a", "b" });
  fold.Apply(MakeRelease(fold.GetPermits("p")[0]));
  CHECK(ListGranted(fold) == Names{ "b", "c" });
  // A newer revision drops waiting requests; granted permits count until
  // released.
  fold.Apply(5, MakeRequest("d", 5, 2));
  fold.Apply(6, MakeRequest("e", 6, 1));
  CHECK(ListGranted(fold) == Names{ "b", "c" });
  CHECK(fold.Find("p", 5, "d", "1") == nullptr);
  fold.Apply(7, MakeRequest("f", 5, 9));
  CHECK(fold.Find("p", 5, "f", "1") == nullptr);
  fold.Apply(MakeRelease(*fold.Find("p", 5, "b", "1")));
  CHECK(ListGranted(fold) == Names{ "c" });
  fold.Apply(MakeRelease(*fold.Find("p", 5, "c", "1")));
  CHECK(ListGranted(fold) == Names{ "e" });
  // A request of a VM's new process replaces that of its old one and queues at
  // the end.
  fold.Apply(8, MakeRequest("f", 6, 1));
  fold.Apply(9, MakeRequest("e", 6, 1, "2"));
  CHECK(ListGranted(fold) == Names{ "f" });
}

TEST_CASE("random requests and releases never grant more than the maximum")
{
  std::mt19937 random(kSeed);
  for (int history = 0; history < 200; ++history) {
    PermitFold fold;
    auto limit = static_cast<std::uint32_t>(1 + random() % 3);
    for (std::uint64_t offset = 0; offset < 60; ++offset) {
      const auto& permits = fold.GetPermits("p");
      auto vm = std::string(1, static_cast<char>('a' + random() % 6));
      if (random() % 3 != 0 || permits.empty()) {
        auto revision = 1 + offset / 20;
        auto incarnation = std::to_string(random() % 2);
        fold.Apply(offset, MakeRequest(vm, revision, limit, incarnation));
      } else {
        auto at = random() % permits.size();
        fold.Apply(MakeRelease(Permit(permits[at])));
      }
      auto granted = ListGranted(fold);
      REQUIRE(granted.size() <= limit);
      // No request waits while fewer than the maximum are granted.
      REQUIRE(granted.size() ==
              std::min<std::size_t>(limit, fold.GetPermits("p").size()));
    }
  }
}

TEST_CASE("others release a permit only after its holder has stopped using it")
{
  CHECK(kPermitHoldTime < kPermitLifetime);
  PermitExpiryTracker tracker;
  std::vector<Permit> permits{ { 7, "a", "1", 5, true },
                               { 8, "b", "1", 5, false } };
  bool orphaned = false;
  auto expired = [&](Millis aNow) {
    return tracker
      .ListExpired(
        permits, [&](const Permit&) { return orphaned; }, aNow)
      .size();
  };
  CHECK(expired(Millis(100)) == 0);
  CHECK(expired(Millis(99) + kPermitLifetime) == 0);
  // A waiting permit does not expire.
  CHECK(expired(Millis(100) + kPermitLifetime) == 1);
  // Permits of processes that no longer exist expire sooner, also waiting ones.
  orphaned = true;
  CHECK(expired(Millis(200) + kPermitLifetime) == 1);
  CHECK(expired(Millis(200) + kPermitLifetime + kOrphanedPermitLifetime) == 2);
  // The orphaned time restarts at zero if the process reappeared in between.
  orphaned = false;
  permits[0].offset = 9;
  auto later = kPermitLifetime * 2;
  CHECK(expired(later) == 0);
  orphaned = true;
  CHECK(expired(later + kOrphanedPermitLifetime) == 0);
}
