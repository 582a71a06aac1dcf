#include "EngineFake.h"

#include <algorithm>

#include <fakes/Content.h>
#include <net/Runtime.h>
#include <platform/StoreClient.h>

#include "Messages.h"

namespace waxwingyoke::fakes {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;

} // namespace

EngineFake::EngineFake(Upstream& aUpstream,
                       FaultInjector& aFaultInjector,
                       net::HttpClient& aClient)
  : upstream_(aUpstream)
  , faultInjector_(aFaultInjector)
  , client_(aClient)
  , cache_([this](bool aStored, std::uint64_t aBlock) {
    RecordCacheEvent(aStored, aBlock);
  })
{
  faultInjector_.OnCounters(
    [this](Counters& aCounters) { FillCounters(aCounters); });
  upstream_.OnRestart([this] { ResetState(); });
  auto& router = upstream_.GetRouter();
  auto add = [&](const char* aMethod, const char* aPath, auto aHandler) {
    router.Add(aMethod,
               aPath,
               faultInjector_.Wrap(
                 [this, aHandler](const auto& aRequest, auto& aWriter) {
                   (this->*aHandler)(aRequest, aWriter);
                 }));
  };
  add("POST", "/admin/load", &EngineFake::Load);
  add("POST", "/admin/unload", &EngineFake::Unload);
  router.Add("GET",
             "/admin/state",
             faultInjector_.Wrap(
               [this](const auto&, auto& aWriter) { SendState(aWriter); }));
  AddRequestRoutes(router);
}

void
EngineFake::ResetState()
{
  version_.clear();
  fencing_ = 0;
  ++orderNumber_;
  loading_ = false;
  jobs_.clear();
  jobOrder_.clear();
  cache_.Clear();
  events_.clear();
  slotFreed_.notify_all();
}

void
EngineFake::AddViolation(const std::string& aDetail)
{
  auto& counters = faultInjector_.GetCounters();
  counters.set_violations(counters.violations() + 1);
  counters.add_violation_details(aDetail);
}

bool
EngineFake::AcceptOrder(std::uint64_t aFencing, net::ResponseWriter& aWriter)
{
  auto& counters = faultInjector_.GetCounters();
  if (aFencing < fencing_ &&
      !faultInjector_.GetFaults().engine().ignore_fencing()) {
    counters.set_refused_orders(counters.refused_orders() + 1);
    SendStatus(aWriter,
               kConflict,
               "fencing " + std::to_string(aFencing) + " is older than " +
                 std::to_string(fencing_));
    return false;
  }
  fencing_ = aFencing;
  ++orderNumber_;
  return true;
}

void
EngineFake::Load(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter)
{
  schema::LoadOrder order;
  if (!ReadMessage(aRequest, aWriter, order) ||
      !AcceptOrder(order.fencing(), aWriter)) {
    return;
  }
  auto& counters = faultInjector_.GetCounters();
  counters.set_loads(counters.loads() + 1);
  auto orderNumber = orderNumber_;
  version_.clear();
  loading_ = true;
  std::string fault;
  bool complete = FetchAll(order, fault);
  if (complete) {
    net::Runtime::Sleep(Millis(faultInjector_.GetFaults().engine().load_ms()));
  }
  if (orderNumber != orderNumber_) {
    SendStatus(aWriter, kConflict, "superseded by a later order");
    return;
  }
  loading_ = false;
  if (!complete) {
    SendStatus(aWriter, kUnprocessable, fault);
    return;
  }
  version_ = order.version();
  cache_.Clear();
  SendState(aWriter);
}

void
EngineFake::Unload(const net::HttpRequest& aRequest,
                   net::ResponseWriter& aWriter)
{
  schema::UnloadOrder order;
  if (!ReadMessage(aRequest, aWriter, order) ||
      !AcceptOrder(order.fencing(), aWriter)) {
    return;
  }
  version_.clear();
  loading_ = false;
  SendState(aWriter);
}

// An unreachable source counts as a broken source, since a VM may fail. A
// source that answers without a chunk, or with other content, is a violation:
// the engine must only be given a source that has the complete version.
void
EngineFake::RecordSourceFailure(const utils::Error& aReason,
                                const std::string& aWhat,
                                std::string& aFault)
{
  aFault = aWhat + ": " + aReason.detail;
  if (aReason.kind == ErrorKind::NotFound ||
      aReason.kind == ErrorKind::DigestMismatch) {
    AddViolation(aFault);
    return;
  }
  auto& counters = faultInjector_.GetCounters();
  counters.set_broken_sources(counters.broken_sources() + 1);
}

bool
EngineFake::FetchChunk(const net::Endpoint& aSource,
                       const std::string& aDigestBytes,
                       std::string& aFault)
{
  platform::StoreClient store(client_);
  utils::Error reason;
  auto digest = DigestFromBytes(aDigestBytes);
  if (!digest) {
    reason.Set(ErrorKind::DigestMismatch,
               "a chunk's digest in the manifest is not 32 bytes");
  } else if (store.GetChunk(aSource, *digest, {}, {}, reason)) {
    return true;
  }
  RecordSourceFailure(reason, digest ? digest->ToHex() : "chunk", aFault);
  return false;
}

bool
EngineFake::FetchAll(const schema::LoadOrder& aOrder, std::string& aFault)
{
  platform::StoreClient store(client_);
  auto source = net::Endpoint::Parse(aOrder.source());
  auto version = utils::Digest::Parse(aOrder.version());
  if (!source || !version) {
    aFault = "the load order's source or version is malformed";
    AddViolation(aFault);
    return false;
  }
  utils::Error reason;
  auto manifest = store.GetManifest(*source, *version, {}, reason);
  if (!manifest) {
    RecordSourceFailure(reason, "manifest " + aOrder.version(), aFault);
    return false;
  }
  return std::ranges::all_of(manifest->files(), [&](const auto& aFile) {
    return std::ranges::all_of(aFile.chunks(), [&](const auto& aChunk) {
      return FetchChunk(*source, aChunk.digest(), aFault);
    });
  });
}

void
EngineFake::SendState(net::ResponseWriter& aWriter) const
{
  schema::EngineState state;
  state.set_incarnation(upstream_.GetIncarnation());
  state.set_version(version_);
  state.set_fencing(fencing_);
  state.set_loading(loading_);
  state.set_slots(static_cast<std::uint32_t>(GetSlots()));
  state.set_running(static_cast<std::uint32_t>(running_));
  SendMessage(aWriter, state);
}

void
EngineFake::FillCounters(Counters& aCounters) const
{
  for (const auto& [id, count] : runs_) {
    auto* row = aCounters.add_runs();
    row->set_id(id);
    row->set_count(count);
  }
  for (const auto& [prompt, count] : prompts_) {
    auto* row = aCounters.add_prompts();
    row->set_id(prompt);
    row->set_count(count);
  }
  aCounters.set_running(static_cast<std::uint32_t>(running_));
}

} // namespace waxwingyoke::fakes
