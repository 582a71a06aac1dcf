#include <routing/Chooser.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

#include <utils/Hash.h>

namespace waxwingyoke::routing {

namespace {

using Pool = std::vector<const Candidate*>;

std::int64_t
GetLoad(const Candidate* aCandidate)
{
  return aCandidate->state->GetLoad();
}

bool
IsAllowed(const Candidate& aCandidate, const ChoiceQuery& aQuery)
{
  bool isExcluded =
    std::ranges::find(aQuery.excluded, aCandidate.incarnation) !=
    aQuery.excluded.end();
  return !isExcluded &&
         (aQuery.version.empty() || aQuery.version == aCandidate.version);
}

int
GetDistance(const Candidate& aCandidate, const ChoiceQuery& aQuery)
{
  if (aCandidate.dataCentre == aQuery.dataCentre) {
    return 0;
  }
  return aCandidate.region == aQuery.region ? 1 : 2;
}

// An ejected side is out of rotation; afterwards it takes a growing share of
// the requests. The draw differs for each side and request.
bool
IsInRotation(const Candidate& aCandidate, const ChoiceQuery& aQuery)
{
  if (aCandidate.state->IsEjected(aQuery.now)) {
    return false;
  }
  constexpr std::uint64_t kDraws = 1024;
  auto draw = utils::MixBits(aQuery.random ^ aCandidate.hash) % kDraws;
  return static_cast<double>(draw) <
         static_cast<double>(kDraws) *
           aCandidate.state->GetTrafficShare(aQuery.now);
}

const Candidate*
ChooseLeastLoaded(const Pool& aPool, const ChoiceQuery& aQuery)
{
  // Breaks ties at random, so that entries do not all choose the same side.
  auto rank = [&aQuery](const Candidate* aCandidate) {
    auto relative = static_cast<double>(GetLoad(aCandidate)) /
                    static_cast<double>(aCandidate->slots);
    return std::pair(relative,
                     utils::MixBits(aQuery.random ^ aCandidate->hash));
  };
  return *std::ranges::min_element(aPool, {}, rank);
}

const Candidate*
ChooseOfTwo(const Pool& aPool, const ChoiceQuery& aQuery)
{
  const auto* first = aPool[utils::MixBits(aQuery.random) % aPool.size()];
  const auto* second = aPool[utils::MixBits(aQuery.random + 1) % aPool.size()];
  return GetLoad(second) < GetLoad(first) ? second : first;
}

const Candidate*
ChooseByHash(const Pool& aPool, const ChoiceQuery& aQuery)
{
  auto total = std::transform_reduce(
    aPool.begin(), aPool.end(), std::int64_t{ 0 }, std::plus<>(), GetLoad);
  auto mean =
    static_cast<double>(total + 1) / static_cast<double>(aPool.size());
  auto bound = static_cast<std::int64_t>(std::ceil(kLoadBound * mean));
  auto rank = [&aQuery, bound](const Candidate* aCandidate) {
    return std::pair(GetLoad(aCandidate) < bound,
                     utils::MixBits(aQuery.affinity ^ aCandidate->hash));
  };
  return *std::ranges::max_element(aPool, {}, rank);
}

const Candidate*
ChooseByPolicy(const Pool& aPool, const ChoiceQuery& aQuery)
{
  if (aQuery.policy == Policy::LeastLoaded) {
    return ChooseLeastLoaded(aPool, aQuery);
  }
  if (aQuery.policy == Policy::TwoChoices || aQuery.affinity == 0) {
    return ChooseOfTwo(aPool, aQuery);
  }
  return ChooseByHash(aPool, aQuery);
}

bool
HasFreeSlot(const Candidate* aCandidate)
{
  return GetLoad(aCandidate) < aCandidate->slots;
}

struct PolicyName
{
  std::string_view name;
  Policy policy;
};

constexpr std::array<PolicyName, 3> kPolicyNames{
  { { "bounded_hash", Policy::BoundedHash },
    { "two_choices", Policy::TwoChoices },
    { "least_loaded", Policy::LeastLoaded } }
};

} // namespace

Policy
ParsePolicy(std::string_view aName)
{
  auto row = std::ranges::find(kPolicyNames, aName, &PolicyName::name);
  return row == kPolicyNames.end() ? Policy::BoundedHash : row->policy;
}

const Candidate*
Choose(const Candidates& aCandidates, const ChoiceQuery& aQuery)
{
  Pool allowed;
  Pool pool;
  for (const auto& candidate : aCandidates) {
    if (!IsAllowed(candidate, aQuery)) {
      continue;
    }
    allowed.push_back(&candidate);
    if (IsInRotation(candidate, aQuery)) {
      pool.push_back(&candidate);
    }
  }
  if (allowed.empty()) {
    return nullptr;
  }
  if (pool.empty()) {
    return ChooseLeastLoaded(allowed, aQuery);
  }
  for (int distance = 0; distance <= 2; ++distance) {
    Pool candidates;
    std::ranges::copy_if(
      pool, std::back_inserter(candidates), [&](const Candidate* aCandidate) {
        return GetDistance(*aCandidate, aQuery) <= distance;
      });
    if (std::ranges::any_of(candidates, HasFreeSlot)) {
      return ChooseByPolicy(candidates, aQuery);
    }
  }
  return ChooseLeastLoaded(pool, aQuery);
}

} // namespace waxwingyoke::routing
