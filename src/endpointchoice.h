/** \file
 * Chooses the endpoint for an attempt: a few random candidates compared by expected time to the end of a run, the home
 * of the prompt's prefix among them, and the entry's own failure domain in a tie.
 */
#pragma once

#include "call.h"
#include "membership.h"

#include <random>
#include <set>
#include <string>

namespace Cyclamenturn
{

/** How an entry chooses. The first two are baselines for measurements. */
enum class ChoiceRule {
    RoundRobin,
    LeastInFlight,
    ExpectedTime,
};

class EndpointChoice
{
public:
    /** Random candidates looked at for each choice, whatever the number of endpoints. */
    static constexpr std::size_t CANDIDATE_COUNT = 6;

    EndpointChoice(ChoiceRule rule, std::string ownFailureDomain, std::uint64_t seed);

    /**
     * Returns the endpoint for the next attempt, or null when none may be tried.
     * \param excluded endpoints that this call must not go to again
     */
    const EndpointView *choose(
        const Membership &membership, const Call &call, const std::set<std::string> &excluded, TimePoint now);

private:
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

/** The expected time until a call sent now would be finished. Example: 0 for an idle endpoint without history. */
Duration expectedTime(const EndpointView &view);

}
