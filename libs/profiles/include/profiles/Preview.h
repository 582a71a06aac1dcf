#ifndef waxwingyoke_profiles_Preview_h
#define waxwingyoke_profiles_Preview_h

#include <string>
#include <vector>

#include <profiles/Fold.h>

namespace waxwingyoke::profiles {

/** A VM whose profile or profile revision a change replaces. */
struct AffectedVm
{
  std::string vm;
  /** Names of the profile before and after; empty if there is none. */
  std::string before;
  std::string after;
  /** Whether the VM has to fetch and load another version. */
  bool loads = false;
};

/** The effects that a change would have if it were appended now. */
struct Preview
{
  FoldResult result;
  std::vector<AffectedVm> vms;
  /** The proposed profile against the one in force, a line per field. */
  std::string difference;
  /** The changes of the request rules, a line each. */
  std::vector<std::string> requests;
};

/** Folds the change into a copy of aFold and compares the two states. */
Preview
MakePreview(const Fold& aFold,
            const schema::ProfileChange& aChange,
            const schema::VmList& aVms);

/** Formats a preview as several lines of text for operators. */
std::string
Show(const Preview& aPreview);

/**
 * Describes how the proposed profile differs from the current one, a line per
 * field; aCurrent may be null. Revision and author are not compared.
 */
std::string
DescribeDifference(const schema::Profile* aCurrent,
                   const schema::Profile& aProposed);

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Preview_h
