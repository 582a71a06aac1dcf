#include "BrokenHeads.h"

namespace waxwingyoke::net {

std::vector<std::string>
ListClasslessStatuses()
{
  return { "000", "001", "020", "099", "600", "799", "999" };
}

std::vector<HeadLine>
ListFoldedLines()
{
  return {
    { "blank before the name", " X-Name: value\r\n" },
    { "tab before the name", "\tX-Name: value\r\n" },
    { "a blank as the name", " : value\r\n" },
    { "only a blank", " \r\n" },
    { "blank before a name that frames the body",
      " Transfer-Encoding: chunked\r\n" },
  };
}

} // namespace waxwingyoke::net
