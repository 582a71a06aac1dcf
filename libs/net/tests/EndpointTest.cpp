#include <doctest/doctest.h>

#include <net/Endpoint.h>
#include <net/Http.h>

using namespace waxwingyoke::net;

TEST_CASE("an endpoint parses its own text and rejects any other")
{
  auto endpoint = Endpoint::Parse("127.0.0.1:7000");
  REQUIRE(endpoint);
  CHECK(endpoint->ToString() == "127.0.0.1:7000");
  CHECK_FALSE(Endpoint::Parse("127.0.0.1"));
  CHECK_FALSE(Endpoint::Parse("127.0.0.1:"));
  CHECK_FALSE(Endpoint::Parse("127.0.0.1:70000"));
  CHECK_FALSE(Endpoint::Parse(":7000"));
}

TEST_CASE("a query's parameters are found by name")
{
  CHECK(FindQuery("/a?from=7&max=9", "max") == "9");
  CHECK(FindQuery("/a?from=7", "max").empty());
  CHECK(FindQuery("/a", "max").empty());
  CHECK(GetPath("/a?from=7") == "/a");
}
