#include <doctest/doctest.h>

#include <schema/Json.h>
#include <schema/Nesting.h>
#include <schema/log.pb.h>

using namespace waxwingyoke;

TEST_CASE("a message is unchanged after a JSON round trip")
{
  schema::Profile profile;
  profile.set_name("hydrant-summaries");
  profile.mutable_vms()->set_group("llm-pool");
  schema::Profile copy;
  utils::Error reason;
  REQUIRE(schema::FromJson(schema::ToJson(profile), copy, reason));
  CHECK(copy.vms().group() == "llm-pool");
}

TEST_CASE("FromJson refuses an unknown field")
{
  schema::Profile profile;
  utils::Error reason;
  CHECK_FALSE(schema::FromJson(R"({"nmae": "x"})", profile, reason));
  CHECK(reason.kind == utils::ErrorKind::BadRequest);
}

// Guards against nesting that the bound doesn't count, but a parser does.
TEST_CASE("nesting is counted as a parser sees it")
{
  auto isBounded = &schema::IsNestingBounded;
  std::string deep(schema::kMaxNesting + 1, '[');
  CHECK(isBounded(std::string(schema::kMaxNesting, '[')));
  CHECK(isBounded(R"({"a":")" + deep + R"(\"[[","b":[{}]})"));
  CHECK(isBounded(""));
  CHECK(isBounded("\"\\"));
  CHECK_FALSE(isBounded(deep));
  CHECK_FALSE(isBounded(R"("\\")" + deep));
  CHECK_FALSE(isBounded(std::string(schema::kMaxNesting, ']') + deep));
  CHECK_FALSE(isBounded("[}" + deep));
  CHECK_FALSE(isBounded("/*\"*/" + deep));
  CHECK_FALSE(isBounded("'\"'" + deep));
}
