/** \file
 * What one entry knows of the endpoints: learned from the configuration, from the figures on answers, from failed
 * connections and from sparse heartbeats. No process polls all others at a fixed interval.
 */
#pragma once

#include "agentfigures.h"
#include "fleetconfiguration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

enum class EndpointState {
    /** Not heard of yet; may be tried. */
    Unknown,
    Live,
    /** Takes no new work. */
    Leaving,
    /** Refused or broke a connection lately; tried again after a pause that doubles. */
    Suspect,
};

const char *toString(EndpointState state);

/** One endpoint as this entry sees it. */
struct EndpointView
{
    EndpointSpec spec;
    AgentFigures figures;
    std::optional<TimePoint> lastReportAt;
    std::optional<TimePoint> lastHeartbeatAt;
    std::optional<TimePoint> suspectUntil;
    int consecutiveFailures = 0;
    /** This entry's calls at the endpoint. */
    int ownInFlight = 0;
    /** This entry's calls sent since the figures were heard. */
    int sentSinceReport = 0;
};

class Membership
{
public:
    /** The time without news after which an endpoint is worth a heartbeat. */
    static constexpr Duration HEARTBEAT_INTERVAL = milliseconds(1000);
    /** Bounds the heartbeats of one entry, whatever the number of endpoints. */
    static constexpr Duration HEARTBEAT_SPACING = milliseconds(250);

    void apply(const FleetConfiguration &configuration);

    /** Takes in figures; drops those of an older incarnation or statement. Returns false when dropped. */
    bool applyReport(const AgentFigures &figures, TimePoint now);
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

    /** The endpoint to which a heartbeat is due, if any; notes it as sent. */
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
