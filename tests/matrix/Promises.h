#ifndef waxwingyoke_matrix_Promises_h
#define waxwingyoke_matrix_Promises_h

#include <map>
#include <string>
#include <vector>

#include "Cell.h"
#include "Faults.h"
#include "Steps.h"

namespace waxwingyoke::matrix {

/** Follows which versions each engine holds, one after the other. */
class VersionWatch
{
public:
  explicit VersionWatch(Cell& aCell);

  void Stop();

  /** By VM id. */
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

/** Checks what callers, upstreams and operators saw, and that the bed is
 * whole again; adds what is broken to the cell's findings. */
void
CheckPromises(Cell& aCell,
              const Step& aStep,
              const std::vector<const Fault*>& aFaults);

/** No engine went back from an accepted version, or held a refused one. */
void
CheckVersions(Cell& aCell, const VersionWatch& aWatch);

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Promises_h
