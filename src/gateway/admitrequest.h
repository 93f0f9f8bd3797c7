/** \file
 * Whether a request may go on, by the configuration in force: its route, its team and its priority.
 */
#pragma once

#include "requesttraits.h"
#include "routingconfiguration.h"

#include "transport/httpmessage.h"

#include <string>
#include <variant>

namespace Cyclamenturn
{

/** Why a gateway ended a request by itself. Each is a counter and a word in the log. */
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
    /** The process leaves before the request could be finished. */
    Stopping,
    TimedOutUnsent,
    TimedOut,
    EndpointLost,
    EndpointMalformed,
    NotReached,
    CallerLeft,
};

const char *toString(GatewayRefusal refusal);
/** The HTTP status with which a caller is told. 503 is a promise that the request hasn't run. */
int statusOf(GatewayRefusal refusal);

struct AdmittedRequest
{
    /** Points into the configuration. */
    const Route *route = nullptr;
    /** Empty on public routes. */
    std::string team;
    /** 0 is the most urgent. */
    int priority = 0;
};

using AdmissionResult = std::variant<AdmittedRequest, GatewayRefusal>;

AdmissionResult admitRequest(
    const RoutingConfiguration *configuration, const HttpRequestHead &head, const RequestTraits &traits);

/** Urgencies that an engine tells apart, 0 first. */
constexpr int ENGINE_URGENCY_LEVELS = 10;

/** The urgency to state to an engine: by priority, and among equals by the route's own, so that an engine that runs out
 * of memory doesn't preempt the more urgent of two routes of one team. */
int engineUrgency(const AdmittedRequest &request);

/** The host that a request names, in lower case and without a port. */
std::string requestedHost(const HttpRequestHead &head);
/** The target without its query. */
std::string_view requestedPath(const HttpRequestHead &head);

}
