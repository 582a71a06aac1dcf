#ifndef waxwingyoke_matrix_Faults_h
#define waxwingyoke_matrix_Faults_h

#include <functional>
#include <string>
#include <vector>

#include "Cell.h"

namespace waxwingyoke::matrix {

/** How long a fault lasts; longer than the daemons' own short timeouts. */
inline constexpr utils::Millis kFaultDuration(2500);

/** A row of the matrix: a fault. */
struct Fault
{
  std::string name;
  std::function<void(Cell&)> inject;
  /** Ends the fault. */
  std::function<void(Cell&)> lift;
  /** Every request must get its complete answer during the fault. */
  bool requestsUnaffected = false;
};

/** All faults, in the order of the page. The first one is "none". */
const std::vector<Fault>&
GetFaults();

/** The faults with these names, in this order; leaves out unknown ones. */
std::vector<const Fault*>
FindFaults(const std::vector<std::string>& aNames);

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Faults_h
