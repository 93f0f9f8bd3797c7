/** \file
 * The state of all endpoints as known to one entry. Its sources are the configuration, the status reports that agents
 * send with responses, failed connections and infrequent heartbeats. No process polls all others at a fixed interval.
 */
#pragma once

#include "agentstatus.h"
#include "fleetconfiguration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

enum class EndpointState {
    /** No report received yet; may be tried. */
    Unknown,
    Live,
    /** Accepts no new work. */
    Leaving,
    /**
     * A connection, attempt or heartbeat failed recently. The endpoint is tried again after a delay that doubles with
     * each consecutive failure, up to a limit.
     */
    Suspect,
};

const char *toString(EndpointState state);

/** The state of one endpoint as known to this entry. */
struct EndpointView
{
    EndpointSpec spec;
    /** The last status report of the agent. */
    AgentStatus status;
    std::optional<TimePoint> lastReportAt;
    std::optional<TimePoint> lastHeartbeatAt;
    std::optional<TimePoint> suspectUntil;
    int consecutiveFailures = 0;
    /** Calls that this entry has in flight at the endpoint. */
    int ownInFlight = 0;
    /** Calls that this entry has sent since `status` was received. */
    int sentSinceReport = 0;
};

class Membership
{
public:
    /** An endpoint gets a heartbeat if its agent has not reported for this long. */
    static constexpr Duration HEARTBEAT_INTERVAL = milliseconds(1000);
    /** Minimum time between heartbeats of one entry; bounds their rate independently of the number of endpoints. */
    static constexpr Duration HEARTBEAT_SPACING = milliseconds(250);

    /**
     * Adds and removes endpoints and keeps the state of those that remain. An endpoint with a new address is no longer
     * suspect.
     */
    void apply(const FleetConfiguration &configuration);

    /**
     * Stores a status report of an agent. Returns false if the report was ignored, because it is from an older
     * incarnation, has no newer sequence number, or names an unknown endpoint.
     */
    bool applyReport(const AgentStatus &status, TimePoint now);
    void noteFailure(const std::string &endpoint, TimePoint now);
    void noteSent(const std::string &endpoint);
    void noteEnded(const std::string &endpoint);

    EndpointState state(const EndpointView &view, TimePoint now) const;
    const EndpointView *find(const std::string &endpoint) const;
    /** The views of one service, in order of name. */
    const std::vector<EndpointView *> &viewsOf(const std::string &service) const;
    const std::map<std::string, EndpointView> &views() const
    {
        return m_views;
    }

    /** Returns an endpoint to which a heartbeat is due, and records the heartbeat as sent; null if there is none. */
    const EndpointView *takeDueHeartbeat(TimePoint now);

private:
    EndpointView *findMutable(const std::string &endpoint);

    std::map<std::string, EndpointView> m_views;
    /** Points into m_views; rebuilt with each configuration. */
    std::map<std::string, std::vector<EndpointView *>> m_viewsByService;
    /** The endpoint after which the search for the next heartbeat starts. */
    std::string m_heartbeatCursor;
    std::optional<TimePoint> m_lastHeartbeat;
};

}
