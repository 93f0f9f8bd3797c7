/** \file
 * Sending of a request: the choice among the endpoints that may get it, permits for those with limits, and attempts.
 */
#include "requestflow.h"

#include "endpointoutlook.h"
#include "eventlog.h"
#include "gateway.h"
#include "promptadmission.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Permits that a request asks for without waiting, before it asks for one that it waits for. Each takes a round trip.
 */
constexpr int MAX_PERMITS_ASKED = 4;
/** Callers come back after Retry-After if it is at most this part of the time that they have left. */
constexpr int RETURN_TIME_DIVISOR = 3;
/** For so long, a caller may have left without being noticed. */
constexpr Duration UNNOTICED_LEAVE_TIME = milliseconds(5);

}

std::vector<PlacementCandidate> RequestFlow::candidates()
{
    std::vector<PlacementCandidate> out;
    const TimePoint now = m_gateway.loop().now();
    const ServiceProfile *profile = m_configuration ? m_configuration->findService(m_service) : nullptr;
    const std::int64_t memoryTokens = profile != nullptr && profile->engine ? profile->engine->memoryTokens : 0;
    const double gateways = m_gateway.gatewayCount();
    for (const EndpointRecord *listed : m_gateway.endpoints().usable(m_service)) {
        const EndpointRecord &record = m_gateway.incarnations().current(*listed);
        if (isOfVersion(record) && m_triedEndpoints.count(record.id) == 0
            && m_gateway.statements().accepts(record, now)) {
            out.push_back({&record, &m_gateway.statistics(record.id), m_gateway.peers().loadAt(endpointHash(record.id)),
                memoryTokens, gateways});
        }
    }
    return out;
}

void RequestFlow::sendToEndpoint()
{
    if (!isStillWanted()) {
        return;
    }
    if (m_version && !hasVersion(m_service)) {
        if (!awaitList()) {
            giveUp(AttemptOutcome::NotSent, GatewayRefusal::StreamVersionGone);
        }
        return;
    }
    const TimePoint now = m_gateway.loop().now();
    const PromptTraits *prompt = m_traits.prompt ? &*m_traits.prompt : nullptr;
    std::vector<PlacementCandidate> remaining = candidates();
    const auto remove = [&remaining](const auto &isRemoved) {
        remaining.erase(std::remove_if(remaining.begin(), remaining.end(), isRemoved), remaining.end());
    };
    remove([&](const PlacementCandidate &candidate) {
        const EndpointLimit *limit = limitOf(*candidate.record);
        return limit != nullptr
            && (m_permitsAsked >= MAX_PERMITS_ASKED || now < m_gateway.permits().deniedUntil(limit->endpoint));
    });
    const EngineCostModel engine = m_gateway.engineModel(m_service);
    while (!remaining.empty()) {
        const Placement placement = m_gateway.placement().choose(
            remaining, prompt, engine, m_gateway.randomFraction(), now, m_admitted.route->objective);
        if (engine.isLearned ? refuseIfNoRoom(placement, remaining) : refuseIfOverloaded(placement)) {
            return;
        }
        if (limitOf(*placement.endpoint) != nullptr) {
            askPermit(*placement.endpoint, {}, false);
            return;
        }
        if (trySend(placement)) {
            return;
        }
        remove([&placement](const PlacementCandidate &candidate) { return candidate.record == placement.endpoint; });
    }
    if (waitForPermit()) {
        return;
    }
    if (endOfPauses()) {
        giveUp(AttemptOutcome::NotSent, GatewayRefusal::EndpointsPaused);
    } else {
        giveUp(AttemptOutcome::NotSent,
            m_triedEndpoints.empty() ? GatewayRefusal::NoEndpoint : GatewayRefusal::NotReached);
    }
}

