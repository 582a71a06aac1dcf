// Notices between processes that carry bytes of other writers.

#include <doctest/doctest.h>

#include <string>

#include <ConfigFollower.h>
#include <schema/fleet.pb.h>

using namespace waxwingyoke;

// Guards against processes that no longer share what they read, as one odd key
// in the log makes each message with it unreadable.
TEST_CASE("a message with a key of any bytes is read by its receiver")
{
  const std::string odd("\xff\xfe\0odd", 6);
  schema::FleetNotice notice;
  notice.mutable_entry()->mutable_directory()->add_records()->set_key(odd);
  schema::FleetNotice receivedNotice;
  REQUIRE(receivedNotice.ParseFromString(notice.SerializeAsString()));
  CHECK(receivedNotice.entry().directory().records(0).key() == odd);

  schema::OperatorRecord record;
  record.add_versions()->set_model(odd);
  schema::OperatorRecord receivedRecord;
  REQUIRE(receivedRecord.ParseFromString(record.SerializeAsString()));
  CHECK(receivedRecord.versions(0).model() == odd);

  schema::FleetNotice side;
  side.mutable_side()->set_staged_model(odd);
  schema::FleetNotice receivedSide;
  REQUIRE(receivedSide.ParseFromString(side.SerializeAsString()));
  CHECK(receivedSide.side().staged_model() == odd);
}
