#ifndef waxwingyoke_matrix_Guarantees_h
#define waxwingyoke_matrix_Guarantees_h

#include <map>
#include <string>
#include <vector>

#include "Cell.h"
#include "Faults.h"
#include "Steps.h"

namespace waxwingyoke::matrix {

/** Records, in a fiber of its own, the sequence of versions that each engine
 * holds. */
class VersionMonitor
{
public:
  explicit VersionMonitor(Cell& aCell);

  /** Stops recording and waits for the fiber. */
  void Stop();

  /** The versions in the order in which they were observed, by VM id. */
  const std::map<std::string, std::vector<std::string>>& GetHistory() const
  {
    return history_;
  }

private:
  void Loop();

  Cell& cell_;
  bool stopping_ = false;
  bool stopped_ = false;
  std::map<std::string, std::vector<std::string>> history_;
};

/** Checks the records of callers, upstreams and operators, and that the test
 * bed has recovered; adds each violation to the cell's findings. */
void
CheckGuarantees(Cell& aCell,
                const Step& aStep,
                const std::vector<const Fault*>& aFaults);

/** Checks that no engine reverted to an older version or held one whose change
 * was not accepted; adds each violation to the cell's findings. */
void
CheckVersions(Cell& aCell, const VersionMonitor& aMonitor);

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Guarantees_h
