#ifndef waxwingyoke_profiles_Validate_h
#define waxwingyoke_profiles_Validate_h

#include <cstddef>

#include <schema/log.pb.h>
#include <utils/Error.h>

namespace waxwingyoke::profiles {

/** Largest record of the config stream, snapshots aside, bytes. */
inline constexpr std::size_t kMaxChangeBytes = 64 << 10;

/** Largest snapshot record, bytes. */
inline constexpr std::size_t kMaxSnapshotBytes = 8 << 20;

/** Most profiles that live at once. */
inline constexpr std::size_t kMaxProfiles = 1024;

/**
 * Whether a change may stand in the log at all, whatever is in force. The
 * tool and the fold share it; a release that changes it folds differently
 * and so needs a new record format.
 */
bool
ValidateChange(const schema::ProfileChange& aChange, utils::Error& aReason);

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Validate_h
