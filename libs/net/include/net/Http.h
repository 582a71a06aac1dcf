#ifndef waxwingyoke_net_Http_h
#define waxwingyoke_net_Http_h

#include <string>
#include <string_view>
#include <vector>

#include <utils/Error.h>

namespace waxwingyoke::net {

/** One header field of HTTP. */
struct HttpField
{
  std::string name;
  std::string value;
};

/** Header fields in their order; names compare without case. */
class HttpFields
{
public:
  HttpFields() = default;
  HttpFields(std::initializer_list<HttpField> aFields)
    : fields_(aFields)
  {
  }

  /** The first value under aName; empty where there is none. */
  std::string_view Find(std::string_view aName) const;

  /** Replaces every field of that name. */
  void Set(std::string_view aName, std::string_view aValue);

  void Add(std::string_view aName, std::string_view aValue);

  auto begin() const { return fields_.begin(); }
  auto end() const { return fields_.end(); }

private:
  std::vector<HttpField> fields_;
};

struct HttpRequest
{
  std::string method = "GET";
  /** Path with its query. */
  std::string target = "/";
  HttpFields fields;
  std::string body;
};

struct HttpResponse
{
  int status = 200;
  HttpFields fields;
  std::string body;
};

/** An answer of JSON text. */
HttpResponse
MakeJsonResponse(int aStatus, std::string aJson);

/** The answer to an error, from its kind's row: status, kind, detail, run. */
HttpResponse
MakeErrorResponse(const utils::Error& aError);

/** The body of MakeErrorResponse. */
std::string
MakeErrorJson(const utils::Error& aError);

/** The value of a parameter of the target's query; empty if not there. */
std::string_view
FindQuery(std::string_view aTarget, std::string_view aName);

/** The target without its query. */
std::string_view
GetPath(std::string_view aTarget);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Http_h
