/** \file
 * Look-up of routes, services and teams.
 */
#include "routingconfiguration.h"

#include "errors.h"

#include <numeric>

namespace Cyclamenturn
{

RoutingConfiguration::RoutingConfiguration(std::uint64_t version, std::vector<Route> routes,
    std::vector<ServiceProfile> services, CallerLimits limits, bool requiresKeys,
    std::unordered_map<std::string, CallerTeam> teamsByKey)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
    , m_requiresKeys(requiresKeys)
    , m_teamsByKey(std::move(teamsByKey))
{
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        if (m_routes[i].services.empty()) {
            throw UserError("route " + m_routes[i].name + " names no service");
        }
        m_routesByHost[m_routes[i].host][m_routes[i].prefix] = i;
    }
    for (auto &service : services) {
        const std::string name = service.name;
        m_services.emplace(name, std::move(service));
    }
}

const Route *RoutingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto byHost = m_routesByHost.find(std::string(host));
    if (byHost == m_routesByHost.end()) {
        return nullptr;
    }
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = byHost->second.find(std::string(path.substr(0, slash + 1)));
        if (found != byHost->second.end()) {
            return &m_routes[found->second];
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const ServiceProfile *RoutingConfiguration::findService(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const CallerTeam *RoutingConfiguration::findTeam(const std::string &key) const
{
    const auto found = m_teamsByKey.find(key);
    return found == m_teamsByKey.end() ? nullptr : &found->second;
}

const std::string &chooseService(const Route &route, double draw)
{
    const int total = std::accumulate(route.services.begin(), route.services.end(), 0,
        [](int sum, const WeightedService &item) { return sum + item.weight; });
    double left = draw * total;
    for (const auto &item : route.services) {
        left -= item.weight;
        if (left < 0) {
            return item.service;
        }
    }
    return route.services.front().service;
}

}
