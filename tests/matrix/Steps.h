#ifndef waxwingyoke_matrix_Steps_h
#define waxwingyoke_matrix_Steps_h

#include <functional>
#include <string>
#include <vector>

#include "Cell.h"

namespace waxwingyoke::matrix {

/** One column of the matrix: what goes on when the fault strikes. */
struct Step
{
  std::string name;
  std::vector<CallKind> traffic;
  /** Before callers start. */
  std::function<void(Cell&)> prepare;
  /** Begins the step and returns when the fault is to strike. */
  std::function<void(Cell&)> act;
  /** Goes on while the fault lasts. */
  std::function<void(Cell&)> during;
  /** Ends the step once the fault has passed. */
  std::function<void(Cell&)> finish;
  /** Whether all VMs still run at its end. */
  bool endsVms = false;
};

/** All steps, in the order of the page. */
const std::vector<Step>&
GetSteps();

/** Null for an unknown name. */
const Step*
FindStep(const std::string& aName);

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Steps_h
