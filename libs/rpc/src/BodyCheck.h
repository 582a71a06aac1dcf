#ifndef waxwingyoke_rpc_BodyCheck_h
#define waxwingyoke_rpc_BodyCheck_h

#include <string>
#include <string_view>

#include <net/Http.h>

namespace waxwingyoke::rpc {

/** Header field of requests and replies with the check value of the body. */
inline constexpr const char* kCheckField = "X-Check";

/** Status of the reply to a request whose body does not match its field. */
inline constexpr int kDamagedStatus = 422;

/** A stable hash of aBody, 16 hex digits. */
std::string
MakeCheck(std::string_view aBody);

/** Whether the field matches aBody, or is missing as in earlier releases. */
bool
IsIntact(const net::HttpFields& aFields, std::string_view aBody);

/** Counts a message whose body does not match its field. */
void
CountDamaged();

} // namespace waxwingyoke::rpc

#endif // waxwingyoke_rpc_BodyCheck_h
