// Notices between processes that carry bytes of other writers.

#include <doctest/doctest.h>

#include <cstdint>
#include <optional>
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

namespace {

/** A log that answers nothing. */
class SilentLog : public platform::KeyedLog
{
public:
  std::optional<platform::KeyedPage> ReadNewest(platform::Topic,
                                                utils::Error&) override
  {
    return std::nullopt;
  }
  std::optional<platform::KeyedPage> Read(platform::Topic,
                                          std::uint64_t,
                                          utils::Millis,
                                          utils::Error&) override
  {
    return std::nullopt;
  }
  bool Append(platform::Topic,
              const std::string&,
              const std::string&,
              utils::Error&) override
  {
    return false;
  }
};

} // namespace

// Guards against state that counts as confirmed in the future, and so for good,
// since an age out of range became negative.
TEST_CASE("a peer's age out of range counts as old")
{
  constexpr utils::Millis kLong(std::int64_t{ 1 } << 40);
  for (auto age : { ~std::uint64_t{ 0 },
                    std::uint64_t{ 1 } << 63,
                    (std::uint64_t{ 1 } << 63) - 1 }) {
    CAPTURE(age);
    SilentLog log;
    platform::FleetCodecs codecs;
    codecs.parseConfig = [](std::string_view, utils::Error&) {
      platform::FleetConfig config;
      config.version = 1;
      return std::optional(config);
    };
    fleet::ConfigFollower follower(log, codecs, {});
    schema::OperatorRecord record;
    record.set_config("1");
    record.set_age_ms(age);
    auto& row = *record.add_versions();
    row.set_model("m");
    row.set_version(1);
    row.set_age_ms(age);
    row.set_observed_age_ms(age);
    row.set_learnt_live(true);
    follower.ApplyPeerRecord(record, follower.Now());
    CHECK(follower.GetAge() >= kLong);
    REQUIRE(follower.FindLimitStart("m", 0));
    CHECK(*follower.FindLimitStart("m", 0) < utils::Millis(0));
  }
}
