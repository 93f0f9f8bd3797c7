/** \file
 * Admission of a request by the current configuration.
 */
#include "admitrequest.h"

#include <Poco/String.h>

#include <algorithm>
#include <cstdio>

namespace Cyclamenturn
{

namespace
{

constexpr int BODY_TOO_LARGE = 413;
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int HEADER_TOO_LARGE = 431;
constexpr int UNAVAILABLE = 503;

std::string formatSeconds(Duration span)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(span.count()) / 1e6);
    return text;
}

}

const char *toString(GatewayRefusal refusal)
{
    switch (refusal) {
    case GatewayRefusal::NoConfiguration:
        return "no_configuration";
    case GatewayRefusal::UnknownRoute:
        return "unknown_route";
    case GatewayRefusal::UnknownKey:
        return "unknown_key";
    case GatewayRefusal::ConfigurationOutdated:
        return "configuration_outdated";
    case GatewayRefusal::MissingId:
        return "missing_id";
    case GatewayRefusal::BadRequest:
        return "bad_request";
    case GatewayRefusal::NoEndpoint:
        return "no_endpoint";
    case GatewayRefusal::AllFull:
        return "all_full";
    case GatewayRefusal::Overloaded:
        return "overloaded";
    case GatewayRefusal::ProcessBehind:
        return "process_behind";
    case GatewayRefusal::LimitReached:
        return "limit_reached";
    case GatewayRefusal::EndpointsPaused:
        return "endpoints_paused";
    case GatewayRefusal::StreamUnknown:
        return "stream_unknown";
    case GatewayRefusal::StreamVersionGone:
        return "stream_version_gone";
    case GatewayRefusal::Quarantined:
        return "quarantined";
    case GatewayRefusal::Stopping:
        return "stopping";
    case GatewayRefusal::TimedOutUnsent:
        return "timed_out_unsent";
    case GatewayRefusal::TimedOut:
        return "timed_out";
    case GatewayRefusal::EndpointLost:
        return "endpoint_lost";
    case GatewayRefusal::EndpointMalformed:
        return "endpoint_malformed";
    case GatewayRefusal::NotReached:
        return "not_reached";
    case GatewayRefusal::CallerDisconnected:
        return "caller_left";
    }
    return "unknown";
}

int statusOf(GatewayRefusal refusal)
{
    switch (refusal) {
    case GatewayRefusal::UnknownRoute:
        return 404;
    case GatewayRefusal::UnknownKey:
        return 401;
    case GatewayRefusal::MissingId:
    case GatewayRefusal::BadRequest:
        return 400;
    case GatewayRefusal::TimedOut:
        return 504;
    case GatewayRefusal::EndpointLost:
    case GatewayRefusal::EndpointMalformed:
        return 502;
    case GatewayRefusal::NoConfiguration:
    case GatewayRefusal::ConfigurationOutdated:
    case GatewayRefusal::NoEndpoint:
    case GatewayRefusal::AllFull:
    case GatewayRefusal::Overloaded:
    case GatewayRefusal::ProcessBehind:
    case GatewayRefusal::LimitReached:
    case GatewayRefusal::EndpointsPaused:
    case GatewayRefusal::StreamUnknown:
    case GatewayRefusal::StreamVersionGone:
    case GatewayRefusal::Quarantined:
    case GatewayRefusal::Stopping:
    case GatewayRefusal::TimedOutUnsent:
    case GatewayRefusal::NotReached:
    case GatewayRefusal::CallerDisconnected:
        return 503;
    }
    return 503;
}

HttpResponseHead refusalHead(int status, Duration retryAfter)
{
    HttpResponseHead out{status, "", {}};
    if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS) {
        out.fields.add("Retry-After", formatSeconds(retryAfter));
    }
    return out;
}

int limitStatusInDoubt(int status, bool hasConfiguration, ConfigurationDoubt doubt)
{
    const bool isLimit = status == BODY_TOO_LARGE || status == HEADER_TOO_LARGE;
    return isLimit && (!hasConfiguration || doubt != ConfigurationDoubt::None) ? UNAVAILABLE : status;
}

GatewayRefusal refusalInDoubt(GatewayRefusal refusal, ConfigurationDoubt doubt)
{
    const bool isAboutContent = refusal == GatewayRefusal::UnknownRoute || refusal == GatewayRefusal::UnknownKey;
    return isAboutContent && doubt != ConfigurationDoubt::None ? GatewayRefusal::ConfigurationOutdated : refusal;
}

namespace
{

constexpr int PRIORITIES = 3;

int priorityLevel(int major, int minor)
{
    return std::clamp(major * PRIORITIES + std::clamp(minor, 0, PRIORITIES - 1), 0, ENGINE_PRIORITY_LEVELS - 1);
}

}

int enginePriority(const AdmittedRequest &request)
{
    return priorityLevel(request.priority, request.route->priority);
}

int intakePriority(const AdmittedRequest &request)
{
    return priorityLevel(request.route->priority, request.priority);
}

std::string requestedHost(const HttpRequestHead &head)
{
    const std::string *host = head.fields.find("Host");
    if (host == nullptr) {
        return {};
    }
    return Poco::toLower(host->substr(0, host->find(':')));
}

std::string_view requestedPath(const HttpRequestHead &head)
{
    const std::string_view target = head.target;
    return target.substr(0, target.find('?'));
}

std::string loggedPath(const HttpRequestHead &head)
{
    constexpr std::size_t MAX_LOGGED_BYTES = 80;
    return std::string(requestedPath(head).substr(0, MAX_LOGGED_BYTES));
}

AdmissionResult admitRequest(
    const RoutingConfiguration *configuration, const HttpRequestHead &head, const RequestTraits &traits)
{
    if (configuration == nullptr) {
        return GatewayRefusal::NoConfiguration;
    }
    if (head.target.empty() || head.target.front() != '/') {
        return GatewayRefusal::BadRequest;
    }
    AdmittedRequest out;
    out.route = configuration->findRoute(requestedHost(head), requestedPath(head));
    if (out.route == nullptr) {
        return GatewayRefusal::UnknownRoute;
    }
    out.priority = out.route->priority;
    if (configuration->requiresKeys() && !out.route->isPublic) {
        const CallerTeam *team = configuration->findTeam(traits.key);
        if (team == nullptr) {
            return GatewayRefusal::UnknownKey;
        }
        out.team = team->name;
        out.priority = team->priority.value_or(out.priority);
    }
    if (traits.attemptId.empty()) {
        return GatewayRefusal::MissingId;
    }
    return out;
}

}
