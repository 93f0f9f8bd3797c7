/** \file
 * Admits or refuses a request by the current configuration, and determines its route, team and priority.
 */
#pragma once

#include "requesttraits.h"
#include "routingconfiguration.h"

#include "transport/httpmessage.h"

#include <string>
#include <variant>

namespace Cyclamenturn
{

/** Why a gateway ended a request itself. Each reason has a counter in the metrics and a name in the log. */
enum class GatewayRefusal {
    NoConfiguration,
    UnknownRoute,
    UnknownKey,
    MissingId,
    BadRequest,
    NoEndpoint,
    AllFull,
    Overloaded,
    Quarantined,
    /** The process stops before the request could be completed. */
    Stopping,
    TimedOutUnsent,
    TimedOut,
    EndpointLost,
    EndpointMalformed,
    NotReached,
    CallerLeft,
};

const char *toString(GatewayRefusal refusal);
/** The HTTP status of the response to the caller. 503 guarantees that the request didn't run. */
int statusOf(GatewayRefusal refusal);

struct AdmittedRequest
{
    /** Owned by the configuration. */
    const Route *route = nullptr;
    /** Empty on public routes. */
    std::string team;
    /** 0 is the most urgent. */
    int priority = 0;
};

using AdmissionResult = std::variant<AdmittedRequest, GatewayRefusal>;

/** Finds the route and checks the key and the attempt id. `configuration` is null until the first one was received. */
AdmissionResult admitRequest(
    const RoutingConfiguration *configuration, const HttpRequestHead &head, const RequestTraits &traits);

/** Number of urgency levels of an engine; level 0 is the most urgent. */
constexpr int ENGINE_URGENCY_LEVELS = 10;

/** The urgency level to send to an engine: by the request's priority, then by the route's priority, so that an engine
 * that runs out of memory doesn't preempt the more urgent of two routes of one team. */
int engineUrgency(const AdmittedRequest &request);

/** The request's host in lower case, without the port. */
std::string requestedHost(const HttpRequestHead &head);
/** The request's target without the query. */
std::string_view requestedPath(const HttpRequestHead &head);

}