bool RequestFlow::isStillWanted()
{
    if (m_connection && !m_gateway.statements().accepts(m_endpoint, m_gateway.loop().now())) {
        withdrawAttempt();
        sendToEndpoint();
        return false;
    }
    const bool isLate = timeLeft() <= Duration();
    const bool hasLeft = m_gateway.loop().lag() > UNNOTICED_LEAVE_TIME && m_callerResponse.isClosedByCaller();
    const std::optional<PartVerdict> verdict = m_witness.judgeParts();
    if (!isLate && !hasLeft && !verdict) {
        return true;
    }
    const char *reason = hasLeft ? "caller_left" : verdict ? "quarantined" : "timed_out";
    m_gateway.metrics().count("cyclamenturn_sends_avoided", {{"reason", reason}});
    if (m_connection) {
        withdrawAttempt();
    }
    if (hasLeft) {
        m_callerResponse.abortStream();
        callerDisconnected();
    } else if (verdict) {
        refuseQuarantinedPart(*verdict);
    } else {
        deadlineReached();
    }
    return false;
}

void RequestFlow::withdrawAttempt()
{
    endAttempt(false);
    --m_sends;
}

std::optional<TimePoint> RequestFlow::endOfPauses() const
{
    const TimePoint now = m_gateway.loop().now();
    std::optional<TimePoint> out;
    for (const EndpointRecord *listed : m_gateway.endpoints().usable(m_service)) {
        const EndpointRecord &record = m_gateway.incarnations().current(*listed);
        if (m_gateway.statements().accepts(record, now)) {
            return std::nullopt;
        }
        const auto until = m_gateway.statements().pausedUntil(record, now);
        if (until && (!out || *until < *out)) {
            out = until;
        }
    }
    return out;
}

bool RequestFlow::trySend(const Placement &placement)
{
    auto connection = m_gateway.pool().acquire(*placement.endpoint, m_gateway.connectionLimit(m_service));
    if (!connection) {
        return false;
    }
    if (needsIncarnation(*placement.endpoint) && !connection->startedAtMs()) {
        checkIncarnation(placement, std::move(connection));
    } else {
        startAttempt(placement, std::move(connection));
    }
    return true;
}

const EndpointLimit *RequestFlow::limitOf(const EndpointRecord &endpoint) const
{
    return m_gateway.permits().hasLimits() ? m_gateway.permits().limit(endpoint.incarnationName()) : nullptr;
}

void RequestFlow::askPermit(const EndpointRecord &endpoint, Duration maxWait, bool isLastChoice)
{
    ++m_permitsAsked;
    m_permitEndpoint = endpoint.id;
    m_isLastPermit = isLastChoice;
    const TimePoint callerLeavesAt = m_request.arrivedAfter + callerTimeout();
    const Duration returnsWithin
        = std::max(milliseconds(1), Duration(callerLeavesAt - m_gateway.loop().now()) / RETURN_TIME_DIVISOR);
    m_gateway.permits().ask(*limitOf(endpoint), maxWait, isLastChoice ? returnsWithin : Duration(),
        [reference = m_gateway.reference(this)](const PermitDecision &decision) {
            if (const auto flow = reference.lock()) {
                flow->permitDecided(decision);
            }
        });
}

bool RequestFlow::waitForPermit()
{
    const EndpointRecord *earliest = nullptr;
    TimePoint earliestAt = TimePoint::max();
    for (const PlacementCandidate &candidate : candidates()) {
        const EndpointLimit *limit = limitOf(*candidate.record);
        const TimePoint freeAt = limit == nullptr ? earliestAt : m_gateway.permits().deniedUntil(limit->endpoint);
        if (freeAt < earliestAt) {
            earliest = candidate.record;
            earliestAt = freeAt;
        }
    }
    if (earliest == nullptr || m_isLastPermit) {
        return false;
    }
    // A response is of full use until the route's objective, counted from the request.
    const Duration untilObjective = m_request.arrivedAfter + m_admitted.route->objective - m_gateway.loop().now();
    askPermit(*earliest, std::max(Duration(), std::min(untilObjective, timeLeft() / 2)), true);
    return true;
}

