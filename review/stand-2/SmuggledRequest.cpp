#include "Stand.h"

#include <algorithm>
#include <deque>

#include <unistd.h>

// A client names a transfer coding that is not
// chunked, and no length. The bytes of the body are the text of a request.

namespace waxwingyoke::review {

namespace {

constexpr std::int64_t kStartMs = 15000;
constexpr std::int64_t kPhaseMs = 4000;
constexpr std::int64_t kWaitMs = 1500;
const std::vector<std::string> kCodings{ "gzip",
                                         "identity",
                                         "chunked, identity" };

// Sends everything and records all answers on the channel.
void
SendOuter(Record& aRecord,
          const std::string& aEntry,
          const std::string& aText,
          const std::string& aName)
{
  int handle = Connect(aEntry, kFrontendPort);
  if (handle < 0) {
    aRecord.Write(aName + " -> no channel");
    return;
  }
  SetReadTimeout(handle, Millis(kWaitMs));
  std::string answers;
  std::string buffer;
  if (SendAll(handle, aText)) {
    while (auto answer = ReadMessage(handle, buffer)) {
      answers += " " + std::to_string(answer->GetStatus());
    }
  }
  ::close(handle);
  aRecord.Write(aName + " ->" + (answers.empty() ? " none" : answers));
}

std::string
MakeOuter(const std::string& aId,
          const std::string& aCoding,
          const std::string& aBody)
{
  std::string text = "POST /once/outer HTTP/1.1\r\nHost: h.example\r\n"
                     "Waxwingyoke-Attempt-Id: ";
  text += aId;
  text += "\r\nWaxwingyoke-Deadline-Ms: 3000\r\n";
  text += HasTrouble() ? "Transfer-Encoding: " : "Content-Length: ";
  text += HasTrouble() ? aCoding : std::to_string(aBody.size());
  text += "\r\n\r\n";
  text += aBody;
  return text;
}

} // namespace

int
RunSmuggledRequest(Record& aRecord)
{
  const std::string net = "127.75.0.";
  Folder folder;
  Store store;
  if (!store.Start(net + "9")) {
    return kNotRun;
  }
  Runner::Options options;
  options.id = "i-0";
  options.service = "reg";
  options.address = net + "10";
  Runner runner(store, aRecord, options);
  if (!runner.Start()) {
    return kNotRun;
  }
  store.Append(
    "keyed.op",
    "config",
    MakeConfig(1,
               { { "o", "/once/", "reg", "unsafe", 3000, 300, 2, "" } },
               { MakePlainService("reg") }));
  Daemon entry(folder.GetPath(),
               Daemon::Options{ "fleet-entry",
                                "entry-1",
                                net + "1",
                                "z1",
                                net + "9",
                                { net + "1" },
                                "",
                                "" });
  if (!entry.Start() || !entry.AwaitReady(kStartMs)) {
    return kNotRun;
  }
  Sleep(kPhaseMs);
  // Ids that stand in the bodies only: no client sends them as a request's.
  std::vector<std::string> inner;
  for (const auto& coding : kCodings) {
    inner.push_back(MakeAttemptId());
    auto body = MakeRequest("POST",
                            "/once/inner",
                            inner.back(),
                            "",
                            { { "Waxwingyoke-Deadline-Ms", "3000" } });
    auto id = MakeAttemptId();
    auto text = MakeOuter(id, coding, body);
    aRecord.Write("the client sends:\n" + text);
    SendOuter(aRecord, entry.GetAddress(), text, "request " + id);
  }
  auto runs = runner.GetRuns();
  auto count = std::ranges::count_if(inner, [&](const auto& aId) {
    return std::ranges::find(runs, aId) != runs.end();
  });
  aRecord.Say("requests that stood in the body of another and were run: " +
              std::to_string(count) + " of " + std::to_string(inner.size()) +
              "; runs in all: " + std::to_string(runs.size()));
  return count > 0 ? kBroken : kHeld;
}

} // namespace waxwingyoke::review
