#include <doctest/doctest.h>

#include <set>

#include <utils/Error.h>

using namespace waxwingyoke::utils;

TEST_CASE("every error kind has its own row, name and RPC code")
{
  std::set<std::string_view> names;
  std::set<int> codes;
  for (int i = 0; i < static_cast<int>(ErrorKind::Count); ++i) {
    auto kind = static_cast<ErrorKind>(i);
    const auto& traits = GetErrorTraits(kind);
    CHECK(traits.kind == kind);
    CHECK(ParseErrorKind(traits.name) == kind);
    names.insert(traits.name);
    codes.insert(traits.rpcCode);
  }
  CHECK(names.size() == static_cast<std::size_t>(ErrorKind::Count));
  CHECK(codes.size() == names.size());
  CHECK_FALSE(ParseErrorKind("no such kind"));
}
