/** \file
 * Exchange of permits between gateways.
 */
#include "permitbroker.h"

#include "eventlog.h"

#include <algorithm>
#include <random>

namespace Cyclamenturn
{

namespace
{

/** A gateway answers within a few milliseconds, small and busy ones within a few tens. */
constexpr Duration ANSWER_TIMEOUT = milliseconds(60);
/** The second owner may have to ask the first one itself. */
constexpr Duration RELAYED_ANSWER_TIMEOUT = milliseconds(150);
/** When to ask again while no owner answers. */
constexpr Duration NO_OWNER_RETRY = milliseconds(200);

}

PermitBroker::PermitBroker(EventLoop &loop, std::string ownName, PeerView &peers, PeerLink &link, Metrics &metrics)
    : m_loop(loop)
    , m_peers(peers)
    , m_link(link)
    , m_metrics(metrics)
    , m_ownName(std::move(ownName))
    , m_owners(m_ownName)
    , m_nextId(std::random_device{}())
{
}

PermitBroker::~PermitBroker()
{
    for (const auto &[id, pending] : m_pending) {
        m_loop.cancel(pending.timer);
    }
}

void PermitBroker::start()
{
    m_owners.start(m_loop.now());
}

bool PermitBroker::mergeLimit(const EndpointLimit &limit, const char *source)
{
    if (!m_limits.merge(limit)) {
        return false;
    }
    m_deniedUntil.erase(limit.endpoint);
    LogEvent(limit.perSecond ? "endpoint_limit_set" : "endpoint_limit_ended")
        .field("incarnation", limit.endpoint)
        .field("per_second", limit.perSecond ? std::to_string(*limit.perSecond) : "none")
        .field("age_ms", toMilliseconds(m_loop.now() - limit.at))
        .field("source", source);
    m_metrics.set("cyclamenturn_limited_endpoints", {}, static_cast<double>(m_limits.limitedCount()));
    return true;
}

void PermitBroker::noteResponse(const std::string &endpoint, std::optional<double> perSecond, TimePoint sentAt)
{
    const EndpointLimit limit{endpoint, perSecond, perSecond ? m_loop.now() : sentAt};
    if (mergeLimit(limit, "response")) {
        m_link.broadcast(encodeLimitNotice(limit, m_loop.now()));
    }
}

void PermitBroker::limitReceived(const EndpointLimit &limit)
{
    mergeLimit(limit, "peer");
}

void PermitBroker::forget(const std::string &endpoint)
{
    m_limits.remove(endpoint);
    m_buckets.erase(endpoint);
    m_deniedUntil.erase(endpoint);
}

TimePoint PermitBroker::deniedUntil(const std::string &endpoint) const
{
    const auto found = m_deniedUntil.find(endpoint);
    return found == m_deniedUntil.end() ? TimePoint() : found->second;
}

void PermitBroker::noteHeard(const std::string &name)
{
    m_owners.noteHeard(name);
}

void PermitBroker::refreshMembers()
{
    if (m_membersVersion != m_peers.membersVersion()) {
        m_membersVersion = m_peers.membersVersion();
        m_owners.setMembers(m_peers.members());
    }
}

void PermitBroker::ask(const EndpointLimit &limit, Duration maxWait, Duration returnsWithin, Handler handler)
{
    PermitQuestion question;
    question.asker = m_ownName;
    question.limit = limit;
    question.maxWait = maxWait;
    question.returnsWithin = returnsWithin;
    askOwner(std::move(question),
        [this, endpoint = limit.endpoint, returnsWithin, handler = std::move(handler)](const auto &decision) {
            const auto *denied = std::get_if<PermitDenied>(&decision);
            m_metrics.count("cyclamenturn_permits_asked", {{"outcome", denied != nullptr ? "denied" : "granted"}});
            if (denied != nullptr && returnsWithin == Duration()) {
                m_deniedUntil[endpoint] = m_loop.now() + denied->retryAfter;
            }
            handler(decision);
        });
}

void PermitBroker::askOwner(PermitQuestion question, Handler handler)
{
    refreshMembers();
    const auto owners = m_owners.owners(question.limit.endpoint, m_loop.now());
    if (owners.empty()) {
        m_loop.callAt(m_loop.now(), [handler = std::move(handler)] { handler(PermitDenied{NO_OWNER_RETRY}); });
    } else if (m_owners.isOwn(owners.front())) {
        m_loop.callAt(m_loop.now(), [handler = std::move(handler), decision = decide(question)] { handler(decision); });
    } else {
        send(std::move(question), owners.front(), true, std::move(handler));
    }
}

void PermitBroker::send(PermitQuestion question, const std::string &owner, bool mayAskNext, Handler handler)
{
    const std::uint32_t id = ++m_nextId;
    question.id = id;
    const auto address = m_peers.addressOf(owner);
    if (address) {
        m_link.send(encodePermitQuestion(question, m_loop.now()), *address);
    }
    const Duration timeout = mayAskNext || question.isRelayed ? ANSWER_TIMEOUT : RELAYED_ANSWER_TIMEOUT;
    Pending &pending = m_pending[id];
    pending = {std::move(question), owner, mayAskNext, std::move(handler), {}};
    pending.timer = m_loop.callAfter(timeout, [this, id] { unanswered(id); });
}

void PermitBroker::unanswered(std::uint32_t id)
{
    const auto found = m_pending.find(id);
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
    m_metrics.count("cyclamenturn_permits_unanswered", {});
    m_owners.noteUnanswered(pending.owner, m_loop.now());
    if (m_owners.isDown(pending.owner, m_loop.now())) {
        LogEvent("permit_owner_down")
            .field("owner", pending.owner)
            .field("incarnation", pending.question.limit.endpoint);
    }
    const auto owners = m_owners.owners(pending.question.limit.endpoint, m_loop.now());
    const auto next
        = std::find_if(owners.begin(), owners.end(), [&pending](const auto &name) { return name != pending.owner; });
    if (!pending.mayAskNext || next == owners.end()) {
        pending.handler(PermitDenied{NO_OWNER_RETRY});
    } else if (!m_owners.isOwn(*next)) {
        send(pending.question, *next, false, pending.handler);
    } else {
        // This gateway is next; it gives permits once the owner counts as down.
        const bool isOwner = m_owners.isOwn(owners.front());
        pending.handler(isOwner ? decide(pending.question) : PermitDecision(PermitDenied{NO_OWNER_RETRY}));
    }
}

PermitDecision PermitBroker::decide(const PermitQuestion &question)
{
    const EndpointLimit *limit = m_limits.find(question.limit.endpoint);
    if (limit == nullptr) {
        return PermitGranted{};
    }
    const auto bucket = m_buckets.try_emplace(limit->endpoint, *limit->perSecond, m_loop.now()).first;
    const PermitDecision out
        = bucket->second.take(*limit->perSecond, question.maxWait, question.returnsWithin, m_loop.now());
    const bool isGranted = std::holds_alternative<PermitGranted>(out);
    m_metrics.count("cyclamenturn_permits_decided", {{"outcome", isGranted ? "granted" : "denied"}});
    return out;
}

void PermitBroker::questionReceived(const PermitQuestion &question, const Address &from)
{
    noteHeard(question.asker);
    mergeLimit(question.limit, "peer");
    refreshMembers();
    const auto owners = m_owners.owners(question.limit.endpoint, m_loop.now());
    const bool isOwner = !owners.empty() && m_owners.isOwn(owners.front());
    const bool isHandedOver = question.isRelayed && !owners.empty() && owners.front() == question.asker;
    if (isOwner || isHandedOver) {
        answer(question, from, decide(question));
    } else if (question.isRelayed || owners.empty()) {
        answer(question, from, PermitDenied{NO_OWNER_RETRY});
    } else {
        PermitQuestion relayed = question;
        relayed.asker = m_ownName;
        relayed.isRelayed = true;
        m_metrics.count("cyclamenturn_permits_relayed", {});
        const auto owner = owners.front() != question.asker || owners.size() < 2 ? owners.front() : owners[1];
        if (m_owners.isOwn(owner)) {
            answer(question, from, decide(question));
            return;
        }
        send(std::move(relayed), owner, true,
            [this, question, from](const PermitDecision &decision) { answer(question, from, decision); });
    }
}

void PermitBroker::answer(const PermitQuestion &question, const Address &to, const PermitDecision &decision)
{
    PermitAnswer out;
    out.id = question.id;
    out.sender = m_ownName;
    out.decision = decision;
    const EndpointLimit *latest = m_limits.latest(question.limit.endpoint);
    out.limit = latest != nullptr ? *latest : question.limit;
    m_link.send(encodePermitAnswer(out, m_loop.now()), to);
}

void PermitBroker::answerReceived(const PermitAnswer &answer)
{
    noteHeard(answer.sender);
    mergeLimit(answer.limit, "peer");
    const auto found = m_pending.find(answer.id);
    if (found == m_pending.end() || found->second.question.limit.endpoint != answer.limit.endpoint) {
        return;
    }
    const Handler handler = std::move(found->second.handler);
    m_loop.cancel(found->second.timer);
    m_pending.erase(found);
    handler(answer.decision);
}

void PermitBroker::expire()
{
    const TimePoint now = m_loop.now();
    m_limits.expire(now);
    for (auto it = m_deniedUntil.begin(); it != m_deniedUntil.end();) {
        it = it->second < now ? m_deniedUntil.erase(it) : std::next(it);
    }
    for (auto it = m_buckets.begin(); it != m_buckets.end();) {
        const bool hasLimit = m_limits.find(it->first) != nullptr;
        it = hasLimit ? std::next(it) : m_buckets.erase(it);
    }
}

}
