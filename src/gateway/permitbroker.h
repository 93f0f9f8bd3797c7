/** \file
 * Obtains permits for this gateway's requests to endpoints with limits from the gateways that own them, and gives those
 * that this gateway owns.
 */
#pragma once

#include "knownlimits.h"
#include "peerlink.h"
#include "permitbucket.h"
#include "permitmessages.h"
#include "permitowners.h"

#include "metrics.h"
#include "transport/eventloop.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace Cyclamenturn
{

class PermitBroker
{
public:
    using Handler = std::function<void(const PermitDecision &decision)>;

    PermitBroker(EventLoop &loop, std::string ownName, PeerView &peers, PeerLink &link, Metrics &metrics);
    ~PermitBroker();

    void start();
    /** Notes what a response of the endpoint, to a request sent at `sentAt`, states about its limit. */
    void noteResponse(const std::string &endpoint, std::optional<double> perSecond, TimePoint sentAt);
    /** Returns the endpoint's limit, or null if it has none. */
    const EndpointLimit *limit(const std::string &endpoint) const
    {
        return m_limits.find(endpoint);
    }
    bool hasLimits() const
    {
        return m_limits.limitedCount() > 0;
    }
    /** Forgets an endpoint that is gone. */
    void forget(const std::string &endpoint);
    /** When permits of the endpoint may be free again after a denial; in the past if nothing is known. */
    TimePoint deniedUntil(const std::string &endpoint) const;
    /** Asks for a permit; see PermitBucket::take(). Calls `handler` once, from the event loop. */
    void ask(const EndpointLimit &limit, Duration maxWait, Duration returnsWithin, Handler handler);

    void questionReceived(const PermitQuestion &question, const Address &from);
    void answerReceived(const PermitAnswer &answer);
    void limitReceived(const EndpointLimit &limit);
    /** Notes a message from the gateway of that name. */
    void noteHeard(const std::string &name);
    /** Removes what is outdated. */
    void expire();

private:
    struct Pending
    {
        PermitQuestion question;
        /** The gateway that was asked. */
        std::string owner;
        /** Whether the next owner is asked if this one doesn't answer. */
        bool mayAskNext = false;
        Handler handler;
        EventLoop::Timer timer;
    };
    /** Asks the first owner, or decides if this gateway is the owner. */
    void askOwner(PermitQuestion question, Handler handler);
    void send(PermitQuestion question, const std::string &owner, bool mayAskNext, Handler handler);
    void unanswered(std::uint32_t id);
    PermitDecision decide(const PermitQuestion &question);
    /** Answers a question of another gateway. */
    void answer(const PermitQuestion &question, const Address &to, const PermitDecision &decision);
    bool mergeLimit(const EndpointLimit &limit, const char *source);
    void refreshMembers();

    EventLoop &m_loop;
    PeerView &m_peers;
    PeerLink &m_link;
    Metrics &m_metrics;
    std::string m_ownName;
    KnownLimits m_limits;
    PermitOwners m_owners;
    std::uint64_t m_membersVersion = 0;
    /** Permits that this gateway gives, by endpoint. */
    std::unordered_map<std::string, PermitBucket> m_buckets;
    /** By endpoint. */
    std::unordered_map<std::string, TimePoint> m_deniedUntil;
    /** Questions without an answer yet, by id. */
    std::map<std::uint32_t, Pending> m_pending;
    /** Starts at random, so that late answers to a previous process match no question. */
    std::uint32_t m_nextId;
};

}
