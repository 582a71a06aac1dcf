// Runs the main use case end to end with real processes: eight sides in three
// data centres; publishes profiles with the operators' tool, waits until the
// weights are distributed, streams a summary and records a register change.

#include <algorithm>
#include <fstream>
#include <iostream>

#include <CLI/CLI.hpp>
#include <bed/Bed.h>
#include <net/HttpClient.h>
#include <utils/Hash.h>

namespace {

using namespace waxwingyoke;
using bed::Bed;

constexpr std::uint64_t kVersionBytes = 16 << 20;
constexpr std::uint32_t kChunkBytes = 256 << 10;
constexpr std::size_t kReplicas = 8;
constexpr utils::Millis kSpreadTimeout(60000);
constexpr utils::Millis kPublishTimeout(20000);

/** Results reported by the last line of output. */
struct Outcome
{
  std::size_t replicas = 0;
  std::int64_t timeToReplicasMs = 0;
  double originCopies = 0;
  int completeAnswers = 0;
  int expectedAnswers = 0;
};

bed::BedOptions
MakeOptions()
{
  bed::BedOptions options;
  options.sites = {
    { "budapest-1", "kozep-mo", 1, 3, 1 },
    { "debrecen-1", "alfold-east", 1, 3, 1 },
    { "pecs-1", "dunantul-s", 1, 2, 1 },
  };
  options.seed = 7;
  return options;
}

std::string
WriteToolSettings(Bed& aBed)
{
  auto file = aBed.GetFolder() + "/tool.toml";
  std::ofstream(file) << "secret = \"" << bed::kSecret << "\"\n"
                      << "author = \"demo\"\n[platform]\nlog = \""
                      << aBed.GetEndpoint(bed::Service::Log).ToString()
                      << "\"\nvm_list = \""
                      << aBed.GetEndpoint(bed::Service::VmList).ToString()
                      << "\"\n";
  return file;
}

bool
PublishWithTool(Bed& aBed, const std::string& aName, const std::string& aToml)
{
  auto file = aBed.GetFolder() + "/" + aName + ".toml";
  std::ofstream(file) << aToml;
  utils::Error reason;
  auto tool = bed::Process::Start({ bed::GetProgramPath("waxwingyoke"),
                                    "--settings",
                                    WriteToolSettings(aBed),
                                    "profile",
                                    "publish",
                                    file },
                                  aBed.GetFolder() + "/tool.log",
                                  reason);
  bool done =
    tool && tool->WaitForEnd(kPublishTimeout) && tool->GetWaitStatus() == 0;
  std::cout << (done ? "published " : "could not publish ") << aName << "\n";
  return done;
}

std::string
MakeModelProfile(const std::string& aVersion)
{
  return "name = \"hydrant-summaries\"\nkind = \"model\"\n"
         "model = \"summariser\"\nversion = \"" +
         aVersion + "\"\n[vms]\ngroup = \"" + bed::kEngineGroup +
         "\"\n[[requests.idempotent]]\nmethod = \"POST\"\n"
         "path_prefix = \"/v1/chat/completions\"\n"
         "[switch_over]\nmin_ready = 1\nmax_unavailable = 8\n";
}

std::string
MakeServiceProfile()
{
  return std::string("name = \"hydrant-register\"\nkind = \"service\"\n") +
         "[vms]\ngroup = \"" + bed::kServiceGroup +
         "\"\n[[requests.idempotent]]\nmethod = \"GET\"\n"
         "path_prefix = \"/status\"\n";
}

// Prints progress until every engine serves the version or the timeout
// expires.
bool
WaitForReplicas(Bed& aBed, const std::string& aVersion, Outcome& aOutcome)
{
  utils::Clock clock;
  auto start = clock.Now();
  std::size_t shown = kReplicas + 1;
  bool reached = Bed::WaitFor(
    [&] {
      aOutcome.replicas = aBed.CountEnginesWith(aVersion);
      if (aOutcome.replicas != shown) {
        shown = aOutcome.replicas;
        std::cout << "  " << (clock.Now() - start).value << " ms: " << shown
                  << " of " << kReplicas << " VMs hold the version\n";
      }
      return aOutcome.replicas == kReplicas;
    },
    kSpreadTimeout);
  aOutcome.timeToReplicasMs = (clock.Now() - start).value;
  return reached;
}

// Sends the request to the entries in turn until one answers with a status
// below 500 or the timeout expires: entries receive the sides' readiness
// shortly after the engines are ready.
std::optional<net::HttpResponse>
CallEntry(Bed& aBed, const net::HttpRequest& aRequest)
{
  std::optional<net::HttpResponse> answer;
  auto entries = aBed.GetEntries();
  Bed::WaitFor(
    [&] {
      utils::Error reason;
      answer =
        aBed.GetClient().Call(entries.front()->caller, aRequest, {}, reason);
      std::rotate(entries.begin(), entries.begin() + 1, entries.end());
      return answer && answer->status < 500;
    },
    kPublishTimeout);
  return answer;
}

bool
RequestSummary(Bed& aBed)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.fields.Set("Content-Type", "application/json");
  request.body =
    R"({"model":"hydrant-summaries","stream":true,"max_tokens":24,)"
    R"("messages":[{"role":"user","content":"Summarise hydrant 4411"}]})";
  auto answer = CallEntry(aBed, request);
  bool complete = answer && answer->status == 200 &&
                  answer->body.find("data: [DONE]") != std::string::npos;
  std::cout << "summary: "
            << (answer ? std::to_string(answer->status) : "no answer") << ", "
            << (answer ? answer->body.size() : 0) << " bytes, "
            << (complete ? "whole" : "not whole") << "\n";
  return complete;
}

