#include <doctest/doctest.h>

#include <schema/Json.h>
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
