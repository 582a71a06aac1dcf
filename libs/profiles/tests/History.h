#ifndef waxwingyoke_profiles_tests_History_h
#define waxwingyoke_profiles_tests_History_h

#include <cstdint>
#include <string>
#include <vector>

#include <schema/log.pb.h>
#include <schema/platform.pb.h>

namespace waxwingyoke::profiles::tests {

/** Makes a valid profile of a plain service for one group of VMs. */
schema::Profile
MakeProfile(const std::string& aName, const std::string& aGroup);

/** Makes a serialised record with one change, as the tool appends it. */
std::string
MakeChange(const std::string& aId,
           schema::ChangeKind aKind,
           std::uint64_t aReplaces,
           const schema::Profile& aProfile,
           const std::string& aAuthor = "anna");

/**
 * Makes a config stream of aCount random records from aSeed: changes with
 * current and stale revisions, repeats, overlaps, retirements, quarantine
 * changes, snapshots (valid, delayed and with a wrong digest), and unknown,
 * malformed and oversized records.
 */
std::vector<schema::StoredRecord>
MakeHistory(std::uint64_t aSeed, std::size_t aCount);

/**
 * Makes the page that the log returns for a read of at most aMax records from
 * aFrom on, if aFirst is the first offset that was not trimmed.
 */
schema::LogPage
MakePage(const std::vector<schema::StoredRecord>& aHistory,
         std::uint64_t aFirst,
         std::uint64_t aFrom,
         std::size_t aMax);

} // namespace waxwingyoke::profiles::tests

#endif // waxwingyoke_profiles_tests_History_h
