#ifndef waxwingyoke_profiles_Preview_h
#define waxwingyoke_profiles_Preview_h

#include <string>
#include <vector>

#include <profiles/Fold.h>

namespace waxwingyoke::profiles {

/** A VM that a change gives other work, or other weights. */
struct TouchedVm
{
  std::string vm;
  /** Name of the profile before and after; empty: none. */
  std::string before;
  std::string after;
  /** Whether it fetches and loads a version that it does not hold. */
  bool loads = false;
};

/** What a change would do if it were appended now. */
struct Preview
{
  FoldResult result;
  std::vector<TouchedVm> vms;
  /** Wanted against what is in force, a line for each field. */
  std::string difference;
  /** Which requests are decided otherwise, a line each. */
  std::vector<std::string> requests;
};

/** Folds the change into a copy and compares. */
Preview
MakePreview(const Fold& aFold,
            const schema::ProfileChange& aChange,
            const schema::VmList& aVms);

/** For operators, on several lines. */
std::string
Show(const Preview& aPreview);

/** Wanted against standing, a line for each field that differs. */
std::string
DescribeDifference(const schema::Profile* aStanding,
                   const schema::Profile& aWanted);

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Preview_h
