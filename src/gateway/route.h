/** \file
 * A route of the operator's configuration: which requests it takes, and how they are handled.
 */
#pragma once

#include "timepoint.h"

#include <optional>
#include <string>
#include <tuple>
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

    bool operator==(const Route &other) const
    {
        const auto fields = [](const Route &route) {
            return std::tie(route.name, route.host, route.prefix, route.kind, route.timeout, route.objective,
                route.eventGap, route.priority, route.services, route.maxAttempts, route.isPublic, route.hasPrompt,
                route.canResume);
        };
        return fields(*this) == fields(other);
    }
};

/** Chooses one of the route's services in proportion to their weights. `draw` is a random number, uniform in [0, 1). */
const std::string &chooseService(const Route &route, double draw);

}
