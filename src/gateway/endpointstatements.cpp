/** \file
 * Statements of endpoints.
 */
#include "endpointstatements.h"

#include "endpointdirectory.h"
#include "eventlog.h"
#include "metrics.h"
#include "permitbroker.h"
#include "requesttraits.h"

#include <algorithm>

namespace Cyclamenturn
{

EndpointStatements::EndpointStatements(PermitBroker &permits, Metrics &metrics)
    : m_permits(permits)
    , m_metrics(metrics)
{
}

const EndpointStatements::Statement *EndpointStatements::find(const EndpointRecord &endpoint) const
{
    // Usually nothing was stated, and the name of an incarnation takes some time to compute.
    if (m_statements.empty()) {
        return nullptr;
    }
    const auto found = m_statements.find(endpoint.incarnationName());
    return found == m_statements.end() ? nullptr : &found->second;
}

EndpointStatements::Statement *EndpointStatements::entry(const EndpointRecord &endpoint, TimePoint now)
{
    const std::string incarnation = endpoint.incarnationName();
    const auto found = m_statements.find(incarnation);
    if (found != m_statements.end()) {
        return &found->second;
    }
    if (m_statements.size() >= MAX_ENDPOINTS) {
        return nullptr;
    }
    return &m_statements.emplace(incarnation, Statement{endpoint.id, false, {}, now}).first->second;
}

bool EndpointStatements::note(
    const EndpointRecord &endpoint, const ResponseTraits &response, TimePoint sentAt, TimePoint now)
{
    if (response.isOtherInstance) {
        return false;
    }
    if (response.isLimitUnreadable) {
        LogEvent("endpoint_limit_unreadable", LogEvent::Level::Warning).field("endpoint", endpoint.id);
    } else if (response.hasServerSeal || response.isNotExecuted) {
        m_permits.noteResponse(endpoint.incarnationName(), response.limitPerSecond, sentAt);
    }
    if (!response.isLeaving && !response.pause) {
        return false;
    }
    Statement *statement = entry(endpoint, now);
    if (statement == nullptr) {
        return false;
    }
    if (response.pause) {
        const TimePoint until = now + std::min(*response.pause, MAX_PAUSE);
        if (statement->pausedUntil <= now) {
            m_metrics.count("cyclamenturn_endpoint_statements", {{"statement", "pause"}});
            LogEvent("endpoint_pauses")
                .field("endpoint", endpoint.id)
                .field("incarnation", endpoint.incarnationName())
                .field("pause_ms", toMilliseconds(*response.pause));
        }
        statement->pausedUntil = std::max(statement->pausedUntil, until);
    }
    const bool hasJustLeft = response.isLeaving && !statement->isLeaving;
    if (hasJustLeft) {
        statement->isLeaving = true;
        m_metrics.count("cyclamenturn_endpoint_statements", {{"statement", "leaving"}});
        LogEvent("endpoint_says_it_leaves")
            .field("endpoint", endpoint.id)
            .field("incarnation", endpoint.incarnationName());
    }
    countEntries();
    return hasJustLeft;
}

bool EndpointStatements::accepts(const EndpointRecord &endpoint, TimePoint now) const
{
    const Statement *statement = find(endpoint);
    return statement == nullptr || (!statement->isLeaving && statement->pausedUntil <= now);
}

std::optional<TimePoint> EndpointStatements::pausedUntil(const EndpointRecord &endpoint, TimePoint now) const
{
    const Statement *statement = find(endpoint);
    const bool isPaused = statement != nullptr && !statement->isLeaving && statement->pausedUntil > now;
    return isPaused ? std::optional<TimePoint>(statement->pausedUntil) : std::nullopt;
}

void EndpointStatements::expire(const EndpointDirectory &directory, TimePoint now)
{
    for (auto it = m_statements.begin(); it != m_statements.end();) {
        Statement &statement = it->second;
        const EndpointRecord *listed = directory.find(statement.endpointId);
        if (listed != nullptr && listed->incarnationName() == it->first) {
            statement.listedAt = now;
        }
        const bool isOver
            = (!statement.isLeaving && statement.pausedUntil <= now) || now - statement.listedAt >= UNLISTED_RETENTION;
        it = isOver ? m_statements.erase(it) : std::next(it);
    }
    countEntries();
}

void EndpointStatements::countEntries()
{
    const auto leaving = std::count_if(
        m_statements.begin(), m_statements.end(), [](const auto &item) { return item.second.isLeaving; });
    m_metrics.set("cyclamenturn_endpoints_that_leave", {}, static_cast<double>(leaving));
    m_metrics.set(
        "cyclamenturn_endpoints_in_pause", {}, static_cast<double>(m_statements.size()) - static_cast<double>(leaving));
}

}
