#ifndef waxwingyoke_net_BrokenHeads_h
#define waxwingyoke_net_BrokenHeads_h

#include <string>
#include <vector>

namespace waxwingyoke::net {

/** Three digits that are a status of no class (RFC 9110, 15). */
std::vector<std::string>
ListClasslessStatuses();

/** A line of a head, with its end. */
struct HeadLine
{
  std::string name;
  std::string bytes;
};

/** Lines whose field has a name that HTTP does not allow, or none. */
std::vector<HeadLine>
ListMalformedNames();

/** Lines that begin with a blank, and so belong to the field before. */
std::vector<HeadLine>
ListFoldedLines();

/** A response of that status; aLine is a further line of its head. */
std::string
MakeResponse(const std::string& aStatus,
             const std::string& aBody,
             const std::string& aLine = "");

/** What a faulty server may send in place of that response. */
std::vector<std::string>
ListBrokenResponses(const std::string& aStatus, const std::string& aBody);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_BrokenHeads_h
