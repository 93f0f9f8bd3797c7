/** \file
 * Admits or refuses a request by the current configuration, and determines its route, team and priority.
 */
#pragma once

#include "configurationfreshness.h"
#include "engineprioritylevels.h"
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
    /** The configuration has no such route or key, but a newer one may. */
    ConfigurationOutdated,
    /** The caller sent no attempt id. */
    MissingId,
    BadRequest,
    /** The service has no usable endpoint with a free connection. */
    NoEndpoint,
    /** The last endpoint that was tried stated that it didn't run the request, and no resend was permitted. */
    AllFull,
    /** The first event is expected too late to be of use. */
    Overloaded,
    /** This process has too little processor time for the requests that arrive. */
    ProcessBehind,
    /** The usable endpoints accept no more requests at present, by the limits that they state. */
    LimitReached,
    /** The usable endpoints want no requests for a while, as they state. */
    EndpointsPaused,
    /** A stream is to be resumed of which no gateway that can be reached knows the software version. */
    StreamUnknown,
    /** A stream is to be resumed, and no endpoint of its software version is left. */
    StreamVersionGone,
    /** Equal requests were in progress when endpoints crashed. */
    Quarantined,
    /** The process stops before the request could be completed. */
    Stopping,
    /** The timeout expired before the request was sent to an endpoint. */
    TimedOutUnsent,
    /** The timeout expired after the request was sent; it may have run. */
    TimedOut,
    /** No complete response was received; the request may have run. */
    EndpointLost,
    /** The endpoint's response was malformed. */
    EndpointMalformed,
    /** No further endpoint could be reached, and the request didn't run. */
    NotReached,
    CallerDisconnected,
};

const char *toString(GatewayRefusal refusal);
/** The HTTP status of the response to the caller. 503 guarantees that the request didn't run. */
int statusOf(GatewayRefusal refusal);

/** Retry-After of refusals that aren't due to load: long enough for a pending change of configuration or endpoints to
 * arrive. */
constexpr Duration DEFAULT_RETRY_AFTER = milliseconds(300);
/** The head of a refusal. `retryAfter` is stated only with a status that lets the caller try again. */
HttpResponseHead refusalHead(int status, Duration retryAfter);

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

/** Returns the status to answer with to a request that exceeds a limit, when `status` is that of the limit in force.
 * While the configuration is unknown or in doubt, the operator's limit may be higher. */
int limitStatusInDoubt(int status, bool hasConfiguration, ConfigurationDoubt doubt);
/** Returns the refusal to answer with: while the configuration is in doubt, what it lacks isn't known to be missing. */
GatewayRefusal refusalInDoubt(GatewayRefusal refusal, ConfigurationDoubt doubt);

/** The priority level to send to an engine: by the request's priority, then by the route's priority, so that an engine
 * that runs out of memory doesn't preempt the more urgent of two routes of one team. */
int enginePriority(const AdmittedRequest &request);

/** The same number of levels by the route's priority, then by the request's. A gateway that is behind rejects the less
 * urgent kind of work first, whoever sends it. */
int intakePriority(const AdmittedRequest &request);

/** The request's host in lower case, without the port. */
std::string requestedHost(const HttpRequestHead &head);
/** The request's target without the query. */
std::string_view requestedPath(const HttpRequestHead &head);
/** The beginning of the path, limited in length for log lines. */
std::string loggedPath(const HttpRequestHead &head);

}
