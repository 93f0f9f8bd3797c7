/** \file
 * The operator's configuration after validation: routes, services, teams and limits. It is immutable; a newer version
 * replaces the whole object.
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

/** Kind of a route's requests; it determines whether they may be repeated. */
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
    /** The maximum time that a caller waits for its response. */
    Duration timeout{};
    /** The service-level objective for the time to the response, or to the first event of a stream. */
    Duration objective{};
    /** The service-level objective for the time between two events of a stream. */
    std::optional<Duration> eventGap;
    /** 0 is the most urgent. */
    int priority = 0;
    /** Never empty. */
    std::vector<WeightedService> services;
    /** The maximum number of endpoints to which one attempt of a caller is sent. */
    int maxAttempts = 1;
    /** Whether requests need no key. */
    bool isPublic = false;
    /** Whether requests state their prompt parts, so that an endpoint that has them cached can be preferred. */
    bool hasPrompt = false;
    /** Whether an interrupted stream can be resumed after its last event. */
    bool canResume = false;

    /** Whether a request that may have run may be run again. */
    bool isRepeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && canResume);
    }
};

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
    /** Throws UserError if a route has no service. */
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
    /** The route of that host with the longest matching prefix; null if there is none. */
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /** Returns null if there is no service of that name. */
    const ServiceProfile *findService(const std::string &name) const;
    /** Returns null if the key belongs to no team. */
    const CallerTeam *findTeam(const std::string &key) const;

private:
    std::uint64_t m_version;
    std::vector<Route> m_routes;
    std::map<std::string, ServiceProfile> m_services;
    CallerLimits m_limits;
    bool m_requiresKeys;
    std::unordered_map<std::string, CallerTeam> m_teamsByKey;
    /** Indexes into m_routes by host and prefix. */
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> m_routesByHost;
};

using RoutingConfigurationPtr = std::shared_ptr<const RoutingConfiguration>;

/** Chooses one of the route's services in proportion to their weights. `draw` is a random number, uniform in [0, 1). */
const std::string &chooseService(const Route &route, double draw);

}
