#include "Targets.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include <ConfigFollower.h>
#include <DirectoryFollower.h>
#include <JsonRpcBridge.h>
#include <LogPage.h>
#include <adapter/Codecs.h>
#include <rpc/RpcServer.h>
#include <schema/Json.h>
#include <schema/control.pb.h>
#include <schema/fleet.pb.h>

namespace waxwingyoke::fuzz {

namespace {

// Largest version, offset or count that a decoder may return.
constexpr std::uint64_t kMaxWhole = std::uint64_t{ 1 } << 53;

std::string_view
ToText(const std::uint8_t* aData, std::size_t aSize)
{
  return { reinterpret_cast<const char*>(aData), aSize };
}

void
Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

void
RequireHeld(const std::vector<platform::HeldLayers>& aHeld)
{
  Require(std::ranges::all_of(
    aHeld, [](const auto& aRow) { return aRow.version <= kMaxWhole; }));
}

/** A log that answers nothing. */
class SilentLog : public platform::KeyedLog
{
public:
  std::optional<platform::KeyedPage> ReadNewest(platform::Topic,
                                                utils::Error&) override
  {
    return std::nullopt;
  }
  std::optional<platform::KeyedPage> Read(platform::Topic,
                                          std::uint64_t,
                                          utils::Millis,
                                          utils::Error&) override
  {
    return std::nullopt;
  }
  bool Append(platform::Topic,
              const std::string&,
              const std::string&,
              utils::Error&) override
  {
    return false;
  }
};

class SilentWriter : public net::ResponseWriter
{
public:
  bool Send(const net::HttpResponse& aResponse) override
  {
    Require(!aResponse.body.empty());
    return true;
  }
  bool Start(int, const net::HttpFields&) override { return false; }
  bool Write(std::string_view) override { return false; }
  bool Finish() override { return false; }
  bool IsPeerDisconnected() override { return false; }
  bool IsStarted() const override { return true; }
};

} // namespace

void
FuzzSettings(const std::uint8_t* aData, std::size_t aSize)
{
  utils::Error reason;
  auto settings = adapter::ParseSettings(ToText(aData, aSize), reason);
  if (settings) {
    Require(settings->firstPeerPort > 0 && settings->firstPeerPort < 65535);
    Require(settings->store.port > 0);
    Require(settings->bounds.grace >= utils::Millis(0));
    Require(settings->bounds.retryRatio >= 0);
  }
}

void
FuzzConfiguration(const std::uint8_t* aData, std::size_t aSize)
{
  utils::Error reason;
  auto config = adapter::ParseConfig(ToText(aData, aSize), reason);
  if (!config) {
    return;
  }
  Require(config->version <= kMaxWhole);
  Require(config->limits.bodyBytes <= kMaxWhole);
  for (const auto& route : config->routes) {
    Require(route.maxUpstreams >= 1 && route.timeout >= utils::Millis(0));
    config->FindRoute(route.host, route.pathPrefix);
  }
  for (const auto& service : config->services) {
    Require(!service.engine || (service.engine->stepMs >= 0 &&
                                service.engine->readTokensPerMs > 0));
  }
}

void
FuzzNamedVersion(const std::uint8_t* aData, std::size_t aSize)
{
  utils::Error reason;
  auto version = adapter::ParseNamedVersion(ToText(aData, aSize), reason);
  Require(!version || (*version > 0 && *version <= kMaxWhole));
}

void
FuzzUpstream(const std::uint8_t* aData, std::size_t aSize)
{
  utils::Error reason;
  auto upstream = adapter::ParseUpstream("i", ToText(aData, aSize), reason);
  if (upstream) {
    Require(upstream->endpoint.port > 0 && !upstream->service.empty());
    Require(net::Endpoint::Parse(upstream->endpoint.ToString()) ==
            upstream->endpoint);
    RequireHeld(upstream->held);
  }
}

void
FuzzReport(const std::uint8_t* aData, std::size_t aSize)
{
  utils::Error reason;
  auto report = adapter::ParseReport(ToText(aData, aSize), reason);
  if (report) {
    Require(report->pace > 0 && report->orders <= kMaxWhole);
    RequireHeld(report->held);
  }
}

void
FuzzLogPage(const std::uint8_t* aData, std::size_t aSize)
{
  constexpr std::uint64_t kFrom = 7;
  utils::Error reason;
  auto page = adapter::ParsePage(ToText(aData, aSize), kFrom, reason);
  if (page) {
    Require(page->end >= kFrom + page->records.size());
    Require(std::ranges::all_of(page->records, [&](const auto& aRecord) {
      return aRecord.offset >= kFrom && aRecord.offset < page->end &&
             aRecord.dropped == aRecord.value.empty();
    }));
  }
}

void
FuzzNewestPage(const std::uint8_t* aData, std::size_t aSize)
{
  utils::Error reason;
  auto page = adapter::ParseNewestPage(ToText(aData, aSize), reason);
  Require(!page || page->end <= kMaxWhole);
}

void
FuzzPieceList(const std::uint8_t* aData, std::size_t aSize)
{
  constexpr std::uint64_t kVersion = 2;
  utils::Error reason;
  auto list =
    adapter::ParsePieceList(ToText(aData, aSize), "m", kVersion, reason);
  Require(!list || (list->version == kVersion && !list->digests.empty()));
}

void
FuzzPeerNotice(const std::uint8_t* aData, std::size_t aSize)
{
  schema::FleetNotice notice;
  if (!notice.ParseFromArray(aData, static_cast<int>(aSize))) {
    return;
  }
  SilentLog log;
  dispatch::UpstreamRegistry registry;
  fleet::DirectoryFollower directory(log, adapter::MakeCodecs(), registry);
  directory.ApplyUpdate(notice.entry().directory());
  fleet::ConfigFollower config(log, adapter::MakeCodecs(), {});
  config.ApplyPeerPosition(fleet::ReadPosition(notice.entry()));
}

void
FuzzOperatorRecord(const std::uint8_t* aData, std::size_t aSize)
{
  schema::OperatorRecord record;
  if (!record.ParseFromArray(aData, static_cast<int>(aSize))) {
    return;
  }
  SilentLog log;
  fleet::ConfigFollower config(log, adapter::MakeCodecs(), {});
  config.ApplyPeerRecord(record, config.Now());
  auto passedOn = config.MakeRecord();
  Require(!passedOn || schema::OperatorRecord().ParseFromString(
                         passedOn->SerializeAsString()));
}

void
FuzzMember(const std::uint8_t* aData, std::size_t aSize)
{
  schema::FleetMember member;
  schema::QuarantineRecord quarantine;
  utils::Error reason;
  schema::FromJson(ToText(aData, aSize), quarantine, reason);
  if (schema::FromJson(ToText(aData, aSize), member, reason)) {
    net::Endpoint::Parse(member.address());
    schema::ToJson(member);
  }
}

void
FuzzRpcRequest(const std::uint8_t* aData, std::size_t aSize)
{
  rpc::RpcServer server;
  server.Add<schema::SyncRequest, schema::SyncReply>(
    "sync", [](const auto&, schema::SyncReply& aReply, utils::Error&) {
      aReply.set_config_offset(1);
      return true;
    });
  net::HttpRequest request;
  request.body = ToText(aData, aSize);
  SilentWriter writer;
  server.Handle(request, writer);
}

void
FuzzRpcReply(const std::uint8_t* aData, std::size_t aSize)
{
  auto result =
    rpc::CallMethod("sync", "{}", [&](const std::string&, std::string& aReply) {
      aReply = ToText(aData, aSize);
      return true;
    });
  schema::SyncReply reply;
  utils::Error reason;
  if (result.code == 0) {
    schema::FromPeerJson(result.text, reply, reason);
  }
}

} // namespace waxwingyoke::fuzz
