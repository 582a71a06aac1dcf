#ifndef waxwingyoke_fakes_VmListFake_h
#define waxwingyoke_fakes_VmListFake_h

#include <deque>

#include <schema/control.pb.h>

#include "FaultGate.h"

namespace waxwingyoke::fakes {

/** The platform's list of VMs, which shows each change only after a lag. */
class VmListFake
{
public:
  explicit VmListFake(FaultGate& aGate);

  void AddRoutes(net::Router& aRouter);

private:
  struct Change
  {
    utils::Millis at;
    schema::VmList list;
  };

  void Replace(schema::VmList aList);
  schema::VmList Show();
  void Get(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  void SetLeaving(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  void Remove(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);

  FaultGate& gate_;
  utils::Clock clock_;
  // Oldest first; the first is what was shown last.
  std::deque<Change> changes_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_VmListFake_h
