#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>

#include <Evacuations.h>

using namespace waxwingyoke;
using namespace waxwingyoke::fleet;
using utils::Millis;

namespace {

using Rows = std::map<std::string, std::uint64_t>;

constexpr Millis kNow(10000);

} // namespace

TEST_CASE("evacuations: a state applies only if its offset is newer")
{
  Evacuations reader;
  reader.ApplyChanges({ { "dc1", 3, false }, { "dc2", 4, false } }, 5);
  Evacuations other;
  other.ApplyState(reader.MakeState(kNow), kNow);
  CHECK(other.List() == Rows{ { "dc1", 3 }, { "dc2", 4 } });
  CHECK(other.GetEnd() == 5);
  auto old = reader.MakeState(kNow);
  reader.ApplyChanges({ { "dc1", 5, true }, { "dc2", 6, false } }, 7);
  other.ApplyState(reader.MakeState(kNow), kNow);
  CHECK(other.List() == Rows{ { "dc2", 6 } });
  other.ApplyState(old, kNow);
  CHECK(other.List() == Rows{ { "dc2", 6 } });
  CHECK(other.GetEnd() == 7);
}

TEST_CASE("evacuations: records that are applied already change nothing")
{
  Evacuations state;
  state.ApplyNewest({ { "dc1", 3, false } }, 5);
  state.ApplyChanges({ { "dc1", 2, true }, { "dc2", 4, false } }, 5);
  CHECK(state.List() == Rows{ { "dc1", 3 } });
  state.ApplyNewest({}, 4);
  CHECK(state.List() == Rows{ { "dc1", 3 } });
  state.ApplyNewest({}, 6);
  CHECK(state.List().empty());
}

TEST_CASE("evacuations: offsets of the epoch before say nothing of the next")
{
  Evacuations state;
  state.ApplyChanges({ { "dc1", 30, false }, { "dc2", 31, false } }, 32);
  state.BeginEpoch(kNow + Millis(100));
  CHECK(state.GetEnd() == 0);
  state.ApplyNewest({ { "dc2", 0, false } }, 1);
  CHECK(state.List() == Rows{ { "dc1", 30 }, { "dc2", 0 } });
  state.Confirm(kNow);
  CHECK(state.List().contains("dc1"));
  state.Confirm(kNow + Millis(100));
  CHECK(state.List() == Rows{ { "dc2", 0 } });
}

// Guards against processes that keep an evacuation for ever as each has it from
// the other.
TEST_CASE("evacuations: what is kept is not prolonged when it is passed on")
{
  Evacuations first;
  first.ApplyChanges({ { "dc1", 3, false } }, 4);
  first.BeginEpoch(kNow + Millis(100));
  Evacuations second;
  constexpr Millis kTransit(30);
  second.ApplyState(first.MakeState(kNow + kTransit), kNow);
  first.ApplyState(second.MakeState(kNow + kTransit), kNow);
  CHECK(second.List().contains("dc1"));
  CHECK(first.MakeState(kNow).kept_ms() == 100);
  CHECK(second.MakeState(kNow).kept_ms() == 70);
  first.Confirm(kNow + Millis(100));
  first.ApplyState(second.MakeState(kNow + Millis(200)), kNow + Millis(200));
  CHECK(first.List().empty());
}

TEST_CASE("evacuations: odd states of a peer name no data centre")
{
  Evacuations state;
  schema::EvacuationState odd;
  odd.set_end(3);
  odd.add_evacuated()->set_offset(9);
  odd.add_kept("");
  odd.set_kept_ms(INT64_MIN);
  state.ApplyState(odd, kNow);
  odd.set_kept_ms(INT64_MAX);
  state.ApplyState(odd, kNow);
  CHECK(state.List().empty());
  CHECK(state.GetEnd() == 3);
}
