/** \file
 * Chooses the endpoint for an attempt. It compares a few random candidates and the home endpoint of the prompt's prefix
 * by expected completion time, and prefers the entry's own failure domain if they are equal.
 */
#pragma once

#include "call.h"
#include "membership.h"

#include <random>
#include <set>
#include <string>

namespace Cyclamenturn
{

/** How an entry chooses endpoints. The first two rules are baselines for measurements. */
enum class ChoiceRule {
    RoundRobin,
    LeastInFlight,
    ExpectedTime,
};

class EndpointChoice
{
public:
    /** Number of random candidates compared for each choice, independent of the number of endpoints. */
    static constexpr std::size_t CANDIDATE_COUNT = 6;

    EndpointChoice(ChoiceRule rule, std::string ownFailureDomain, std::uint64_t seed);

    /**
     * Returns the endpoint for the next attempt, or null if there is none. A resend is sent to the home endpoint of its
     * idempotency key: the first one in rendezvous-hash order. All other calls follow the choice rule.
     * \param excluded endpoints that this call must not be sent to again
     */
    const EndpointView *choose(
        const Membership &membership, const Call &call, const std::set<std::string> &excluded, TimePoint now);

private:
    /** The first usable endpoint in the rendezvous-hash order of the call's idempotency key. */
    const EndpointView *chooseHome(
        const Membership &membership, const Call &call, const std::set<std::string> &excluded, TimePoint now) const;
    const EndpointView *chooseRoundRobin(const std::vector<const EndpointView *> &usable);
    const EndpointView *chooseByExpectedTime(const std::vector<const EndpointView *> &usable, const Call &call);
    bool isBetter(const EndpointView &candidate, const EndpointView &best) const;

    ChoiceRule m_rule;
    std::string m_ownFailureDomain;
    std::mt19937_64 m_random;
    std::size_t m_roundRobinIndex = 0;
};

/** The expected time until a call that is sent now completes; 0 if the endpoint has reported no run times. */
Duration expectedTime(const EndpointView &view);

}
