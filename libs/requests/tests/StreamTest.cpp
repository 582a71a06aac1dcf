#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "CallerSink.h"
#include "Fingerprints.h"
#include "Frames.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;

namespace {

// Cuts aText into parts of random sizes.
std::vector<std::string>
Cut(const std::string& aText, std::mt19937& aRandom)
{
  std::vector<std::string> parts;
  std::size_t at = 0;
  while (at < aText.size()) {
    auto size = 1 + aRandom() % 40;
    parts.push_back(aText.substr(at, size));
    at += size;
  }
  return parts;
}

class RecordingWriter : public net::ResponseWriter
{
public:
  bool Send(const net::HttpResponse& aResponse) override
  {
    status = aResponse.status;
    text = aResponse.body;
    return finished = true;
  }
  bool Start(int aStatus, const net::HttpFields&) override
  {
    status = aStatus;
    return true;
  }
  bool Write(std::string_view aPart) override
  {
    text += aPart;
    return true;
  }
  bool Finish() override { return finished = true; }
  bool IsPeerGone() override { return false; }
  bool IsStarted() const override { return status != 0; }

  int status = 0;
  std::string text;
  bool finished = false;
};

schema::AnswerHead
MakeStreamHead()
{
  schema::AnswerHead head;
  head.set_status(200);
  auto* field = head.add_fields();
  field->set_name("Content-Type");
  field->set_value("text/event-stream");
  return head;
}

} // namespace

TEST_CASE("frames survive any cut of the stream")
{
  std::mt19937 random(7);
  std::string bytes;
  for (int i = 0; i < 50; ++i) {
    AppendData(std::string(random() % 100 + 1, 'x'), bytes);
  }
  schema::AnswerFrame end;
  end.mutable_end()->set_error("none");
  AppendFrame(end, bytes);
  FrameReader reader;
  schema::AnswerFrame frame;
  int frames = 0;
  for (const auto& part : Cut(bytes, random)) {
    reader.Feed(part);
    while (reader.Next(frame) == FrameResult::Frame) {
      ++frames;
    }
  }
  CHECK(frames == 51);
  CHECK(frame.has_end());
}

TEST_CASE("a frame of absurd length is broken, not awaited")
{
  FrameReader reader;
  schema::AnswerFrame frame;
  reader.Feed("\xff\xff\xff\xff");
  CHECK(reader.Next(frame) == FrameResult::Broken);
}

TEST_CASE("an answer of two versions is found wherever it is cut")
{
  std::string good(64, 'a');
  std::string bad(64, 'b');
  auto event = [](const std::string& aVersion) {
    return "data: {\"id\":1,\"system_fingerprint\": \"" + aVersion + "\"}\n\n";
  };
  for (unsigned seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto check = [&](const std::string& aText) {
      Fingerprints fingerprints(good);
      bool all = true;
      for (const auto& part : Cut(aText, random)) {
        all = all && fingerprints.Check(part);
      }
      return all;
    };
    CHECK(check(event(good) + event(good)));
    CHECK_FALSE(check(event(good) + event(bad) + event(good)));
  }
}

TEST_CASE("a stream's end mark waits until the answer is checked")
{
  RecordingWriter writer;
  CallerSink sink(writer, true);
  sink.OnHead(MakeStreamHead());
  sink.OnData("data: one\n\ndata: t");
  CHECK(writer.text == "data: one\n\n");
  sink.OnData("wo\n\ndata: [DONE]\n\n");
  CHECK(writer.text == "data: one\n\ndata: two\n\n");
  CHECK(sink.GetEvents() == 2);
  CHECK(sink.HasEndMark());
  sink.Finish();
  CHECK(writer.text == "data: one\n\ndata: two\n\ndata: [DONE]\n\n");
  CHECK(writer.finished);
}

TEST_CASE("a broken stream ends in an error event, never in an end mark")
{
  RecordingWriter writer;
  CallerSink sink(writer, true);
  sink.OnHead(MakeStreamHead());
  sink.OnData("data: one\n\ndata: [DONE]\n\n");
  sink.Fail({ utils::ErrorKind::AnswerBroken, "x" }, utils::Millis(0));
  CHECK(writer.text.find("[DONE]") == std::string::npos);
  CHECK(writer.text.find("event: error") != std::string::npos);
  CHECK(writer.text.find("\"run\":\"yes\"") != std::string::npos);
}

TEST_CASE("an answer that is not a stream goes out whole or not at all")
{
  RecordingWriter writer;
  CallerSink sink(writer, false);
  schema::AnswerHead head;
  head.set_status(201);
  sink.OnHead(head);
  sink.OnData("half");
  CHECK(writer.status == 0);
  sink.Fail({ utils::ErrorKind::Overloaded, "x" }, utils::Millis(1500));
  CHECK(writer.status == 429);
  RecordingWriter other;
  CallerSink whole(other, false);
  whole.OnHead(head);
  whole.OnData("half");
  whole.OnData("whole");
  whole.Finish();
  CHECK(other.status == 201);
  CHECK(other.text == "halfwhole");
}

TEST_CASE("a broken stream goes on where it broke, wherever that was")
{
  auto event = [](int aNumber, const char* aId) {
    return std::string("data: {\"id\":\"") + aId + "\",\"choices\":[" +
           std::to_string(aNumber) + "]}\n\n";
  };
  std::string first;
  std::string second;
  for (int i = 0; i < 8; ++i) {
    first += event(i, "a");
    second += event(i, "b");
  }
  second += "data: [DONE]\n\n";
  for (unsigned seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    RecordingWriter writer;
    CallerSink sink(writer, true);
    sink.OnHead(MakeStreamHead());
    sink.OnData(first.substr(0, random() % first.size()));
    auto given = writer.text.size();
    sink.Reset();
    sink.OnHead(MakeStreamHead());
    for (const auto& part : Cut(second, random)) {
      CHECK(sink.OnData(part));
    }
    CHECK(sink.HasEndMark());
    sink.Finish();
    CHECK(writer.text == first.substr(0, given) + second.substr(given));
  }
}

TEST_CASE("two generations that differ are never joined")
{
  RecordingWriter writer;
  CallerSink sink(writer, true);
  sink.OnHead(MakeStreamHead());
  sink.OnData("data: {\"choices\":[1]}\n\n");
  sink.Reset();
  sink.OnHead(MakeStreamHead());
  CHECK_FALSE(sink.OnData("data: {\"choices\":[2]}\n\n"));
  CHECK(sink.IsParted());
  CHECK(writer.text == "data: {\"choices\":[1]}\n\n");
}
