#ifndef waxwingyoke_net_BrokenHeads_h
#define waxwingyoke_net_BrokenHeads_h

#include <string>
#include <vector>

namespace waxwingyoke::net {

/** Three digits that are a status of no class (RFC 9110, 15). */
std::vector<std::string>
ListClasslessStatuses();

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_BrokenHeads_h
