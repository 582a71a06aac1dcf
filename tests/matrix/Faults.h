#ifndef waxwingyoke_matrix_Faults_h
#define waxwingyoke_matrix_Faults_h

#include <functional>
#include <string>
#include <vector>

#include "Cell.h"

namespace waxwingyoke::matrix {

/** How long a fault lasts; longer than the daemons' own short deadlines. */
inline constexpr utils::Millis kFaultTime(2500);

/** One row of the matrix. */
struct Fault
{
  std::string name;
  std::function<void(Cell&)> inject;
  std::function<void(Cell&)> lift;
  /** Whether every request must still get its whole answer meanwhile. */
  bool sparesRequests = false;
};

/** All faults, in the order of the page. */
const std::vector<Fault>&
GetFaults();

/** Those with these names, in their order. */
std::vector<const Fault*>
FindFaults(const std::vector<std::string>& aNames);

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Faults_h
