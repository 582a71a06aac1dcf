#ifndef waxwingyoke_matrix_Page_h
#define waxwingyoke_matrix_Page_h

#include <string>
#include <vector>

#include "Cell.h"

namespace waxwingyoke::matrix {

/** Appends a result to a file, for WritePage. */
void
AppendResult(const std::string& aFile, const CellResult& aResult);

/** Writes docs/FAULT-MATRIX.md from a file of results. */
bool
WritePage(const std::string& aResults, const std::string& aPage);

/** aCount cells of two different faults each, drawn by the seed. */
std::vector<CellName>
ListPairs(std::size_t aCount, std::uint64_t aSeed);

} // namespace waxwingyoke::matrix

#endif // waxwingyoke_matrix_Page_h
