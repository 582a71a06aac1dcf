#include <fakes/Tokens.h>

#include <utils/Hash.h>

namespace waxwingyoke::fakes {

std::string
MakeToken(std::string_view aPrompt,
          std::string_view aVersion,
          std::size_t aIndex)
{
  constexpr std::uint64_t kWords = 100000;
  auto seed = utils::StableHash(aVersion, aIndex);
  return "w" + std::to_string(utils::StableHash(aPrompt, seed) % kWords) + " ";
}

std::string
MakeAnswer(std::string_view aPrompt,
           std::string_view aVersion,
           std::size_t aCount)
{
  std::string answer;
  for (std::size_t i = 0; i < aCount; ++i) {
    answer += MakeToken(aPrompt, aVersion, i);
  }
  return answer;
}

} // namespace waxwingyoke::fakes