bool
RecordChange(Bed& aBed)
{
  auto id = utils::MakeUniqueId();
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/services/hydrant-register/changes";
  request.fields.Set("X-Call-Id", id);
  request.body = R"({"hydrant":4411,"defect":"valve stuck"})";
  auto answer = CallEntry(aBed, request);
  auto runs = aBed.CountServiceRuns(id);
  std::cout << "register change: "
            << (answer ? std::to_string(answer->status) : "no answer")
            << ", ran " << runs << " time(s)\n";
  return answer && answer->status == 200 && runs == 1;
}

double
CountOriginCopies(Bed& aBed)
{
  auto counters = aBed.GetCounters(bed::Service::Origin);
  auto store = aBed.GetCounters(bed::Service::Store);
  double served = counters ? static_cast<double>(counters->bytes_served()) : 0;
  served += store ? static_cast<double>(store->bytes_served()) : 0;
  return served / static_cast<double>(kVersionBytes);
}

void
RunJob(Bed& aBed, Outcome& aOutcome)
{
  fakes::VersionSpec spec;
  spec.set_model("summariser");
  spec.set_bytes(kVersionBytes);
  spec.set_chunk_bytes(kChunkBytes);
  spec.set_seed(7);
  utils::Error reason;
  auto version = aBed.MakeVersion(spec, reason);
  if (!version) {
    std::cout << "no version: " << reason.detail << "\n";
    return;
  }
  std::cout << "version " << version->version() << ", " << version->chunks()
            << " chunks\n";
  if (!PublishWithTool(aBed, "hydrant-register", MakeServiceProfile()) ||
      !PublishWithTool(
        aBed, "hydrant-summaries", MakeModelProfile(version->version()))) {
    return;
  }
  WaitForReplicas(aBed, version->version(), aOutcome);
  aOutcome.originCopies = CountOriginCopies(aBed);
  aOutcome.expectedAnswers = 2;
  aOutcome.completeAnswers = RequestSummary(aBed) + RecordChange(aBed);
}

int
Report(const Outcome& aOutcome)
{
  std::cout << "{\"replicas\":" << aOutcome.replicas
            << ",\"time_to_n_ms\":" << aOutcome.timeToReplicasMs
            << ",\"origin_copies\":" << aOutcome.originCopies
            << ",\"answers_whole\":" << aOutcome.completeAnswers << "}\n";
  bool passed = aOutcome.replicas == kReplicas &&
                aOutcome.expectedAnswers > 0 &&
                aOutcome.completeAnswers == aOutcome.expectedAnswers;
  return passed ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app{ "Runs the main use case once with fakes of the platform." };
  auto options = MakeOptions();
  app.add_flag(
    "--keep", options.keepFolder, "keep the folder with settings and logs");
  CLI11_PARSE(app, aCount, aArguments);
  Outcome outcome;
  bed::RunWithBed(options, [&outcome](Bed& aBed) { RunJob(aBed, outcome); });
  return Report(outcome);
}
