#include <doctest/doctest.h>

#include <EventRelay.h>

using waxwingyoke::fleet::EventRelay;

TEST_CASE("only complete events are forwarded")
{
  EventRelay relay;
  relay.Add("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(relay.TakeEvents() == "id: 1\ndata: a\n\n");
  CHECK(relay.GetLastEventId() == "1");
  CHECK(relay.EndsInsideEvent());
  CHECK(relay.GetRemainderBytes() == 8);
  CHECK(relay.TakeEvents().empty());
  relay.Add("ta: b\n\n");
  CHECK(relay.TakeEvents() == "id: 2\ndata: b\n\n");
  CHECK_FALSE(relay.EndsInsideEvent());
  CHECK(relay.GetRemainderBytes() == 0);
}

TEST_CASE("another upstream resumes without a gap or a duplicate")
{
  EventRelay relay;
  relay.Add("id: 1\ndata: a\n\nid: 2\ndata: cut");
  relay.TakeEvents();
  relay.DiscardPartialEvent();
  CHECK(relay.GetRemainderBytes() == 0);
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
  CHECK(relay.GetRemainderBytes() == 0);
}

// Guards against events that reach the caller only at the end of the stream,
// and are then taken for one that broke off, as their lines end in CRLF.
TEST_CASE("events with lines that end in CRLF are forwarded as they arrive")
{
  EventRelay relay;
  relay.Add("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3\r\n");
  CHECK(relay.TakeEvents() ==
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n");
  CHECK(relay.GetLastEventId() == "2");
  CHECK(relay.GetEventCount() == 2);
  CHECK(relay.EndsInsideEvent());
  relay.DiscardPartialEvent();
  relay.Add("id: 2\r\ndata: b\r\n\r\nid: 3\r\ndata: c\r\n\r\n");
  CHECK(relay.TakeEvents() == "id: 3\r\ndata: c\r\n\r\n");
  CHECK_FALSE(relay.EndsInsideEvent());
}

// Guards against an error's text that is relayed as the rest of a stream.
TEST_CASE("a resumed stream stops at an event that does not continue it")
{
  for (const auto* foreign : { "wrong\n\n",
                               "wrong text: x\nid: 3\ndata: 3\n\n",
                               "HTTP/1.1 500 Error\nid: 3\n\n",
                               "event: error\ndata: x\n\n",
                               "id: x\ndata: 3\n\n" }) {
    CAPTURE(foreign);
    EventRelay relay;
    relay.Add("id: 1\ndata: 1\n\ndata: ");
    CHECK(relay.TakeEvents() == "id: 1\ndata: 1\n\n");
    relay.DiscardPartialEvent();
    relay.Add("id: 1\ndata: 1\n\nv: 2\nid: 2\ndata: 2\n\n");
    relay.Add(foreign);
    relay.Add("id: 4\ndata: 4\n\n");
    CHECK(relay.TakeEvents() == "v: 2\nid: 2\ndata: 2\n\n");
    CHECK(relay.HasForeignEvent());
    CHECK(relay.GetLastEventId() == "2");
    relay.DiscardPartialEvent();
    relay.Add(": alive\n\nid: 3\ndata: 3\n\n");
    CHECK(relay.TakeEvents() == ": alive\n\nid: 3\ndata: 3\n\n");
    CHECK_FALSE(relay.HasForeignEvent());
  }
}
