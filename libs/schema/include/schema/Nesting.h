#ifndef waxwingyoke_schema_Nesting_h
#define waxwingyoke_schema_Nesting_h

#include <cstddef>
#include <string>

// Included by C++14 and C++20 sources, so it must be valid C++14.

namespace waxwingyoke {
namespace schema {

/** Levels of lists and objects in a JSON text; our messages have up to ten. */
constexpr std::size_t kMaxNesting = 32;

/**
 * Whether aJson is nested no more deeply than kMaxNesting. Checked before text
 * of others is parsed: parsers call themselves for each level, on a fiber's
 * stack. False also for ends without a begin, and for comments and texts in
 * single quotes, which some parsers read although JSON lacks them.
 */
bool
IsNestingBounded(const std::string& aJson);

} // namespace schema
} // namespace waxwingyoke

#endif // waxwingyoke_schema_Nesting_h
