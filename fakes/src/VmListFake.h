#ifndef waxwingyoke_fakes_VmListFake_h
#define waxwingyoke_fakes_VmListFake_h

#include <deque>

#include <schema/control.pb.h>

#include "FaultInjector.h"

namespace waxwingyoke::fakes {

/** Fake of the platform's VM list; changes become visible after a set lag. */
class VmListFake
{
public:
  explicit VmListFake(FaultInjector& aFaultInjector);

  void AddRoutes(net::Router& aRouter);

private:
  struct Change
  {
    utils::Millis at;
    schema::VmList list;
  };

  void Replace(schema::VmList aList);
  schema::VmList GetVisibleList();
  void Get(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  void SetLeaving(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  void Remove(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);

  FaultInjector& faultInjector_;
  utils::Clock clock_;
  // Oldest first; the first one is the list visible at the last request.
  std::deque<Change> changes_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_VmListFake_h
