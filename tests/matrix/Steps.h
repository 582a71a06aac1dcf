#ifndef waxwingyoke_matrix_Steps_h
#define waxwingyoke_matrix_Steps_h

#include <functional>
#include <string>
#include <vector>

#include "Cell.h"

namespace waxwingyoke::matrix {

/** A column of the matrix: the operation that the fault interrupts. */
struct Step
{
  std::string name;
  /** Kinds of requests that are sent; a repeated kind gets more callers. */
  std::vector<CallKind> traffic;
  /** Runs before the callers start. */
  std::function<void(Cell&)> prepare;
  /** Starts the operation and returns when the fault is to be injected. */
  std::function<void(Cell&)> start;
  /** Continues the operation during the fault. */
  std::function<void(Cell&)> during;
  /** Completes the operation after the fault. */
  std::function<void(Cell&)> finish;
  /** Whether the step takes the target side out of service. */
  bool removesVm = false;
};

/** All steps, in the order of the page. */
const std::vector<Step>&
GetSteps();

/** Null for an unknown name. */
const Step*
FindStep(const std::string& aName);

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Steps_h