void RequestFlow::permitDecided(const PermitDecision &decision)
{
    if (m_finished) {
        return;
    }
    if (const auto *granted = std::get_if<PermitGranted>(&decision)) {
        m_permitWait = granted->wait;
        if (granted->wait > Duration()) {
            m_permitTimer = m_gateway.loop().callAfter(granted->wait, [this] { sendWithPermit(); });
        } else {
            sendWithPermit();
        }
        return;
    }
    if (!m_isLastPermit) {
        sendToEndpoint();
    } else if (m_mayHaveRun || m_callerResponse.isStreamStarted()) {
        giveUp(AttemptOutcome::NotRun, GatewayRefusal::LimitReached);
    } else {
        refuse(GatewayRefusal::LimitReached, std::get<PermitDenied>(decision).retryAfter);
    }
}

void RequestFlow::sendWithPermit()
{
    if (!isStillWanted()) {
        return;
    }
    for (const PlacementCandidate &candidate : candidates()) {
        if (candidate.record->id != m_permitEndpoint) {
            continue;
        }
        const PromptTraits *prompt = m_traits.prompt ? &*m_traits.prompt : nullptr;
        if (trySend(m_gateway.placement().choose({candidate}, prompt, m_gateway.engineModel(m_service),
                m_gateway.randomFraction(), m_gateway.loop().now(), m_admitted.route->objective))) {
            return;
        }
    }
    // The endpoint has gone meanwhile, or no connection is free; the permit is lost.
    sendToEndpoint();
}

bool RequestFlow::refuseIfOverloaded(const Placement &placement)
{
    if (!m_traits.prompt || !placement.isLongPrompt || m_sends > 0) {
        return false;
    }
    OverloadInputs inputs;
    const double factor = m_gateway.estimateCorrection().factor(enginePriority(m_admitted), m_gateway.loop().now());
    inputs.expectedFirstEvent = Duration(static_cast<std::int64_t>(placement.expectedMs * factor * 1000));
    inputs.objective = m_admitted.route->objective;
    inputs.timeLeft = timeLeft();
    inputs.initialTimeLeft = m_admitted.route->timeout;
    const OverloadDecision decision = decideOverload(m_gateway.overload(), inputs, m_gateway.randomFraction());
    const auto *rejection = std::get_if<RejectRequest>(&decision);
    if (rejection == nullptr) {
        return false;
    }
    m_placement = placement;
    refuse(GatewayRefusal::Overloaded, rejection->retryAfter);
    return true;
}

bool RequestFlow::refuseIfNoRoom(const Placement &placement, const std::vector<PlacementCandidate> &candidates)
{
    // The rest of a resumed stream is shorter than the whole, by an unknown amount.
    if (!m_traits.prompt || m_sends > 0 || !m_lastEventId.empty()) {
        return false;
    }
    const TimePoint now = m_gateway.loop().now();
    const int level = enginePriority(m_admitted);
    RejectedShares &shares = m_gateway.rejectedShares(m_service);
    const double factor = placement.isLongPrompt ? m_gateway.estimateCorrection().factor(level, now) : 1;
    AdmissionInputs inputs;
    inputs.expectedFirstEvent = Duration(static_cast<std::int64_t>(placement.expectedMs * factor * 1000));
    inputs.processing = Duration(static_cast<std::int64_t>(placement.processingMs * 1000));
    inputs.expectedOutput = Duration(static_cast<std::int64_t>(placement.outputMs * 1000));
    inputs.objective = m_admitted.route->objective;
    inputs.timeLeft = timeLeft();
    inputs.initialTimeLeft = m_admitted.route->timeout;
    inputs.isLongPrompt = placement.isLongPrompt;
    inputs.hasAmpleSlots = hasAmpleSlots(candidates, now);
    inputs.asUrgentShare = placement.isLongPrompt ? shares.asUrgentShare(level, now) : 1;
    inputs.rejectedShare = shares.total(now);
    inputs.isMoreUrgentRejected = shares.isMoreUrgentRejected(level, now);
    const OverloadDecision decision = decideAdmission(m_gateway.overload(), inputs, m_gateway.randomFraction());
    const auto *rejection = std::get_if<RejectRequest>(&decision);
    if (placement.isLongPrompt) {
        shares.note(level, rejection != nullptr, now);
    }
    if (rejection == nullptr) {
        return false;
    }
    m_placement = placement;
    refuse(GatewayRefusal::Overloaded, rejection->retryAfter);
    return true;
}

