/** \file
 * Exchanges the counts of requests with the other gateways, and collects them while this gateway holds the usage duty.
 * The rules are those of UsageProtocol.
 */
#pragma once

#include "peerlink.h"
#include "usagecollection.h"
#include "usageprotocol.h"

#include "metrics.h"
#include "transport/eventloop.h"

#include <set>
#include <string>

namespace Cyclamenturn
{

class UsageExchange : public UsageCollection
{
public:
    /** `incarnation` is the start of this process in microseconds since 1970. */
    UsageExchange(EventLoop &loop, const std::string &ownName, std::uint64_t incarnation, Duration windowLength,
        PeerView &peers, PeerLink &link, Metrics &metrics);
    ~UsageExchange() override;

    void start();
    /** Counts an attempt of a caller of the team that begins to run now. */
    void count(const std::string &team);
    void beginStop();
    /** Sends all counts to the holder and the backups, as the process is about to end. */
    void finishStop();

    void queryReceived(const UsageQuery &query, const Address &from);
    void countsReceived(const UsageStatement &statement);

    void begin(std::uint64_t fencingToken) override;
    void end() override;
    /** Whether a window is over, and its timeouts, follow this process's clocks as of now. */
    std::optional<ClosedWindow> closedWindow(std::int64_t window, TimePoint now) override;
    std::optional<TimePoint> lastAskedAt() const override;
    bool hearsMostGateways(TimePoint now) const override;

private:
    UsageClock clock() const;
    void tick();
    void send(const std::vector<UsageMessage> &messages);
    void send(const UsageStatement &statement, const Address &to, const char *kind);
    void send(const std::string &bytes, const Address &to, const char *kind);
    void logClosed(const ClosedWindow &closed) const;

    EventLoop &m_loop;
    PeerView &m_peers;
    PeerLink &m_link;
    Metrics &m_metrics;
    UsageProtocol m_protocol;
    EventLoop::Timer m_timer;
};

}
