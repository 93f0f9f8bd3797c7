/** \file
 * Keeps the quarantine of prompt parts up to date with the other gateways, and reports its decisions.
 */
#pragma once

#include "partquarantine.h"
#include "peerlink.h"

#include "metrics.h"
#include "transport/eventloop.h"

#include <functional>
#include <string>

namespace Cyclamenturn
{

class PartWatch
{
public:
    /** `quarantined` is called when a part has been quarantined. */
    PartWatch(EventLoop &loop, PeerLink &link, Metrics &metrics, std::function<void()> quarantined);
    ~PartWatch();

    void start();
    PartQuarantine &quarantine()
    {
        return m_quarantine;
    }
    /** Records that an unanswered prompt lost its connection, and tells the other gateways soon. */
    void recordCrash(
        const std::vector<PartKey> &parts, std::uint64_t request, const std::string &team, const std::string &endpoint);
    void evidenceReceived(const PartEvidence &evidence);
    /** What to send to some peers in this round of digests; empty if there is nothing. */
    std::string roundMessage();

private:
    void broadcast();
    void check();
    void scheduleCheck();

    EventLoop &m_loop;
    PeerLink &m_link;
    Metrics &m_metrics;
    std::function<void()> m_quarantined;
    PartQuarantine m_quarantine;
    bool m_isBroadcastPending = false;
    /** Whether there was no suspect at the last check. */
    bool m_isIdle = true;
    std::size_t m_round = 0;
    std::size_t m_checks = 0;
    EventLoop::Timer m_broadcastTimer;
    EventLoop::Timer m_checkTimer;
};

}
