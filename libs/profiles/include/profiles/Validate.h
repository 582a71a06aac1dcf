#ifndef waxwingyoke_profiles_Validate_h
#define waxwingyoke_profiles_Validate_h

#include <cstddef>

#include <schema/log.pb.h>
#include <utils/Error.h>

namespace waxwingyoke::profiles {

/** Largest record of the config stream other than a snapshot, bytes. */
inline constexpr std::size_t kMaxChangeBytes = 64 << 10;

/** Largest snapshot record, bytes. */
inline constexpr std::size_t kMaxSnapshotBytes = 8 << 20;

/** Maximum number of live profiles. */
inline constexpr std::size_t kMaxProfiles = 1024;

/**
 * Returns whether a change is well-formed, independently of the configuration
 * in force. The tool and the fold share these rules: a release that changes
 * them folds the same records differently and needs a new record format.
 */
bool
ValidateChange(const schema::ProfileChange& aChange, utils::Error& aReason);

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Validate_h