void RequestFlow::noteCacheUse(TimePoint now)
{
    const PromptTraits &prompt = *m_traits.prompt;
    EndpointStatistics &statistics = m_gateway.statistics(m_endpoint.id);
    statistics.room().noteStarted(tokensNeeded(prompt));
    if (!m_gateway.engineModel(m_service).isLearned) {
        statistics.noteCached(prompt, now);
        return;
    }
    const PeerLoad peers = m_gateway.peers().loadAt(endpointHash(m_endpoint.id));
    const double otherRequests
        = std::max(statistics.load(now) - statistics.inFlight(), static_cast<double>(peers.inFlight));
    const CacheUse use{static_cast<double>(m_placement.prefillTokens) + expectedOutputTokens(prompt),
        m_placement.expectedMs + m_placement.outputMs};
    statistics.keptParts().noteUse(prompt, use, otherRequests, now);
}

void RequestFlow::beginAttempt(const Placement &placement, std::unique_ptr<EndpointConnection> connection)
{
    const TimePoint now = m_gateway.loop().now();
    m_placement = placement;
    m_endpoint = *placement.endpoint;
    m_incarnation = m_endpoint.incarnationName();
    m_placement.endpoint = nullptr;
    m_connection = std::move(connection);
    m_sentAt = now;
    m_witness.attemptStarted(m_endpoint.id, m_incarnation);
    m_firstByteSeen = false;
    clearResponseBody();
    m_splitter.clear();
    m_triedEndpoints.insert(m_endpoint.id);
    ++m_sends;
    EndpointStatistics &statistics = m_gateway.statistics(m_endpoint.id);
    m_pendingTokens = statistics.pendingPrefillTokens();
    m_peersPendingTokens = m_gateway.peers().loadAt(endpointHash(m_endpoint.id)).pendingPrefillTokens;
    statistics.noteSent(m_placement.prefillTokens);
    if (m_traits.prompt) {
        m_cachedTokens = statistics.cachedTokens(*m_traits.prompt, now, m_gateway.placement().policy().cacheLife);
        noteCacheUse(now);
    }
}

void RequestFlow::startAttempt(const Placement &placement, std::unique_ptr<EndpointConnection> connection)
{
    beginAttempt(placement, std::move(connection));
    if (!m_endpoint.isVersionKnown) {
        m_gateway.noteUnlistedUse(m_endpoint);
    }
    ForwardTraits traits;
    traits.endpointId = m_endpoint.id;
    traits.timeLeft = timeLeft();
    traits.team = m_admitted.team;
    if (m_traits.prompt) {
        traits.enginePriority = enginePriority(m_admitted);
    }
    traits.lastEventId = m_lastEventId;
    m_continuation.begin(m_lastEventId);
    HttpRequestHead head{m_request.head.method, m_request.head.target,
        m_gateway.messages().encodeForwardedFields(m_request.head, traits, m_configuration->requiresKeys())};
    m_connection->send(head, m_body, this);
    startResponseTimer(responseTimeout());
    if (m_sends > 1) {
        LogEvent("request_resent")
            .field("request", m_traits.attemptId)
            .field("endpoint", m_endpoint.id)
            .field("endpoint_version", m_endpoint.version)
            .field("incarnation", m_incarnation)
            .field("send", m_sends)
            .field("last_event", m_lastEventId);
    }
}

}
