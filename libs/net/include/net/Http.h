#ifndef waxwingyoke_net_Http_h
#define waxwingyoke_net_Http_h

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <utils/Error.h>

namespace waxwingyoke::net {

/** An HTTP header field. */
struct HttpField
{
  std::string name;
  std::string value;
};

/** Header fields in their order; names are compared without case. */
class HttpFields
{
public:
  HttpFields() = default;
  HttpFields(std::initializer_list<HttpField> aFields)
    : fields_(aFields)
  {
  }

  /** The value of the first field aName; empty if there is none. */
  std::string_view Find(std::string_view aName) const;

  /** Replaces all fields with that name by one. */
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
  /** The path and its query. */
  std::string target = "/";
  HttpFields fields;
  std::string body;
  /**
   * Sent in place of body if set, without a copy. Must stay valid until the
   * request is sent.
   */
  std::optional<std::string_view> borrowedBody;

  /** The body that is sent. */
  std::string_view GetBody() const { return borrowedBody.value_or(body); }
};

struct HttpResponse
{
  int status = 200;
  HttpFields fields;
  std::string body;
};

/** Whether a response other than an interim one may have this status. */
bool
IsFinalStatus(int aStatus);

/** A response with a JSON body. */
HttpResponse
MakeJsonResponse(int aStatus, std::string aJson);

/**
 * The response that reports an error: status, kind and run outcome by the
 * error's traits, with its detail as the message.
 */
HttpResponse
MakeErrorResponse(const utils::Error& aError);

/** The body of MakeErrorResponse. */
std::string
MakeErrorJson(const utils::Error& aError);

/** The value of parameter aName in the target's query; empty if absent. */
std::string_view
FindQuery(std::string_view aTarget, std::string_view aName);

/** The target without its query. */
std::string_view
GetPath(std::string_view aTarget);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Http_h
