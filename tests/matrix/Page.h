#ifndef waxwingyoke_matrix_Page_h
#define waxwingyoke_matrix_Page_h

#include <string>
#include <vector>

#include "Cell.h"

namespace waxwingyoke::matrix {

/** Appends a result to a file that WritePage reads. */
void
AppendResult(const std::string& aFile, const CellResult& aResult);

/** Writes the page docs/FAULT-MATRIX.md from a file of results; false if there
 * are no results or the page cannot be written. */
bool
WritePage(const std::string& aResults, const std::string& aPage);

/** Random cells of two faults each, aCount of them; aSeed determines them. */
std::vector<CellName>
ListPairs(std::size_t aCount, std::uint64_t aSeed);

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Page_h
