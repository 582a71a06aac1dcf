#include <doctest/doctest.h>

#include <EventRelay.h>

using waxwingyoke::fleet::EventRelay;

TEST_CASE("only complete events are forwarded")
{
  EventRelay relay;
  relay.Add("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(relay.TakeEvents() == "id: 1\ndata: a\n\n");
  CHECK(relay.GetLastEventId() == "1");
  CHECK(relay.HasRemainder());
  CHECK(relay.TakeEvents().empty());
  relay.Add("ta: b\n\n");
  CHECK(relay.TakeEvents() == "id: 2\ndata: b\n\n");
  CHECK_FALSE(relay.HasRemainder());
}

TEST_CASE("another upstream resumes without a gap or a duplicate")
{
  EventRelay relay;
  relay.Add("id: 1\ndata: a\n\nid: 2\ndata: cut");
  relay.TakeEvents();
  relay.DiscardPartialEvent();
  CHECK_FALSE(relay.HasRemainder());
  relay.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(relay.TakeEvents() == "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(relay.GetLastEventId() == "3");
}

TEST_CASE("an event with an unknown field is forwarded unchanged")
{
  EventRelay relay;
  std::string event = "some-version: 2\nid: 7\ndata: a\n\n";
  relay.Add(event);
  CHECK(relay.TakeEvents() == event);
  CHECK(relay.GetLastEventId() == "7");
}

TEST_CASE("bytes left at the end of a response are returned unchanged")
{
  EventRelay relay;
  relay.Add("id: 1\ndata: a\n\ntail");
  relay.TakeEvents();
  CHECK(relay.TakeRemainder() == "tail");
  CHECK_FALSE(relay.HasRemainder());
}
