#include "BrokenHeads.h"

namespace waxwingyoke::net {

std::vector<std::string>
ListClasslessStatuses()
{
  return { "000", "001", "020", "099", "600", "799", "999" };
}

} // namespace waxwingyoke::net
