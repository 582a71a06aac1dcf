#ifndef waxwingyoke_utils_Hash_h
#define waxwingyoke_utils_Hash_h

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingyoke::utils {

/**
 * Mixes the bits so that each input bit affects all output bits (the 64-bit
 * finalizer of MurmurHash3). The same on every VM and in every release.
 */
std::uint64_t
MixBits(std::uint64_t aValue);

/**
 * A seeded 64-bit hash: FNV-1a followed by MixBits. The same on every VM and
 * in every release.
 */
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

/**
 * Returns aMembers sorted by their rendezvous hash for aKey, first rank
 * first. Every VM with the same members computes the same order; adding or
 * removing a member leaves the relative order of the others unchanged.
 */
std::vector<std::string>
RankMembers(std::string_view aKey, std::vector<std::string> aMembers);

/** A random 128-bit id as 32 hex digits, from OpenSSL's generator. */
std::string
MakeUniqueId();

} // namespace waxwingyoke::utils

#endif // waxwingyoke_utils_Hash_h
