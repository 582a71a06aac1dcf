#include <platform/FleetConfig.h>

#include <algorithm>

namespace waxwingyoke::platform {

void
FleetConfig::Index()
{
  for (std::size_t i = 0; i < routes.size(); ++i) {
    // One without a prefix would match requests that it was not meant for.
    if (!routes[i].host.empty() && !routes[i].pathPrefix.empty()) {
      routesByHost_[routes[i].host].push_back(i);
    }
  }
  for (auto& [host, indices] : routesByHost_) {
    std::ranges::stable_sort(
      indices, std::ranges::greater{}, [this](std::size_t aIndex) {
        return routes[aIndex].pathPrefix.size();
      });
  }
  for (std::size_t i = 0; i < organisations.size(); ++i) {
    for (const auto& key : organisations[i].keys) {
      // A request without a key would match an empty one.
      if (!key.empty()) {
        organisationByKey_.emplace(key, i);
      }
    }
  }
}

const Route*
FleetConfig::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  auto row = routesByHost_.find(aHost);
  if (row == routesByHost_.end()) {
    return nullptr;
  }
  auto found = std::ranges::find_if(row->second, [&](std::size_t aIndex) {
    return aPath.starts_with(routes[aIndex].pathPrefix);
  });
  return found == row->second.end() ? nullptr : &routes[*found];
}

const Organisation*
FleetConfig::FindOrganisation(std::string_view aKey) const
{
  auto row = organisationByKey_.find(aKey);
  return row == organisationByKey_.end() ? nullptr
                                         : &organisations[row->second];
}

const ServiceInfo*
FleetConfig::FindService(std::string_view aName) const
{
  auto found = std::ranges::find(services, aName, &ServiceInfo::name);
  return found == services.end() ? nullptr : &*found;
}

const ServiceInfo*
FleetConfig::FindOrigin() const
{
  auto found = std::ranges::find_if(
    services, [](const auto& aService) { return aService.origin.has_value(); });
  return found == services.end() ? nullptr : &*found;
}

} // namespace waxwingyoke::platform
