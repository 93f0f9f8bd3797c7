/** \file
 * Keeps the origins of streams known while gateways restart: one that has started asks the others for the origins that
 * it is to keep, and one that stops passes on those that it keeps. Nothing is stored outside the gateways' memory.
 */
#pragma once

#include "peerlink.h"
#include "streammessages.h"
#include "streamorigins.h"

#include "metrics.h"
#include "transport/eventloop.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Cyclamenturn
{

class StreamHandover
{
public:
    /** For so long after its start, a gateway asks others as it learns of them. */
    static constexpr Duration ASKING_TIME = milliseconds(3000);
    /** In fleets of at most this size, others are asked twice, as few know an origin and datagrams are lost. */
    static constexpr std::size_t SMALL_FLEET = 32;

    /** Datagrams are sent so many at a time, so that receivers can read them all. */
    static constexpr int SENT_AT_A_TIME = 16;
    static constexpr Duration SEND_INTERVAL = milliseconds(20);

    StreamHandover(EventLoop &loop, std::string ownName, PeerView &peers, PeerLink &link, StreamOrigins &origins,
        Metrics &metrics);
    ~StreamHandover();

    /** Begins to ask the other gateways. */
    void start();
    /** Tells the others that this gateway stops. Until it ends, it passes its origins on, each to the gateways that
     * rank first among those that don't stop. */
    void beginStop();
    void stopNoticeReceived(const StopNotice &notice);
    void questionReceived(const StreamOriginsQuestion &question, const Address &from);
    /** Notes origins that another gateway has passed on. `gateways` are the names of all gateways. */
    void originsReceived(const std::vector<AgedOrigin> &origins, const std::vector<std::string> &gateways);

private:
    struct Asked
    {
        int times = 0;
        TimePoint last;
    };
    /** Origins that are passed on, and where this has got to. */
    struct PassingOn
    {
        std::vector<AgedOrigin> origins;
        std::size_t next = 0;
        std::vector<std::string> gateways;
        /** By the name of the gateway that gets them; not yet in a datagram. */
        std::map<std::string, std::vector<AgedOrigin>> batches;
    };

    void askOthers();
    /** Begins to pass on the origins that were noted since this was last called. */
    void passOn();
    /** The gateways to which origins are passed on. */
    std::vector<std::string> stayingGateways() const;
    bool isAskDue(const Asked &asked, std::size_t gateways) const;
    /** Handles some origins. Returns whether more remain. */
    bool continuePassingOn();
    /** Queues the origins for sending, in as many datagrams as they need. */
    void post(const std::vector<AgedOrigin> &origins, const Address &to);
    void sendQueued();

    EventLoop &m_loop;
    std::string m_ownName;
    PeerView &m_peers;
    PeerLink &m_link;
    StreamOrigins &m_origins;
    Metrics &m_metrics;
    TimePoint m_startedAt;
    /** By name; empty once ASKING_TIME is over. */
    std::map<std::string, Asked> m_asked;
    EventLoop::Timer m_askTimer;
    /** By gatewayHash(): when gateways told that they stop, until they ask for origins again. Holds names of known
     * gateways only. */
    std::map<std::uint32_t, TimePoint> m_stopping;
    PassingOn m_passingOn;
    /** StreamOrigins::notedCount() as passOn() was last called. */
    std::uint64_t m_passedOnCount = 0;
    EventLoop::Timer m_passOnTimer;
    EventLoop::Task m_passingOnTask = 0;
    /** Datagrams to be sent. At most MAX_QUEUED. */
    std::deque<std::pair<Address, std::string>> m_queue;
    EventLoop::Timer m_sendTimer;
    /** Whether m_sendTimer is pending. */
    bool m_isSending = false;
};

}
