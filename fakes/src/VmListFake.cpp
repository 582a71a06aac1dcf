#include "VmListFake.h"

#include <utility>

#include <schema/Json.h>
#include <utils/Digest.h>

#include "Messages.h"

namespace waxwingyoke::fakes {

VmListFake::VmListFake(FaultInjector& aFaultInjector)
  : faultInjector_(aFaultInjector)
  , changes_{ Change{} }
{
}

void
VmListFake::AddRoutes(net::Router& aRouter)
{
  aRouter.Add("GET",
              "/vms",
              faultInjector_.Wrap([this](const auto& aRequest, auto& aWriter) {
                Get(aRequest, aWriter);
              }));
  aRouter.Add("PUT", "/vms", [this](const auto& aRequest, auto& aWriter) {
    schema::VmList list;
    if (ReadMessage(aRequest, aWriter, list)) {
      Replace(list);
      SendMessage(aWriter, list);
    }
  });
  aRouter.Add("POST", "/vms/*", [this](const auto& aRequest, auto& aWriter) {
    SetLeaving(aRequest, aWriter);
  });
  aRouter.Add("DELETE", "/vms/*", [this](const auto& aRequest, auto& aWriter) {
    Remove(aRequest, aWriter);
  });
}

void
VmListFake::Get(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter)
{
  constexpr int kOk = 200;
  constexpr int kNotModified = 304;
  auto list = schema::ToJson(GetVisibleList());
  auto tag = "\"" + utils::Digest::Of(list).ToHex() + "\"";
  net::HttpResponse response;
  response.status = kNotModified;
  if (aRequest.fields.Find("If-None-Match") != tag) {
    response = net::MakeJsonResponse(kOk, list);
  }
  response.fields.Set("ETag", tag);
  aWriter.Send(response);
}

void
VmListFake::Replace(schema::VmList aList)
{
  changes_.push_back({ clock_.Now(), std::move(aList) });
}

schema::VmList
VmListFake::GetVisibleList()
{
  utils::Millis lag(faultInjector_.GetFaults().vm_list().lag_ms());
  auto visibleUntil = clock_.Now() - lag;
  while (changes_.size() > 1 && changes_[1].at <= visibleUntil) {
    changes_.pop_front();
  }
  return changes_.front().list;
}

void
VmListFake::SetLeaving(const net::HttpRequest& aRequest,
                       net::ResponseWriter& aWriter)
{
  auto list = changes_.back().list;
  for (auto& vm : *list.mutable_vms()) {
    vm.set_leaving(vm.leaving() || vm.id() == GetPathPart(aRequest, 1));
  }
  Replace(list);
  SendMessage(aWriter, list);
}

void
VmListFake::Remove(const net::HttpRequest& aRequest,
                   net::ResponseWriter& aWriter)
{
  schema::VmList list;
  for (const auto& vm : changes_.back().list.vms()) {
    if (vm.id() != GetPathPart(aRequest, 1)) {
      *list.add_vms() = vm;
    }
  }
  Replace(list);
  SendMessage(aWriter, list);
}

} // namespace waxwingyoke::fakes
