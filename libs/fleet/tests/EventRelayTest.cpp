#include <doctest/doctest.h>

#include <EventRelay.h>

using waxwingyoke::fleet::EventRelay;

TEST_CASE("only whole events pass")
{
  EventRelay relay;
  relay.Add("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(relay.TakeEvents() == "id: 1\ndata: a\n\n");
  CHECK(relay.GetLastId() == "1");
  CHECK(relay.HasRest());
  CHECK(relay.TakeEvents().empty());
  relay.Add("ta: b\n\n");
  CHECK(relay.TakeEvents() == "id: 2\ndata: b\n\n");
  CHECK_FALSE(relay.HasRest());
}

TEST_CASE("another upstream goes on without a gap or a repeat")
{
  EventRelay relay;
  relay.Add("id: 1\ndata: a\n\nid: 2\ndata: cut");
  relay.TakeEvents();
  relay.BeginAnew();
  CHECK_FALSE(relay.HasRest());
  relay.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(relay.TakeEvents() == "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(relay.GetLastId() == "3");
}

TEST_CASE("an event that names another version passes as it is")
{
  EventRelay relay;
  std::string event = "some-version: 2\nid: 7\ndata: a\n\n";
  relay.Add(event);
  CHECK(relay.TakeEvents() == event);
  CHECK(relay.GetLastId() == "7");
}

TEST_CASE("what is left at a complete end is taken as it is")
{
  EventRelay relay;
  relay.Add("id: 1\ndata: a\n\ntail");
  relay.TakeEvents();
  CHECK(relay.TakeRest() == "tail");
  CHECK_FALSE(relay.HasRest());
}
