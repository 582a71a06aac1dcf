#include "ServiceFake.h"

#include <utils/Digest.h>

#include "Messages.h"

namespace waxwingyoke::fakes {

namespace {

// The header field that identifies a call. A call without it is identified by
// the beginning of its body, which the system forwards unchanged, or by its
// path if the body is empty.
constexpr const char* kCallIdField = "X-Call-Id";
constexpr std::size_t kBodyIdChars = 80;

} // namespace

ServiceFake::ServiceFake(Upstream& aUpstream, FaultInjector& aFaultInjector)
  : upstream_(aUpstream)
  , faultInjector_(aFaultInjector)
{
  faultInjector_.OnCounters([this](Counters& aCounters) {
    for (const auto& [id, count] : runs_) {
      auto* row = aCounters.add_runs();
      row->set_id(id);
      row->set_count(count);
    }
  });
  aUpstream.GetRouter().Add(
    "*", "/*", faultInjector_.Wrap([this](const auto& aRequest, auto& aWriter) {
      Run(aRequest, aWriter);
    }));
}

void
ServiceFake::Run(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter)
{
  constexpr int kNoContent = 204;
  if (aRequest.method == "OPTIONS") {
    aWriter.Send({ kNoContent, {}, {} });
    return;
  }
  auto digest = utils::Digest::Of(aRequest.body).ToHex();
  std::string id(aRequest.fields.Find(kCallIdField));
  if (id.empty()) {
    id = aRequest.body.empty() ? aRequest.target
                               : aRequest.body.substr(0, kBodyIdChars);
  }
  auto run = ++runs_[id];
  if (upstream_.CrashIfMarked(aRequest.body)) {
    return;
  }
  ServiceReply reply;
  reply.set_id(id);
  reply.set_method(aRequest.method);
  reply.set_path(aRequest.target);
  reply.set_body_digest(digest);
  reply.set_run(run);
  reply.set_upstream(upstream_.GetListen());
  SendMessage(aWriter, reply);
}

} // namespace waxwingyoke::fakes
