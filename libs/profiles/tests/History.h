#ifndef waxwingyoke_profiles_tests_History_h
#define waxwingyoke_profiles_tests_History_h

#include <cstdint>
#include <string>
#include <vector>

#include <schema/log.pb.h>
#include <schema/platform.pb.h>

namespace waxwingyoke::profiles::tests {

/** A valid profile of a plain service for one group of VMs. */
schema::Profile
MakeProfile(const std::string& aName, const std::string& aGroup);

/** A record with one change, as the tool writes it. */
std::string
MakeChange(const std::string& aId,
           schema::ChangeKind aKind,
           std::uint64_t aReplaces,
           const schema::Profile& aProfile,
           const std::string& aAuthor = "anna");

/**
 * A config stream of aCount records made from aSeed: changes with right and
 * stale revisions, repeats, overlaps, retirements, quarantine, snapshots
 * (whole, late and false), unknown, broken and oversized records.
 */
std::vector<schema::StoredRecord>
MakeHistory(std::uint64_t aSeed, std::size_t aCount);

/** What a reader is given that asks from aFrom on while aFirst is kept. */
schema::LogPage
MakePage(const std::vector<schema::StoredRecord>& aHistory,
         std::uint64_t aFirst,
         std::uint64_t aFrom,
         std::size_t aMax);

} // namespace waxwingyoke::profiles::tests

#endif // waxwingyoke_profiles_tests_History_h
