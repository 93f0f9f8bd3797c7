/** \file
 * The operator's accepted configuration in the project's own terms: routes, services, teams and limits. A value that
 * never changes; a newer version replaces the whole.
 */
#pragma once

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

/** What a route allows to be repeated. */
enum class RequestKind {
    Idempotent,
    NonIdempotent,
    /** A stream of events. It counts as non-idempotent unless the route allows resuming. */
    Stream,
};

/** A service that gets a share of a route's requests in proportion to its weight. */
struct WeightedService
{
    std::string service;
    int weight = 1;

    bool operator==(const WeightedService &other) const
    {
        return service == other.service && weight == other.weight;
    }
};

struct Route
{
    std::string name;
    /** Lower case, without a port. */
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /** The longest time that a caller is kept waiting. */
    Duration timeout{};
    /** The time within which an answer, or a stream's first event, counts as on time. */
    Duration objective{};
    /** The longest pause between two events that counts as on time. */
    std::optional<Duration> eventGap;
    /** 0 is the most urgent. */
    int priority = 0;
    /** Never empty. */
    std::vector<WeightedService> services;
    /** Endpoints to which one attempt of a caller may be sent. */
    int maxAttempts = 1;
    /** Whether requests need no key. */
    bool isPublic = false;
    /** Whether requests state their prompt, so that endpoints with its parts in memory serve them sooner. */
    bool hasPrompt = false;
    bool canResume = false;

    /** Whether a request may be run again after it may have run. */
    bool isRepeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && canResume);
    }
};

/** The engine behind the endpoints of a model service. */
struct EngineProfile
{
    int slots = 1;
    /** Tokens that one endpoint's memory holds, in use or cached. */
    std::int64_t memoryTokens = 0;
};

struct ServiceProfile
{
    std::string name;
    std::string healthPath;
    /** Connections that one endpoint accepts from all VMs together. */
    int maxConnections = 1;
    std::optional<EngineProfile> engine;
};

struct CallerTeam
{
    std::string name;
    /** Takes precedence over the route's priority. */
    std::optional<int> priority;
};

/** What callers may send, and how long they may take. */
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
    RoutingConfiguration(std::uint64_t version, std::vector<Route> routes, std::vector<ServiceProfile> services,
        CallerLimits limits, bool requiresKeys, std::unordered_map<std::string, CallerTeam> teamsByKey);

    std::uint64_t version() const
    {
        return m_version;
    }
    const CallerLimits &limits() const
    {
        return m_limits;
    }
    const std::vector<Route> &routes() const
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
    /** The route of that host with the longest prefix of the path; null when there is none. */
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const ServiceProfile *findService(const std::string &name) const;
    /** Returns null for a key that no team holds. */
    const CallerTeam *findTeam(const std::string &key) const;

private:
    std::uint64_t m_version;
    std::vector<Route> m_routes;
    std::map<std::string, ServiceProfile> m_services;
    CallerLimits m_limits;
    bool m_requiresKeys;
    std::unordered_map<std::string, CallerTeam> m_teamsByKey;
    /** Places in m_routes by host and prefix. */
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> m_routesByHost;
};

using RoutingConfigurationPtr = std::shared_ptr<const RoutingConfiguration>;

/** Chooses a service by weight. `draw` is uniform in [0, 1). */
const std::string &chooseService(const Route &route, double draw);

}
