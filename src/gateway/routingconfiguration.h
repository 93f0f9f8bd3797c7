/** \file
 * The operator's configuration after validation: routes, services, teams and limits. It is immutable; a newer version
 * replaces the whole object.
 */
#pragma once

#include "routetable.h"
#include "timepoint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** The engine behind the endpoints of a model service. */
struct EngineProfile
{
    int slots = 1;
    /** Capacity of one endpoint's KV cache in tokens, in use or cached. */
    std::int64_t memoryTokens = 0;
};

struct ServiceProfile
{
    std::string name;
    std::string healthPath;
    /** Number of connections that one endpoint accepts from all VMs in total. */
    int maxConnections = 1;
    std::optional<EngineProfile> engine;
};

struct CallerTeam
{
    std::string name;
    /** Takes precedence over the route's priority. */
    std::optional<int> priority;
};

/** Size limits of requests, and time limits for sending them. */
struct CallerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    Duration headerTimeout = milliseconds(3000);
    Duration idleTimeout = milliseconds(15000);
};

class RoutingConfiguration
{
public:
    RoutingConfiguration(std::uint64_t version, RouteTable routes, std::vector<ServiceProfile> services,
        CallerLimits limits, bool requiresKeys, std::unordered_map<std::string, CallerTeam> teamsByKey);

    std::uint64_t version() const
    {
        return m_version;
    }
    const CallerLimits &limits() const
    {
        return m_limits;
    }
    const RouteTable &routes() const
    {
        return m_routes;
    }
    const std::map<std::string, ServiceProfile> &services() const
    {
        return m_services;
    }
    /** Whether callers must present a team's key on routes that aren't public. */
    bool requiresKeys() const
    {
        return m_requiresKeys;
    }
    /** The route of that host with the longest matching prefix; null if there is none. */
    const Route *findRoute(std::string_view host, std::string_view path) const
    {
        return m_routes.find(host, path);
    }
    /** Returns null if there is no service of that name. */
    const ServiceProfile *findService(const std::string &name) const;
    /** Returns null if the key belongs to no team. */
    const CallerTeam *findTeam(const std::string &key) const;

private:
    std::uint64_t m_version;
    RouteTable m_routes;
    std::map<std::string, ServiceProfile> m_services;
    CallerLimits m_limits;
    bool m_requiresKeys;
    std::unordered_map<std::string, CallerTeam> m_teamsByKey;
};

using RoutingConfigurationPtr = std::shared_ptr<const RoutingConfiguration>;

}
