#include <net/Router.h>

#include <algorithm>
#include <utility>

#include <telemetry/Metrics.h>

#include <utils/Digest.h>

namespace waxwingyoke::net {

namespace {

bool
MatchesPath(std::string_view aPattern, std::string_view aPath)
{
  if (aPattern.ends_with('*')) {
    return aPath.starts_with(aPattern.substr(0, aPattern.size() - 1));
  }
  return aPath == aPattern;
}

} // namespace

Router&
Router::Add(std::string aMethod, std::string aPath, HttpHandler aHandler)
{
  routes_.push_back(
    { std::move(aMethod), std::move(aPath), std::move(aHandler) });
  return *this;
}

void
Router::Handle(const HttpRequest& aRequest, ResponseWriter& aWriter) const
{
  auto path = GetPath(aRequest.target);
  bool pathMatches = false;
  for (const auto& route : routes_) {
    if (!MatchesPath(route.path, path)) {
      continue;
    }
    pathMatches = true;
    if (route.method == aRequest.method || route.method == "*") {
      route.handler(aRequest, aWriter);
      return;
    }
  }
  utils::Error error;
  error.Set(utils::ErrorKind::NotFound,
            "no route for path " + std::string(path));
  auto response = MakeErrorResponse(error);
  constexpr int kMethodNotAllowed = 405;
  if (pathMatches) {
    response.status = kMethodNotAllowed;
  }
  aWriter.Send(response);
}

HttpField
MakeSecretField(const std::string& aSecret)
{
  return { "Authorization", "Bearer " + aSecret };
}

HttpHandler
RequireSecret(const std::string& aSecret, HttpHandler aHandler)
{
  auto expected = MakeSecretField(aSecret);
  auto handler = std::move(aHandler);
  return
    [expected, handler](const HttpRequest& aRequest, ResponseWriter& aWriter) {
      static auto& sRefused =
        telemetry::Metrics::Get().GetCounter("secret_refused_total");
      auto given = aRequest.fields.Find(expected.name);
      if (!utils::EqualConstantTime(given, expected.value)) {
        sRefused.Add();
        utils::Error error;
        error.Set(utils::ErrorKind::Unauthorized,
                  "missing or wrong deployment secret");
        aWriter.Send(MakeErrorResponse(error));
        return;
      }
      handler(aRequest, aWriter);
    };
}

} // namespace waxwingyoke::net
