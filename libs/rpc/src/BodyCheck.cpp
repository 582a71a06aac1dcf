#include "BodyCheck.h"

#include <iomanip>
#include <sstream>

#include <telemetry/Metrics.h>
#include <utils/Hash.h>

namespace waxwingyoke::rpc {

// The hash maps two bodies that differ in one byte to different values. It is
// short because control messages have a budget of bytes, and protects from
// faulty links only: the secret keeps other senders out.
std::string
MakeCheck(std::string_view aBody)
{
  constexpr int kDigits = 16;
  std::ostringstream text;
  text << std::hex << std::setw(kDigits) << std::setfill('0')
       << utils::StableHash(aBody);
  return text.str();
}

bool
IsIntact(const net::HttpFields& aFields, std::string_view aBody)
{
  auto check = aFields.Find(kCheckField);
  return check.empty() || check == MakeCheck(aBody);
}

void
CountDamaged()
{
  static auto& sDamaged =
    telemetry::Metrics::Get().GetCounter("rpc_damaged_total");
  sDamaged.Add();
}

} // namespace waxwingyoke::rpc
