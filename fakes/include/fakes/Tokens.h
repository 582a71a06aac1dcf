#ifndef waxwingyoke_fakes_Tokens_h
#define waxwingyoke_fakes_Tokens_h

#include <cstddef>
#include <string>
#include <string_view>

namespace waxwingyoke::fakes {

/** Tokens of an answer whose request names no max_tokens. */
inline constexpr std::size_t kDefaultTokens = 16;

/** The token that the engine stand-in gives at aIndex: it follows from the
 * prompt and the version alone, so that an answer can be checked. */
std::string
MakeToken(std::string_view aPrompt,
          std::string_view aVersion,
          std::size_t aIndex);

/** The whole answer of aCount tokens. */
std::string
MakeAnswer(std::string_view aPrompt,
           std::string_view aVersion,
           std::size_t aCount);

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_Tokens_h
