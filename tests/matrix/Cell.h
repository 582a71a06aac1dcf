#ifndef waxwingyoke_matrix_Cell_h
#define waxwingyoke_matrix_Cell_h

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <bed/Bed.h>
#include <profiles/Publisher.h>

#include "Traffic.h"

namespace waxwingyoke::matrix {

/** Identifies a cell of the matrix: a step, its faults and the seed. */
struct CellName
{
  std::string step;
  /** Names of one or two faults. */
  std::vector<std::string> faults;
  std::uint64_t seed = 1;

  /** The text "step x fault+fault, seed N". */
  std::string ToString() const;
};

/** The result of one cell. */
struct CellResult
{
  CellName name;
  /** Violated guarantees, one line each; empty if the cell passed. */
  std::vector<std::string> findings;
};

/** An operator's change of the model's profile. */
struct Change
{
  std::string version;
  /** Empty while the outcome is unknown. */
  std::optional<profiles::PublishResult> result;
  /** The operator has stopped retrying. */
  bool done = false;
};

/**
 * The state of one cell's run: a new test bed, its callers, the operators'
 * changes and the VMs that the faults and the step act on.
 */
struct Cell
{
  Cell(bed::Bed& aBed, std::uint64_t aSeed);

  bed::Bed& bed;
  std::uint64_t seed;
  std::mt19937_64 random;
  Traffic traffic;

  /** Faults act on the victims and steps on the targets. No side or entry is
   * both. */
  bed::BedNode* victimSide = nullptr;
  bed::BedNode* victimService = nullptr;
  bed::BedNode* victimEntry = nullptr;
  bed::BedNode* targetSide = nullptr;
  bed::BedNode* targetEntry = nullptr;

  /** In the order in which the operators started them. */
  std::vector<std::unique_ptr<Change>> changes;
  /** Number of changes that are not done. */
  std::size_t pendingChanges = 0;

  std::vector<std::string> findings;

  /** Index of the first traffic record after the preparation of the step. */
  std::size_t firstRecord = 0;

  /** Creates a new version of the model's weights; returns its digest. */
  std::string MakeVersion();

  /** Starts an operator that publishes or changes the model's profile, in a
   * fiber of its own. */
  void StartChange(const std::string& aVersion);

  /** Waits until all changes are done. */
  void WaitChanges();

  /** Publishes the service's profile and, with aWithModel, the model's, and
   * waits until every entry serves them. Throws if one does not. */
  void PublishAndWait(bool aWithModel);

  void AddFinding(const std::string& aFinding) { findings.push_back(aFinding); }
};

/** How long a test bed may take to recover after a fault. */
inline constexpr utils::Millis kRecoveryTimeout(30000);

/** Runs one cell in a new test bed. */
CellResult
RunCell(const CellName& aName);

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Cell_h
