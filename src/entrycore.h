/** \file
 * The decisions of one entry: where each attempt of a request goes, what a failed attempt means, and what the caller
 * is told at the end.
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

/** Switches between our policy and the baselines that measurements compare it with. */
struct EntryPolicy
{
    ChoiceRule choice = ChoiceRule::ExpectedTime;
    bool quarantines = true;
};

/**
 * A deterministic state machine: an event and the present time give actions.
 *
 * Invariant: a first attempt under an idempotency key is with at most one agent at a time, and goes to another only
 * after it is proved that the last one has not started it and won't.
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
    /** Requests that haven't finished. */
    std::size_t inProgress() const
    {
        return m_requests.size();
    }
    /** Counts of attempts made again, by reason. */
    const std::map<RetryReason, std::uint64_t> &retries() const
    {
        return m_retries;
    }

private:
    struct Request
    {
        Call call;
        std::set<std::string> excluded;
        int attempts = 0;
        /** The reason of the last refusal, told to the caller when nothing else is left. */
        RefusalReason lastReason = RefusalReason::NoEndpoint;
        Duration retryAfter{};
        /** True once some endpoint may have worked on it. */
        bool mayHaveRun = false;
    };
    using Actions = std::vector<EntryAction>;

    void on(const CallAdmitted &event, TimePoint now, Actions &actions);
    void on(const AttemptEnded &event, TimePoint now, Actions &actions);
    void on(const RetryDue &event, TimePoint now, Actions &actions);
    void on(const CallerDisconnected &event, TimePoint now, Actions &actions);
    void on(const AgentReportReceived &event, TimePoint now, Actions &actions);
    void on(const HeartbeatFailed &event, TimePoint now, Actions &actions);
    void on(const EntryConfigurationApplied &event, TimePoint now, Actions &actions);
    void on(const EntryTick &event, TimePoint now, Actions &actions);

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
    void finish(const Request &request, const Outcome &outcome, Actions &actions);
    Outcome refusalFor(
        const Request &request, RefusalReason reason, std::optional<Duration> retryAfter, TimePoint now) const;
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
