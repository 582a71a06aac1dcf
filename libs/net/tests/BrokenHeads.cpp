#include "BrokenHeads.h"

namespace waxwingyoke::net {

std::vector<std::string>
ListClasslessStatuses()
{
  return { "000", "001", "020", "099", "600", "799", "999" };
}

std::vector<HeadLine>
ListMalformedNames()
{
  using namespace std::string_literals;
  return {
    { "blank within", "X Name: value\r\n" },
    { "blank before the colon", "X-Name : value\r\n" },
    { "tab within", "X\tName: value\r\n" },
    { "tab before the colon", "X-Name\t: value\r\n" },
    { "NUL", "X\0Name: value\r\n"s },
    { "first control byte", "X\x01Name: value\r\n" },
    { "last control byte", "X\x1fName: value\r\n" },
    { "DEL", "X\x7fName: value\r\n" },
    { "CR", "X\rName: value\r\n" },
    { "LF", "X\nName: value\r\n" },
    { "no ASCII", "X\x80Name: value\r\n" },
    { "no name", ": value\r\n" },
    { "no colon", "value\r\n" },
    { "blank in a name that frames the body",
      "Transfer-Encoding : chunked\r\n" },
  };
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

std::string
MakeResponse(const std::string& aStatus,
             const std::string& aBody,
             const std::string& aLine)
{
  return "HTTP/1.1 " + aStatus +
         " Status\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\nA: a\r\n" + aLine + "\r\n" + aBody;
}

std::vector<std::string>
ListBrokenResponses(const std::string& aStatus, const std::string& aBody)
{
  std::vector<std::string> responses;
  auto sound = MakeResponse(aStatus, aBody);
  for (const auto* status : { "000", "099", "101", "600", "999" }) {
    responses.push_back(MakeResponse(status, aBody));
    responses.push_back(MakeResponse(status, sound));
  }
  for (const auto& lines : { ListMalformedNames(), ListFoldedLines() }) {
    for (const auto& line : lines) {
      responses.push_back(MakeResponse(aStatus, aBody, line.bytes));
    }
  }
  return responses;
}

} // namespace waxwingyoke::net
