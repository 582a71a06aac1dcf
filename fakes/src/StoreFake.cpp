#include "StoreFake.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <net/Runtime.h>

#include "Messages.h"

namespace waxwingyoke::fakes {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

} // namespace

StoreFake::StoreFake(FaultInjector& aFaultInjector)
  : faultInjector_(aFaultInjector)
{
  faultInjector_.OnCounters(
    [this](Counters& aCounters) { FillCounters(aCounters); });
}

VersionReply
StoreFake::MakeVersion(const VersionSpec& aSpec)
{
  contents_.emplace_back(aSpec);
  const auto& content = contents_.back();
  VersionReply reply;
  reply.set_version(content.GetVersion().ToHex());
  reply.set_bytes(content.GetBytes());
  reply.set_chunks(static_cast<std::uint32_t>(content.GetChunks().size()));
  return reply;
}

void
StoreFake::AddRoutes(net::Router& aRouter, const std::string& aListen)
{
  aRouter.Add("POST", "/versions", [this](const auto& aRequest, auto& aWriter) {
    VersionSpec spec;
    if (!ReadMessage(aRequest, aWriter, spec)) {
      return;
    }
    if (spec.chunk_bytes() == 0) {
      constexpr int kBadRequest = 400;
      SendStatus(aWriter, kBadRequest, "chunk_bytes is 0");
      return;
    }
    SendMessage(aWriter, MakeVersion(spec));
  });
  aRouter.Add("GET",
              "/manifests/*",
              faultInjector_.Wrap([this](const auto& aRequest, auto& aWriter) {
                SendManifest(aRequest, aWriter);
              }));
  aRouter.Add(
    "GET",
    "/chunks/*",
    faultInjector_.Wrap([this, aListen](const auto& aRequest, auto& aWriter) {
      SendChunk(aListen, aRequest, aWriter);
    }));
}

void
StoreFake::SendManifest(const net::HttpRequest& aRequest,
                        net::ResponseWriter& aWriter)
{
  auto wanted = GetPathPart(aRequest, 1);
  auto content = std::ranges::find_if(contents_, [&](const Content& aContent) {
    return aContent.GetVersion().ToHex() == wanted;
  });
  if (content == contents_.end()) {
    SendStatus(aWriter, kNotFound, "no such version");
    return;
  }
  SendPaced(content->GetManifest(), aWriter);
}

void
StoreFake::SendChunk(const std::string& aListen,
                     const net::HttpRequest& aRequest,
                     net::ResponseWriter& aWriter)
{
  const auto& faults = faultInjector_.GetFaults().store();
  auto digest = utils::Digest::Parse(GetPathPart(aRequest, 1));
  auto content = std::ranges::find_if(contents_, [&](const Content& aContent) {
    return digest && aContent.GetChunks().contains(*digest);
  });
  if (content == contents_.end()) {
    SendStatus(aWriter, kNotFound, "no such chunk");
    return;
  }
  const auto& source = content->GetChunks().at(*digest);
  auto bytes = MakeChunk(source.seed, source.index, source.bytes);
  if (faultInjector_.ShouldInject(faults.stall_per_mille())) {
    Stall(aWriter);
    return;
  }
  CountBytes(aListen, *digest, bytes.size());
  if (faultInjector_.ShouldInject(faults.corrupt_per_mille())) {
    bytes[bytes.size() / 2] ^= 1;
  }
  if (faultInjector_.ShouldInject(faults.truncate_per_mille())) {
    bytes.resize(bytes.size() / 2);
  }
  SendPaced(std::move(bytes), aWriter);
}

// Sends the response head and no body until the reader disconnects.
void
StoreFake::Stall(net::ResponseWriter& aWriter) const
{
  constexpr utils::Millis kPollInterval(20);
  aWriter.Start(kOk, {});
  while (!aWriter.IsPeerDisconnected()) {
    net::Runtime::Sleep(kPollInterval);
  }
}

void
StoreFake::SendPaced(std::string aBytes, net::ResponseWriter& aWriter)
{
  constexpr std::size_t kPartBytes = 16 << 10;
  auto rate = faultInjector_.GetFaults().store().bytes_per_s();
  if (rate == 0) {
    net::HttpResponse response;
    response.body = std::move(aBytes);
    aWriter.Send(response);
    return;
  }
  aWriter.Start(kOk, {});
  std::string_view rest = aBytes;
  while (!rest.empty()) {
    auto part = rest.substr(0, kPartBytes);
    rate_.Pace(part.size(), faultInjector_.GetFaults().store().bytes_per_s());
    if (!aWriter.Write(part)) {
      return;
    }
    rest.remove_prefix(part.size());
  }
  aWriter.Finish();
}

void
StoreFake::CountBytes(const std::string& aListen,
                      const utils::Digest& aChunk,
                      std::size_t aBytes)
{
  auto& counters = faultInjector_.GetCounters();
  counters.set_bytes_served(counters.bytes_served() + aBytes);
  points_[aListen] += aBytes;
  auto holds = [&aChunk](const Content& aContent) {
    return aContent.GetChunks().contains(aChunk);
  };
  // A chunk shared by several versions counts for the newest of them.
  auto newest = std::find_if(contents_.rbegin(), contents_.rend(), holds);
  served_[newest->GetVersion().ToHex()] += aBytes;
}

void
StoreFake::FillCounters(Counters& aCounters) const
{
  for (const auto& [listen, bytes] : points_) {
    auto* row = aCounters.add_points();
    row->set_listen(listen);
    row->set_bytes(bytes);
  }
  for (const auto& content : contents_) {
    auto* row = aCounters.add_versions();
    row->set_version(content.GetVersion().ToHex());
    row->set_bytes(content.GetBytes());
    auto served = served_.find(row->version());
    row->set_served(served == served_.end() ? 0 : served->second);
  }
}

std::optional<VersionSpec>
ParseVersionSpec(const std::string& aText)
{
  VersionSpec spec;
  std::vector<std::string> parts;
  std::istringstream text(aText);
  for (std::string part; std::getline(text, part, ':');) {
    parts.push_back(part);
  }
  constexpr std::size_t kParts = 4;
  if (parts.size() != kParts) {
    return std::nullopt;
  }
  auto readNumber = [](const std::string& aNumber) {
    std::uint64_t value = 0;
    std::from_chars(aNumber.data(), aNumber.data() + aNumber.size(), value);
    return value;
  };
  spec.set_model(parts[0]);
  spec.set_bytes(readNumber(parts[1]));
  spec.set_chunk_bytes(static_cast<std::uint32_t>(readNumber(parts[2])));
  spec.set_seed(readNumber(parts[3]));
  return spec.chunk_bytes() == 0 ? std::nullopt : std::optional(spec);
}

} // namespace waxwingyoke::fakes
