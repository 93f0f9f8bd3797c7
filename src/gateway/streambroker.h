/** \file
 * Tells other gateways which version began a stream, and asks them when a stream is taken up again at this one. The
 * gateway that began the stream may have ended since.
 */
#pragma once

#include "listedversions.h"
#include "peerlink.h"
#include "streamhandover.h"
#include "streammessages.h"
#include "streamorigins.h"

#include "metrics.h"
#include "transport/eventloop.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Cyclamenturn
{

class StreamBroker
{
public:
    /** Receives the version that began the stream, or nothing if no gateway that can be reached knows it. `source`
     * tells how it is known. */
    using Handler = std::function<void(std::optional<VersionKey> version, const char *source)>;
    /** Questions that may wait for answers; further ones are answered with nothing. */
    static constexpr std::size_t MAX_PENDING = 4096;

    StreamBroker(EventLoop &loop, std::string ownName, PeerView &peers, PeerLink &link, Metrics &metrics,
        ListedVersions &versions);
    ~StreamBroker();

    void start();
    /** Passes the origins that this gateway keeps on to others, as it is going to stop. */
    void beginStop();
    /** Records the origin of a stream and sends it to its owners, before the first event is sent to the caller. */
    void noteBegun(const StreamOrigin &origin);
    /**
     * Finds out which version began the stream: from its origin, or, if nobody knows that, because the service had one
     * version alone since it can have begun, and a list that is read now still shows no other one. The id of `question`
     * is ignored. Calls `handler` once, immediately or from the event loop.
     */
    void resolve(const StreamQuestion &question, Handler handler);

    void noteReceived(const StreamOrigin &origin);
    void questionReceived(const StreamQuestion &question, const Address &from);
    void answerReceived(const StreamAnswer &answer);
    void originsAsked(const StreamOriginsQuestion &question, const Address &from);
    void stopNoticeReceived(const StopNotice &notice);
    void originsReceived(const std::vector<AgedOrigin> &origins);
    void expire();

private:
    struct Pending
    {
        StreamQuestion question;
        Handler handler;
        TimePoint startedAt;
        /** Number of answers that this round of questions still waits for. */
        std::size_t unanswered = 0;
        bool isLastRound = false;
        /** What other gateways take for the sole version. */
        std::optional<VersionKey> soleVersion;
        /** Whether they don't agree on it. */
        bool isContradictory = false;
        /** Whether the questions are over and the list is being read. */
        bool isListAwaited = false;
        EventLoop::Timer timer;
    };

    /** Keeps the origin of a stream that begins now, and returns the gateways that are to keep it. */
    std::vector<std::string> note(const StreamOrigin &origin);
    /** The names of all gateways, this one included. */
    const std::vector<std::string> &gateways();
    /** Sends a question to these gateways; the round ends with all answers, or after `timeout`. */
    void ask(std::uint32_t id, const std::vector<std::string> &names, Duration timeout);
    void endRound(std::uint32_t id);
    /** Goes on without an origin: reads the list to confirm the sole version, if there is one. */
    void continueWithoutOrigin(std::uint32_t id);
    void listRead(std::uint32_t id, VersionKey version, bool isRead);
    void finish(std::uint32_t id, std::optional<VersionKey> version, const char *source);
    /** Whether this gateway has run long enough to know the others. */
    bool isSettled() const;

    EventLoop &m_loop;
    std::string m_ownName;
    PeerView &m_peers;
    PeerLink &m_link;
    Metrics &m_metrics;
    ListedVersions &m_versions;
    StreamOrigins m_origins;
    StreamHandover m_handover;
    std::vector<std::string> m_gateways;
    std::uint64_t m_membersVersion = 0;
    TimePoint m_startedAt;
    /** Streams whose origin is being asked for, by the id of the question. */
    std::map<std::uint32_t, Pending> m_pending;
    /** Starts at random, so that late answers to a previous process match no question. */
    std::uint32_t m_nextId;
};

}
