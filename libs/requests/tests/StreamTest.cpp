#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "CallerSink.h"
#include "FingerprintChecker.h"
#include "Frames.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;

namespace {

// Splits aText into parts of random sizes, at most 40 bytes.
std::vector<std::string>
Split(const std::string& aText, std::mt19937& aRandom)
{
  std::vector<std::string> parts;
  std::size_t offset = 0;
  while (offset < aText.size()) {
    auto size = 1 + aRandom() % 40;
    parts.push_back(aText.substr(offset, size));
    offset += size;
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
  bool IsPeerDisconnected() override { return false; }
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

TEST_CASE("frames are read from a stream that is split at any byte")
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
  for (const auto& part : Split(bytes, random)) {
    reader.Feed(part);
    while (reader.Next(frame) == FrameResult::Frame) {
      ++frames;
    }
  }
  CHECK(frames == 51);
  CHECK(frame.has_end());
}

TEST_CASE("a frame that exceeds the maximum length is malformed, not awaited")
{
  FrameReader reader;
  schema::AnswerFrame frame;
  reader.Feed("\xff\xff\xff\xff");
  CHECK(reader.Next(frame) == FrameResult::Broken);
}

TEST_CASE("an answer of two versions is detected wherever it is split")
{
  std::string expected(64, 'a');
  std::string unexpected(64, 'b');
  auto event = [](const std::string& aVersion) {
    return "data: {\"id\":1,\"system_fingerprint\": \"" + aVersion + "\"}\n\n";
  };
  for (unsigned seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto check = [&](const std::string& aText) {
      FingerprintChecker fingerprints(expected);
      bool all = true;
      for (const auto& part : Split(aText, random)) {
        all = all && fingerprints.Check(part);
      }
      return all;
    };
    CHECK(check(event(expected) + event(expected)));
    CHECK_FALSE(check(event(expected) + event(unexpected) + event(expected)));
  }
}

TEST_CASE("the end mark of a stream is held back until the answer is verified")
{
  RecordingWriter writer;
  CallerSink sink(writer, true);
  sink.OnHead(MakeStreamHead());
  sink.OnData("data: one\n\ndata: t");
  CHECK(writer.text == "data: one\n\n");
  sink.OnData("wo\n\ndata: [DONE]\n\n");
  CHECK(writer.text == "data: one\n\ndata: two\n\n");
  CHECK(sink.GetSentEventCount() == 2);
  CHECK(sink.IsComplete());
  sink.Finish();
  CHECK(writer.text == "data: one\n\ndata: two\n\ndata: [DONE]\n\n");
  CHECK(writer.finished);
}

TEST_CASE("a failed stream ends in an error event, never in an end mark")
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

// Guards against a plain service's stream that broke off and reached its caller
// framed as complete: it has no end mark that could be missing.
TEST_CASE("broken off: a stream without end marks that ends within an event is "
          "not complete")
{
  const std::string event = "data: one\n\n";
  for (std::size_t bytes = 0; bytes <= event.size(); ++bytes) {
    CAPTURE(bytes);
    RecordingWriter writer;
    CallerSink sink(writer, false);
    sink.OnHead(MakeStreamHead());
    sink.OnData(event + event.substr(0, bytes));
    CHECK(sink.IsComplete() == (bytes == 0 || bytes == event.size()));
  }
}

TEST_CASE("events with lines that end in CRLF are sent as they arrive")
{
  RecordingWriter writer;
  CallerSink sink(writer, false);
  sink.OnHead(MakeStreamHead());
  sink.OnData("data: one\r\n\r\ndata: two\r\n\r\ndata: thr");
  CHECK(writer.text == "data: one\r\n\r\ndata: two\r\n\r\n");
  CHECK(sink.GetSentEventCount() == 2);
  sink.Reset();
  sink.OnHead(MakeStreamHead());
  sink.OnData("data: one\r\n\r\ndata: two\r\n\r\ndata: three\r\n\r\n");
  CHECK(writer.text == "data: one\r\n\r\ndata: two\r\n\r\ndata: three\r\n\r\n");
  CHECK(sink.IsComplete());
}

TEST_CASE("an answer that is not a stream is sent completely or not at all")
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
  CallerSink complete(other, false);
  complete.OnHead(head);
  complete.OnData("half");
  complete.OnData("whole");
  complete.Finish();
  CHECK(other.status == 201);
  CHECK(other.text == "halfwhole");
}

TEST_CASE("a resumed stream continues at the byte where the first one broke")
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
    auto delivered = writer.text.size();
    sink.Reset();
    sink.OnHead(MakeStreamHead());
    for (const auto& part : Split(second, random)) {
      CHECK(sink.OnData(part));
    }
    CHECK(sink.IsComplete());
    sink.Finish();
    CHECK(writer.text == first.substr(0, delivered) + second.substr(delivered));
  }
}

TEST_CASE("two streams that differ are never joined")
{
  RecordingWriter writer;
  CallerSink sink(writer, true);
  sink.OnHead(MakeStreamHead());
  sink.OnData("data: {\"choices\":[1]}\n\n");
  sink.Reset();
  sink.OnHead(MakeStreamHead());
  CHECK_FALSE(sink.OnData("data: {\"choices\":[2]}\n\n"));
  CHECK(sink.HasDiverged());
  CHECK(writer.text == "data: {\"choices\":[1]}\n\n");
}

// Guards against an error of the next upstream that becomes part of a stream
// which has begun, or ends it as if it were complete.
TEST_CASE("a stream is not resumed by an answer that is not its rest")
{
  const std::string event = "data: {\"choices\":[1]}\n\n";
  schema::AnswerHead text;
  text.set_status(200);
  schema::AnswerHead missing;
  missing.set_status(404);
  for (const auto& head : { text, missing, MakeStreamHead() }) {
    for (const auto* body : { "",
                              "wrong",
                              "wrong\n\n",
                              "HTTP/1.1 500 Error\r\n\r\n",
                              ": wrong\n" }) {
      CAPTURE(head.status());
      CAPTURE(body);
      RecordingWriter writer;
      CallerSink sink(writer, true);
      sink.OnHead(MakeStreamHead());
      sink.OnData(event + "data: {");
      sink.Reset();
      sink.OnHead(head);
      sink.OnData(body);
      CHECK_FALSE((sink.IsComplete() && !sink.HasDiverged()));
      CHECK(writer.text == event);
      CHECK_FALSE(writer.finished);
    }
  }
}
