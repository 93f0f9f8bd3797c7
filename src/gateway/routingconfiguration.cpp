/** \file
 * Look-up of services and teams.
 */
#include "routingconfiguration.h"

namespace Cyclamenturn
{

RoutingConfiguration::RoutingConfiguration(std::uint64_t version, RouteTable routes,
    std::vector<ServiceProfile> services, CallerLimits limits, bool requiresKeys,
    std::unordered_map<std::string, CallerTeam> teamsByKey)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
    , m_requiresKeys(requiresKeys)
    , m_teamsByKey(std::move(teamsByKey))
{
    for (auto &service : services) {
        const std::string name = service.name;
        m_services.emplace(name, std::move(service));
    }
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

}
