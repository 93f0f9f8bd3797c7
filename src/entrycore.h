/** \file
 * The decision logic of one entry: which endpoint each attempt of a request is sent to, whether a failed attempt is
 * retried, and which outcome the caller receives.
 */
#pragma once

#include "crashquarantine.h"
#include "endpointchoice.h"
#include "entryevents.h"
#include "membership.h"
#include "retrybudget.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** Selects the production policy or one of the baselines that it is measured against. */
struct EntryPolicy
{
    ChoiceRule choice = ChoiceRule::ExpectedTime;
    bool quarantines = true;
};

/**
 * A deterministic state machine: each event, together with the current time, yields a list of actions.
 *
 * Invariant: a first attempt under an idempotency key is at no more than one agent at a time. It is sent to another
 * agent only after proof that the previous agent has not started it and will not start it.
 */
class EntryCore
{
public:
    static constexpr Duration TICK_INTERVAL = milliseconds(50);

    EntryCore(EntryPolicy policy, std::string failureDomain, std::uint64_t seed);

    std::vector<EntryAction> handle(const EntryEvent &event, TimePoint now);

    const Membership &membership() const
    {
        return m_membership;
    }
    /** The number of requests that have not finished. */
    std::size_t inProgress() const
    {
        return m_requests.size();
    }
    /** The number of retried attempts by reason. */
    const std::map<RetryReason, std::uint64_t> &retries() const
    {
        return m_retries;
    }

private:
    struct Request
    {
        Call call;
        /** Endpoints that are not tried again before the next WaitForRetry delay has elapsed. */
        std::set<std::string> excluded;
        /** Attempts since the request was admitted or last waited. */
        int attempts = 0;
        /** Why the last attempt was refused or interrupted; reported to the caller when no endpoint is left to try. */
        RefusalReason lastReason = RefusalReason::NoEndpoint;
        Duration retryAfter{};
        /** True once an endpoint may have started to execute the request. */
        bool mayHaveRun = false;
    };
    using Actions = std::vector<EntryAction>;

    void onEvent(const CallAdmitted &event, TimePoint now, Actions &actions);
    void onEvent(const AttemptEnded &event, TimePoint now, Actions &actions);
    void onEvent(const RetryDue &event, TimePoint now, Actions &actions);
    void onEvent(const CallerDisconnected &event, TimePoint now, Actions &actions);
    void onEvent(const AgentReportReceived &event, TimePoint now, Actions &actions);
    void onEvent(const HeartbeatFailed &event, TimePoint now, Actions &actions);
    void onEvent(const EntryConfigurationApplied &event, TimePoint now, Actions &actions);
    void onEvent(const EntryTick &event, TimePoint now, Actions &actions);

    void attempt(Request &request, TimePoint now, Actions &actions);
    void retryElsewhere(Request &request, RetryReason reason, TimePoint now, Actions &actions);
    void handleNeverSent(Request &request, const std::string &endpoint, TimePoint now, Actions &actions);
    void handleAnswer(
        Request &request, const std::string &endpoint, const Outcome &outcome, TimePoint now, Actions &actions);
    void handleRefusal(
        Request &request, const std::string &endpoint, const Outcome &outcome, TimePoint now, Actions &actions);
    void handleInterruption(
        Request &request, const std::string &endpoint, RefusalReason reason, TimePoint now, Actions &actions);
    void finishWithoutEndpoint(Request &request, TimePoint now, Actions &actions);
    void finish(const Request &request, const Outcome &outcome, TimePoint now, Actions &actions);
    Outcome refusalFor(
        const Request &request, RefusalReason reason, std::optional<Duration> retryAfter, TimePoint now) const;
    /** The time after which no attempt of the request may start. */
    TimePoint latestStart(const Request &request) const;

    EntryPolicy m_policy;
    FleetConfigurationPtr m_configuration;
    Membership m_membership;
    EndpointChoice m_choice;
    RetryBudget m_retryBudget;
    CrashQuarantine m_quarantine;
    std::unordered_map<std::string, Request> m_requests;
    std::map<RetryReason, std::uint64_t> m_retries;
};

}
