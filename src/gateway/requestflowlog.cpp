/** \file
 * The final log line of one request.
 */
#include "requestflow.h"

#include "eventlog.h"
#include "gateway.h"

namespace Cyclamenturn
{

namespace
{

constexpr int FIRST_REDIRECTION = 300;
constexpr int FIRST_SERVER_ERROR = 500;

}

void RequestFlow::logRejectionInputs(LogEvent &event) const
{
    const TimePoint now = m_gateway.loop().now();
    const StoreLink &store = m_gateway.store();
    const ConfigurationOrigin &origin = store.configurationOrigin();
    event.field("check", m_failedCheck != nullptr ? m_failedCheck : "none")
        .field("doubt", toString(m_gateway.configurationDoubt()))
        .field("method", m_request.head.method)
        .field("host", requestedHost(m_request.head))
        .field("path", loggedPath(m_request.head))
        .field("from_endpoint", m_responseHead.status != 0 ? 1 : 0)
        .field("sealed", m_responseTraits.hasServerSeal ? 1 : 0)
        .field("configuration_source", origin.source)
        .field("configuration_era", static_cast<long long>(origin.revision.era))
        .field("configuration_revision", static_cast<long long>(origin.revision.revision))
        .field("configuration_age_ms", toMilliseconds(now - origin.receivedAt))
        .field("configuration_confirmed_ms", toMilliseconds(now - store.configurationConfirmedAt()))
        .field("store_era", static_cast<long long>(store.storeRevision().era))
        .field("store_revision", static_cast<long long>(store.storeRevision().revision));
}

void RequestFlow::logOutcome(int status, const char *outcome, Duration took) const
{
    const TimePoint now = m_gateway.loop().now();
    const Route *route = m_admitted.route;
    LogEvent event("request_finished");
    event.field("request", m_traits.attemptId)
        .field("outcome", outcome)
        .field("status", status)
        .field("reason", m_abortReason)
        .field("took_ms", toMilliseconds(took))
        .field("unread_ms", toMilliseconds(m_request.readAt - m_request.arrivedAfter));
    if (route != nullptr) {
        event.field("route", route->name)
            .field("team", m_admitted.team)
            .field("priority", m_admitted.priority)
            .field("endpoint", m_endpoint.id)
            .field("endpoint_version", m_endpoint.version)
            .field("incarnation", m_incarnation)
            .field("sends", m_sends)
            .field("events", m_callerResponse.events())
            .field("first_event_ms", toMilliseconds(m_callerResponse.timeToFirstEvent()))
            .field("longest_pause_ms", toMilliseconds(m_callerResponse.longestEventGap()))
            .field("expected_ms", static_cast<long long>(m_placement.expectedMs))
            .field("estimate_factor_pct",
                static_cast<long long>(100 * m_gateway.estimateCorrection().factor(enginePriority(m_admitted), now)))
            .field("prefill_tokens", m_placement.prefillTokens)
            .field("saved_ms", static_cast<long long>(m_placement.savedMs))
            .field("wait_ms", static_cast<long long>(m_placement.waitMs))
            .field("permits_asked", m_permitsAsked)
            .field("permit_wait_ms", toMilliseconds(m_permitWait))
            .field("intake_delay_ms", toMilliseconds(m_gateway.intakeDelay().current(now)))
            .field("home", m_placement.isHomeEndpoint ? 1 : 0)
            .field("long_answer_endpoints", static_cast<long long>(m_placement.longAnswerEndpoints));
    }
    if (route != nullptr) {
        m_witness.log(event);
    }
    if (m_configuration) {
        event.field("configuration", static_cast<long long>(m_configuration->version()));
    }
    if (m_failedCheck != nullptr || (status >= FIRST_REDIRECTION && status < FIRST_SERVER_ERROR)) {
        logRejectionInputs(event);
    }
    event.field("endpoints_revision", static_cast<long long>(m_gateway.endpoints().revision().revision));
    if (m_gateway.endpoints().readAt()) {
        event.field("endpoints_age_ms", toMilliseconds(now - *m_gateway.endpoints().readAt()));
    }
}

}
