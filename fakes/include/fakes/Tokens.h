#ifndef waxwingyoke_fakes_Tokens_h
#define waxwingyoke_fakes_Tokens_h

#include <cstddef>
#include <string>
#include <string_view>

namespace waxwingyoke::fakes {

/** Number of tokens in the answer to a request without max_tokens. */
inline constexpr std::size_t kDefaultTokens = 16;

/**
 * Returns the token that the engine fake generates at aIndex. It depends on the
 * prompt and the version alone, so that tests can check an answer.
 */
std::string
MakeToken(std::string_view aPrompt,
          std::string_view aVersion,
          std::size_t aIndex);

/** Returns the complete answer of aCount tokens. */
std::string
MakeAnswer(std::string_view aPrompt,
           std::string_view aVersion,
           std::size_t aCount);

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_Tokens_h
