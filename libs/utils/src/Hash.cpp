#include <utils/Hash.h>

#include <algorithm>
#include <utility>

#include <openssl/rand.h>

namespace waxwingyoke::utils {

namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

struct Ranked
{
  std::uint64_t weight;
  std::string member;
};

} // namespace

// FNV-1a alone gives short keys similar high bits, which would skew the
// ranking, since it compares hashes as numbers.
std::uint64_t
MixBits(std::uint64_t aValue)
{
  aValue ^= aValue >> 33;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  return aValue ^ aValue >> 33;
}

std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  std::uint64_t hash = kFnvOffset ^ MixBits(aSeed);
  std::ranges::for_each(aBytes, [&hash](char aByte) {
    hash = (hash ^ static_cast<std::uint8_t>(aByte)) * kFnvPrime;
  });
  return MixBits(hash);
}

std::vector<std::string>
RankMembers(std::string_view aKey, std::vector<std::string> aMembers)
{
  auto keyHash = StableHash(aKey);
  std::vector<Ranked> ranked;
  ranked.reserve(aMembers.size());
  std::ranges::for_each(aMembers, [&](std::string& aMember) {
    ranked.push_back({ StableHash(aMember, keyHash), std::move(aMember) });
  });
  std::ranges::sort(ranked, [](const Ranked& aLeft, const Ranked& aRight) {
    if (aLeft.weight != aRight.weight) {
      return aLeft.weight > aRight.weight;
    }
    return aLeft.member < aRight.member;
  });
  std::vector<std::string> members;
  members.reserve(ranked.size());
  std::ranges::for_each(ranked, [&members](Ranked& aRanked) {
    members.push_back(std::move(aRanked.member));
  });
  return members;
}

std::string
MakeUniqueId()
{
  constexpr std::size_t kIdBytes = 16;
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  unsigned char bytes[kIdBytes];
  RAND_bytes(bytes, sizeof(bytes));
  std::string id;
  id.reserve(2 * kIdBytes);
  std::ranges::for_each(bytes, [&](unsigned char aByte) {
    id += kHexDigits[aByte >> 4];
    id += kHexDigits[aByte & 0xf];
  });
  return id;
}

} // namespace waxwingyoke::utils
