#include <doctest/doctest.h>

#include <dispatch/RefusalMemory.h>

using namespace waxwingyoke::dispatch;
using waxwingyoke::utils::Millis;

TEST_CASE("a caller that comes back is known with its first time")
{
  RefusalMemory memory;
  CHECK_FALSE(memory.Find(7));
  memory.Note({ 7, Millis(1000) }, Millis(1000));
  memory.Note({ 7, Millis(1800) }, Millis(1800));
  CHECK(memory.Find(7) == Millis(1000));
}

TEST_CASE("callers that gave up long ago are forgotten")
{
  RefusalMemory memory;
  memory.Note({ 7, Millis(1000) }, Millis(1000));
  memory.Note({ 8, Millis(60000) }, Millis(60000));
  CHECK_FALSE(memory.Find(7));
  CHECK(memory.Find(8));
}

TEST_CASE("other entries are told twice")
{
  RefusalMemory memory;
  memory.Announce({ 7, Millis(0) });
  CHECK(memory.TakeNews().size() == 1);
  memory.Announce({ 8, Millis(0) });
  CHECK(memory.TakeNews().size() == 2);
  CHECK(memory.TakeNews().size() == 1);
  CHECK(memory.TakeNews().empty());
}
