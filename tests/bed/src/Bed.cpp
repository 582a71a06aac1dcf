#include <bed/Bed.h>

#include <algorithm>
#include <csignal>
#include <numeric>

#include <net/Runtime.h>
#include <platform/EngineClient.h>
#include <platform/LogClient.h>
#include <schema/Json.h>
#include <utils/Hash.h>

namespace waxwingyoke::bed {

namespace {

using utils::Millis;

constexpr int kOk = 200;
constexpr Millis kPoll(10);
constexpr Millis kFakeTimeout(10000);
constexpr net::CallTimeouts kProbeTimeouts{ Millis(500),
                                            Millis(2000),
                                            Millis(2000) };

std::uint64_t
FindRuns(const google::protobuf::RepeatedPtrField<fakes::Runs>& aRows,
         const std::string& aId)
{
  auto row = std::ranges::find(aRows, aId, &fakes::Runs::id);
  return row == aRows.end() ? 0 : row->count();
}

} // namespace

BedNode&
Bed::GetNode(const std::string& aVm)
{
  return **std::ranges::find_if(
    nodes_, [&aVm](const auto& aNode) { return aNode->vm.id() == aVm; });
}

std::vector<BedNode*>
Bed::FindNodes(const std::function<bool(const BedNode&)>& aPredicate)
{
  std::vector<BedNode*> found;
  for (auto& node : nodes_) {
    if (aPredicate(*node)) {
      found.push_back(node.get());
    }
  }
  return found;
}

std::vector<BedNode*>
Bed::GetEntries()
{
  return FindNodes(&BedNode::IsEntry);
}

std::vector<BedNode*>
Bed::GetEngineSides()
{
  return FindNodes(&BedNode::IsEngineSide);
}

std::vector<BedNode*>
Bed::GetServiceSides()
{
  return FindNodes(&BedNode::isService);
}

void
Bed::Kill(BedNode& aNode)
{
  aNode.process.reset();
}

void
Bed::Pause(BedNode& aNode)
{
  aNode.process->Signal(SIGSTOP);
}

void
Bed::Resume(BedNode& aNode)
{
  aNode.process->Signal(SIGCONT);
}

void
Bed::Terminate(BedNode& aNode)
{
  aNode.process->Signal(SIGTERM);
}

bool
Bed::WaitFor(const std::function<bool()>& aCondition, Millis aTimeout)
{
  utils::Clock clock;
  auto deadline = clock.Now() + aTimeout;
  while (!aCondition()) {
    if (clock.Now() > deadline) {
      return false;
    }
    net::Runtime::Sleep(kPoll);
  }
  return true;
}

bool
Bed::WaitForOk(const net::Endpoint& aPeer,
               const std::string& aPath,
               Millis aTimeout)
{
  return WaitFor(
    [&] {
      net::HttpRequest request;
      request.target = aPath;
      utils::Error ignored;
      auto answer = client_.Call(aPeer, request, kProbeTimeouts, ignored);
      return answer && answer->status == kOk;
    },
    aTimeout);
}

bool
Bed::WaitForFake(const net::Endpoint& aFake)
{
  return WaitForOk(aFake, "/faults", kFakeTimeout);
}

bool
Bed::WaitHealthy(BedNode& aNode, Millis aTimeout)
{
  return WaitForOk(aNode.control, "/healthz", aTimeout);
}

bool
Bed::WaitReady(BedNode& aNode, Millis aTimeout)
{
  return WaitForOk(aNode.control, "/readyz", aTimeout);
}

bool
Bed::Send(const net::Endpoint& aPeer,
          const std::string& aMethod,
          const std::string& aPath,
          const std::string& aBody,
          std::string& aAnswer,
          utils::Error& aReason)
{
  net::HttpRequest request;
  request.method = aMethod;
  request.target = aPath;
  request.body = aBody;
  auto answer = client_.Call(aPeer, request, {}, aReason);
  if (!answer) {
    return false;
  }
  aAnswer = std::move(answer->body);
  if (answer->status != kOk) {
    aReason.Set(utils::ErrorKind::Internal,
                aPath + " answered " + std::to_string(answer->status) + ": " +
                  aAnswer);
  }
  return answer->status == kOk;
}

bool
Bed::PutVms(utils::Error& aReason)
{
  schema::VmList list;
  for (const auto& node : nodes_) {
    *list.add_vms() = node->vm;
  }
  std::string answer;
  return Send(GetEndpoint(Service::VmList),
              "PUT",
              "/vms",
              schema::ToJson(list),
              answer,
              aReason);
}

void
Bed::SetLeaving(BedNode& aNode)
{
  std::string answer;
  utils::Error ignored;
  Send(GetEndpoint(Service::VmList),
       "POST",
       "/vms/" + aNode.vm.id() + "/leaving",
       "",
       answer,
       ignored);
}

void
Bed::RemoveVm(BedNode& aNode)
{
  std::string answer;
  utils::Error ignored;
  Send(GetEndpoint(Service::VmList),
       "DELETE",
       "/vms/" + aNode.vm.id(),
       "",
       answer,
       ignored);
}

std::optional<fakes::VersionReply>
Bed::MakeVersion(const fakes::VersionSpec& aSpec, utils::Error& aReason)
{
  fakes::VersionReply reply;
  for (auto service : { Service::Store, Service::Origin }) {
    std::string answer;
    if (!Send(GetEndpoint(service),
              "POST",
              "/versions",
              schema::ToJson(aSpec),
              answer,
              aReason) ||
        !schema::FromJson(answer, reply, aReason)) {
      return std::nullopt;
    }
  }
  return reply;
}

std::optional<std::uint64_t>
Bed::Append(const schema::ProfileChange& aChange, utils::Error& aReason)
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  *record.mutable_profile_change() = aChange;
  platform::LogClient log(client_, GetEndpoint(Service::Log));
  return log.Append(
    platform::kConfigStream, record.SerializeAsString(), aReason);
}

