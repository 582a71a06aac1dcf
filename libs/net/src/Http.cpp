#include <net/Http.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include <telemetry/Logger.h>

namespace waxwingyoke::net {

namespace {

bool
EqualNoCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, [](char aOne, char aOther) {
    return std::tolower(static_cast<unsigned char>(aOne)) ==
           std::tolower(static_cast<unsigned char>(aOther));
  });
}

} // namespace

std::string_view
HttpFields::Find(std::string_view aName) const
{
  auto field = std::ranges::find_if(fields_, [aName](const HttpField& aField) {
    return EqualNoCase(aField.name, aName);
  });
  return field == fields_.end() ? std::string_view() : field->value;
}

void
HttpFields::Set(std::string_view aName, std::string_view aValue)
{
  std::erase_if(fields_, [aName](const HttpField& aField) {
    return EqualNoCase(aField.name, aName);
  });
  Add(aName, aValue);
}

void
HttpFields::Add(std::string_view aName, std::string_view aValue)
{
  fields_.push_back({ std::string(aName), std::string(aValue) });
}

// RFC 9110, 15.
bool
IsFinalStatus(int aStatus)
{
  constexpr int kFirst = 200;
  constexpr int kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast;
}

HttpResponse
MakeJsonResponse(int aStatus, std::string aJson)
{
  HttpResponse response;
  response.status = aStatus;
  response.fields.Set("Content-Type", "application/json");
  response.body = std::move(aJson);
  return response;
}

std::string
MakeErrorJson(const utils::Error& aError)
{
  const auto& traits = utils::GetErrorTraits(aError.kind);
  return "{\"error\":{\"type\":" + telemetry::QuoteJson(traits.name) +
         ",\"message\":" + telemetry::QuoteJson(aError.detail) +
         ",\"run\":" + telemetry::QuoteJson(utils::GetName(traits.run)) + "}}";
}

HttpResponse
MakeErrorResponse(const utils::Error& aError)
{
  const auto& traits = utils::GetErrorTraits(aError.kind);
  return MakeJsonResponse(traits.httpStatus, MakeErrorJson(aError));
}

std::string_view
FindQuery(std::string_view aTarget, std::string_view aName)
{
  auto mark = aTarget.find('?');
  auto rest = mark == std::string_view::npos ? std::string_view()
                                             : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    auto part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    auto equals = part.find('=');
    if (part.substr(0, equals) == aName && equals != std::string_view::npos) {
      return part.substr(equals + 1);
    }
  }
  return {};
}

std::string_view
GetPath(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace waxwingyoke::net
