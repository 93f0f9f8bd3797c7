/** \file
 * Software versions of streams: which one begins a stream, and that it goes on at that one only.
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
/** A store that is well answers within a few milliseconds. */
constexpr Duration LIST_TIMEOUT = milliseconds(500);
/** A list that was read so recently isn't read again for a version that it lacks. */
constexpr Duration RECENT_LIST_AGE = milliseconds(300);

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
        selectServiceOfVersion();
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

void RequestFlow::selectServiceOfVersion()
{
    const auto &services = m_admitted.route->services;
    const auto found
        = std::find_if(services.begin(), services.end(), [this](const auto &item) { return hasVersion(item.service); });
    m_service = found != services.end() ? found->service : m_service;
}

bool RequestFlow::hasVersion(const std::string &service) const
{
    const auto endpoints = m_gateway.endpoints().usable(service);
    return std::any_of(endpoints.begin(), endpoints.end(),
        [this](const auto *listed) { return isOfVersion(m_gateway.incarnations().current(*listed)); });
}

bool RequestFlow::isOfVersion(const EndpointRecord &endpoint) const
{
    return !m_version || versionKey(endpoint) == m_gateway.incarnations().versionOf(*m_version);
}

bool RequestFlow::awaitList()
{
    const StoreLink &store = m_gateway.store();
    const auto readAt = m_gateway.endpoints().readAt();
    const bool isRecent = readAt && m_gateway.loop().now() - *readAt < RECENT_LIST_AGE;
    if (m_wasListAwaited || isRecent || !store.isListAvailable()) {
        return false;
    }
    m_wasListAwaited = true;
    m_isListAwaited = true;
    m_listTimer = m_gateway.loop().callAfter(LIST_TIMEOUT, [this] { listAwaited(); });
    m_gateway.refreshList([reference = m_gateway.reference(this)](bool) {
        if (const auto flow = reference.lock()) {
            flow->listAwaited();
        }
    });
    return true;
}

void RequestFlow::listAwaited()
{
    if (m_finished || !m_isListAwaited) {
        return;
    }
    m_isListAwaited = false;
    m_gateway.loop().cancel(m_listTimer);
    if (!m_callerResponse.isStreamStarted()) {
        selectServiceOfVersion();
    }
    sendToEndpoint();
}

void RequestFlow::noteStreamBegun()
{
    m_version = versionKey(m_endpoint);
    m_gateway.metrics().count(
        "cyclamenturn_streams_begun", {{"version", m_endpoint.isVersionKnown ? "known" : "unlisted"}});
    if (m_admitted.route->canResume && !isResumption()) {
        const StreamKey stream
            = streamKey(m_traits.attemptId, m_traits.key, requestedHost(m_request.head), requestedPath(m_request.head));
        m_gateway.streams().noteBegun({stream, *m_version});
    }
}

bool RequestFlow::needsIncarnation(const EndpointRecord &endpoint) const
{
    const bool mayGoOn = m_admitted.route->kind == RequestKind::Stream && m_admitted.route->canResume;
    return (m_version || mayGoOn) && endpoint.startedAtMs != 0;
}

void RequestFlow::checkIncarnation(const Placement &placement, std::unique_ptr<EndpointConnection> connection)
{
    m_check = std::make_unique<IncarnationCheck>(m_gateway.loop(), m_gateway.messages(), *placement.endpoint,
        std::move(connection), [this, placement](IncarnationCheck::Result result, auto checkedConnection) {
            incarnationChecked(placement, result, std::move(checkedConnection));
        });
}

void RequestFlow::incarnationChecked(
    Placement placement, IncarnationCheck::Result result, std::unique_ptr<EndpointConnection> connection)
{
    // The check is on the call stack.
    const std::unique_ptr<IncarnationCheck> check = std::move(m_check);
    const EndpointRecord &expected = check->expected();
    m_gateway.metrics().count("cyclamenturn_incarnation_checks",
        {{"result", toString(result)}, {"for", m_version ? "resumption" : "beginning"}});
    placement.endpoint = &expected;
    if (check->connectFailure()) {
        beginAttempt(placement, std::move(connection));
        exchangeFailed(*check->connectFailure());
        return;
    }
    if (result == IncarnationCheck::Result::Failed || result == IncarnationCheck::Result::Other) {
        otherIncarnationFound(*check, result);
    }
    if (result == IncarnationCheck::Result::Failed) {
        m_gateway.statistics(expected.id).noteResult(EndpointResult::NoResponse, m_gateway.loop().now());
    }
    if (connection && result != IncarnationCheck::Result::Failed) {
        const bool isOther = result == IncarnationCheck::Result::Other;
        connection->setStartedAtMs(isOther ? check->statedStartMs() : expected.startedAtMs);
        const bool isAccepted = !isOther && m_gateway.statements().accepts(expected, m_gateway.loop().now());
        if (isAccepted && isStillWanted()) {
            startAttempt(placement, std::move(connection));
            return;
        }
        m_gateway.pool().release(expected.id, std::move(connection), ConnectionPool::DEFAULT_IDLE_TIMEOUT);
        if (m_finished) {
            return;
        }
    } else {
        connection.reset();
        m_gateway.pool().releaseClosed(expected.id);
    }
    const bool isFirstCheck = m_checkedEndpoints.insert(expected.id).second;
    if (!isFirstCheck || result == IncarnationCheck::Result::Failed) {
        m_triedEndpoints.insert(expected.id);
    }
    sendToEndpoint();
}

void RequestFlow::otherIncarnationFound(const IncarnationCheck &check, IncarnationCheck::Result result)
{
    const EndpointRecord &expected = check.expected();
    LogEvent("incarnation_not_confirmed", LogEvent::Level::Warning)
        .field("request", m_traits.attemptId)
        .field("endpoint", expected.id)
        .field("version", expected.version)
        .field("result", toString(result))
        .field("started_at_ms", static_cast<long long>(expected.startedAtMs))
        .field("stated_ms", static_cast<long long>(check.statedStartMs()));
    const EndpointRecord *listed = m_gateway.endpoints().find(expected.id);
    if (result == IncarnationCheck::Result::Other && listed != nullptr) {
        m_gateway.incarnations().noteStated(*listed, check.statedStartMs());
        m_gateway.refreshList([](bool) {});
    }
}

void RequestFlow::cancelCheck()
{
    if (m_check) {
        m_gateway.pool().releaseClosed(m_check->expected().id);
        m_check.reset();
    }
}

}