std::optional<std::uint64_t>
Bed::Publish(const schema::Profile& aProfile, utils::Error& aReason)
{
  schema::ProfileChange change;
  change.set_author("bed");
  change.set_kind(schema::PUBLISH);
  *change.mutable_profile() = aProfile;
  return Append(change, aReason);
}

std::optional<schema::EngineState>
Bed::GetEngineState(const BedNode& aSide)
{
  utils::Error ignored;
  return platform::EngineClient(client_, aSide.upstream).GetState(ignored);
}

std::size_t
Bed::CountEnginesWith(const std::string& aVersion)
{
  auto sides = GetEngineSides();
  return static_cast<std::size_t>(
    std::ranges::count_if(sides, [&](const BedNode* aSide) {
      auto state = GetEngineState(*aSide);
      return state && state->version() == aVersion;
    }));
}

bool
Bed::WaitEnginesWith(const std::string& aVersion,
                     std::size_t aCount,
                     Millis aTimeout)
{
  return WaitFor([&] { return CountEnginesWith(aVersion) >= aCount; },
                 aTimeout);
}

bool
Bed::SetFaults(const net::Endpoint& aFake, const fakes::Faults& aFaults)
{
  std::string answer;
  utils::Error ignored;
  return Send(
    aFake, "POST", "/faults", schema::ToJson(aFaults), answer, ignored);
}

bool
Bed::SetFaults(Service aService, const fakes::Faults& aFaults)
{
  return SetFaults(GetEndpoint(aService), aFaults);
}

std::optional<fakes::Counters>
Bed::GetCounters(const net::Endpoint& aFake)
{
  std::string answer;
  utils::Error ignored;
  fakes::Counters counters;
  if (!Send(aFake, "GET", "/counters", "", answer, ignored) ||
      !schema::FromJson(answer, counters, ignored)) {
    return std::nullopt;
  }
  return counters;
}

std::optional<fakes::Counters>
Bed::GetCounters(Service aService)
{
  return GetCounters(GetEndpoint(aService));
}

std::uint64_t
Bed::CountServiceRuns(const std::string& aId)
{
  auto sides = GetServiceSides();
  return std::accumulate(
    sides.begin(),
    sides.end(),
    std::uint64_t(0),
    [&](std::uint64_t aSum, const BedNode* aSide) {
      auto counters = GetCounters(aSide->upstream);
      return aSum + (counters ? FindRuns(counters->runs(), aId) : 0);
    });
}

std::uint64_t
Bed::CountPromptRuns(const std::string& aPrompt)
{
  auto sides = GetEngineSides();
  return std::accumulate(
    sides.begin(),
    sides.end(),
    std::uint64_t(0),
    [&](std::uint64_t aSum, const BedNode* aSide) {
      auto counters = GetCounters(aSide->upstream);
      return aSum + (counters ? FindRuns(counters->prompts(), aPrompt) : 0);
    });
}

std::vector<std::string>
Bed::GetViolations()
{
  std::vector<std::string> all;
  for (const auto* side : GetEngineSides()) {
    auto counters = GetCounters(side->upstream);
    if (counters) {
      all.insert(all.end(),
                 counters->violation_details().begin(),
                 counters->violation_details().end());
    }
  }
  return all;
}

} // namespace waxwingyoke::bed
