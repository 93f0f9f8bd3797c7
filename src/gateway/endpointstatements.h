/** \file
 * What endpoints state about themselves in their responses: that they leave, that they want no requests for a while,
 * and how many requests they accept. This is the one place that reads it; whatever sends requests asks it.
 *
 * A statement holds for the incarnation that made it, whatever the list of endpoints says of its state. It is kept for
 * a while after the list has dropped that incarnation, since entries of live endpoints may expire and come back.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace Cyclamenturn
{

class EndpointDirectory;
struct EndpointRecord;
struct ResponseTraits;
class Metrics;
class PermitBroker;

class EndpointStatements
{
public:
    /** Longer pauses are reduced to it, so that a faulty response can't take an endpoint out of use for good. */
    static constexpr Duration MAX_PAUSE = milliseconds(300000);
    /** Endpoints of which statements are kept; the platform has a fraction of that. */
    static constexpr std::size_t MAX_ENDPOINTS = 8192;
    /** How long the statements of an endpoint that isn't listed are kept. */
    static constexpr Duration UNLISTED_RETENTION = milliseconds(120000);

    EndpointStatements(PermitBroker &permits, Metrics &metrics);

    /** Notes what a response of the endpoint, to a request sent at `sentAt`, states. Returns whether the endpoint has
     * just said that it leaves. */
    bool note(const EndpointRecord &endpoint, const ResponseTraits &response, TimePoint sentAt, TimePoint now);
    /** Whether the endpoint wants requests now. */
    bool accepts(const EndpointRecord &endpoint, TimePoint now) const;
    /** The end of a pause that the endpoint has asked for; nothing if it has asked for none, or leaves. */
    std::optional<TimePoint> pausedUntil(const EndpointRecord &endpoint, TimePoint now) const;
    /** Removes pauses that are over, and statements of incarnations that haven't been listed for a while. */
    void expire(const EndpointDirectory &directory, TimePoint now);

private:
    struct Statement
    {
        std::string endpointId;
        bool isLeaving = false;
        TimePoint pausedUntil;
        /** When the incarnation was last known to be listed. */
        TimePoint listedAt;
    };

    /** Returns null if the endpoint has stated nothing. */
    const Statement *find(const EndpointRecord &endpoint) const;
    /** Returns the entry of an endpoint, or null if there are too many. */
    Statement *entry(const EndpointRecord &endpoint, TimePoint now);
    void countEntries();

    PermitBroker &m_permits;
    Metrics &m_metrics;
    /** By EndpointRecord::incarnationName(). An endpoint that stated nothing has no entry. */
    std::unordered_map<std::string, Statement> m_statements;
};

}
