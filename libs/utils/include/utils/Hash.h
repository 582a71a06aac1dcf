#ifndef waxwingyoke_utils_Hash_h
#define waxwingyoke_utils_Hash_h

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingyoke::utils {

/** Spreads a change of any bit over all bits; the same everywhere. */
std::uint64_t
MixBits(std::uint64_t aValue);

/** A stable 64-bit hash: the same on every VM and in every release. */
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

/**
 * The members in the order of their rendezvous hash for aKey, first rank
 * first. Every VM with the same members computes the same order; a member
 * that comes or goes moves nobody else's place relative to the others.
 */
std::vector<std::string>
RankMembers(std::string_view aKey, std::vector<std::string> aMembers);

/** A fresh id of 32 hex digits from the machine's randomness. */
std::string
MakeUniqueId();

} // namespace waxwingyoke::utils

#endif // waxwingyoke_utils_Hash_h
