/** \file
 * Resumption of streams: a stream goes on only at the software version that began it.
 */
#include "requestflow.h"

#include "eventlog.h"
#include "gateway.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Ids of callers are cut in log lines. */
constexpr std::size_t MAX_LOGGED_ID = 64;

}

bool RequestFlow::isResumption() const
{
    return m_admitted.route->kind == RequestKind::Stream
        && (!m_traits.lastEventId.empty() || !m_traits.resumedAttempt.empty());
}

void RequestFlow::resolveVersion()
{
    StreamQuestion question;
    if (!m_traits.resumedAttempt.empty()) {
        question.stream = streamKey(
            m_traits.resumedAttempt, m_traits.key, requestedHost(m_request.head), requestedPath(m_request.head));
    }
    question.service = serviceKey(m_service);
    // Callers take a stream up within the time that the route allows for all of it.
    question.span = m_admitted.route->timeout + VersionHistory::MAX_LIST_AGE;
    m_gateway.streams().resolve(
        question, [reference = m_gateway.reference(this)](std::optional<VersionKey> version, const char *source) {
            if (const auto flow = reference.lock()) {
                flow->versionResolved(version, source);
            }
        });
}

void RequestFlow::versionResolved(std::optional<VersionKey> version, const char *source)
{
    if (m_finished) {
        return;
    }
    m_version = version;
    if (version) {
        const auto &services = m_admitted.route->services;
        const auto found = std::find_if(
            services.begin(), services.end(), [this](const auto &item) { return hasVersion(item.service); });
        m_service = found != services.end() ? found->service : m_service;
    }
    const char *outcome = !version ? "unknown" : hasVersion(m_service) ? "known" : "gone";
    m_gateway.metrics().count("cyclamenturn_stream_resumptions", {{"outcome", outcome}});
    LogEvent("stream_taken_up")
        .field("request", m_traits.attemptId)
        .field("resumes", m_traits.resumedAttempt.substr(0, MAX_LOGGED_ID))
        .field("last_event", m_traits.lastEventId.substr(0, MAX_LOGGED_ID))
        .field("outcome", outcome)
        .field("source", source)
        .field("version", versionText(version.value_or(0)))
        .field("asked_ms", toMilliseconds(m_gateway.loop().now() - m_request.readAt));
    if (!version) {
        refuse(GatewayRefusal::StreamUnknown);
        return;
    }
    sendToEndpoint();
}

bool RequestFlow::hasVersion(const std::string &service) const
{
    const auto endpoints = m_gateway.endpoints().usable(service);
    return std::any_of(
        endpoints.begin(), endpoints.end(), [this](const auto *record) { return versionKey(*record) == *m_version; });
}

void RequestFlow::noteStreamBegun()
{
    m_version = versionKey(m_endpoint);
    if (m_admitted.route->canResume && !isResumption()) {
        const StreamKey stream
            = streamKey(m_traits.attemptId, m_traits.key, requestedHost(m_request.head), requestedPath(m_request.head));
        m_gateway.streams().noteBegun({stream, *m_version});
    }
}

void RequestFlow::checkIncarnation(const Placement &placement, std::unique_ptr<HttpClientConnection> connection)
{
    m_check = std::make_unique<IncarnationCheck>(m_gateway.loop(), m_gateway.messages(), *placement.endpoint,
        std::move(connection), [this, placement](IncarnationCheck::Result result, auto checkedConnection) {
            incarnationChecked(placement, result, std::move(checkedConnection));
        });
}

void RequestFlow::incarnationChecked(
    Placement placement, IncarnationCheck::Result result, std::unique_ptr<HttpClientConnection> connection)
{
    // The check is on the call stack.
    const std::unique_ptr<IncarnationCheck> check = std::move(m_check);
    const EndpointRecord &expected = check->expected();
    m_gateway.metrics().count("cyclamenturn_incarnation_checks", {{"result", toString(result)}});
    if (result == IncarnationCheck::Result::Same || result == IncarnationCheck::Result::NotStated) {
        placement.endpoint = &expected;
        if (isStillWanted()) {
            startAttempt(placement, std::move(connection));
        } else {
            m_gateway.pool().releaseClosed(expected.id);
        }
        return;
    }
    LogEvent("incarnation_not_confirmed", LogEvent::Level::Warning)
        .field("request", m_traits.attemptId)
        .field("endpoint", expected.id)
        .field("version", expected.version)
        .field("result", toString(result));
    connection.reset();
    m_gateway.pool().releaseClosed(expected.id);
    m_triedEndpoints.insert(expected.id);
    if (result == IncarnationCheck::Result::Other) {
        m_gateway.refreshList();
    }
    sendToEndpoint();
}

void RequestFlow::cancelCheck()
{
    if (m_check) {
        m_gateway.pool().releaseClosed(m_check->expected().id);
        m_check.reset();
    }
}

}
