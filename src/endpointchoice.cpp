/** \file
 * Implements the choice rules and the estimate of completion time.
 */
#include "endpointchoice.h"

#include "rendezvoushash.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/**
 * The home endpoint of a prefix is chosen unless its expected time exceeds that of the best candidate by more than this
 * share of the home's mean run time.
 */
constexpr double AFFINITY_SLACK = 0.25;
/** Expected times that differ by no more than this count as equal. */
constexpr Duration TIE_THRESHOLD = milliseconds(2);
/** Lower bound of the slot count in the estimate, so that it never divides by 0. */
constexpr int MIN_SLOTS = 1;

/**
 * The number of calls expected at the endpoint: the larger of the reported load plus the calls sent since that report,
 * and this entry's own calls in flight.
 */
int expectedLoad(const EndpointView &view)
{
    const int reported = view.status.running + view.status.queued + view.sentSinceReport;
    return std::max(reported, view.ownInFlight);
}

/**
 * Returns the endpoints that are neither excluded nor leaving: the healthy ones or, if there are none, those that are
 * suspect or whose agent cannot reach them.
 */
std::vector<const EndpointView *> usableViews(
    const Membership &membership, const std::string &service, const std::set<std::string> &excluded, TimePoint now)
{
    std::vector<const EndpointView *> preferred;
    std::vector<const EndpointView *> fallback;
    for (const EndpointView *view : membership.viewsOf(service)) {
        if (excluded.count(view->spec.name) > 0) {
            continue;
        }
        const EndpointState state = membership.state(*view, now);
        if (state == EndpointState::Leaving) {
            continue;
        }
        const bool isFallback = state == EndpointState::Suspect || !view->status.endpointUp;
        (isFallback ? fallback : preferred).push_back(view);
    }
    return preferred.empty() ? fallback : preferred;
}

}

Duration expectedTime(const EndpointView &view)
{
    const int slots = std::max(view.spec.slots, MIN_SLOTS);
    const int load = expectedLoad(view);
    const int waiting = std::max(0, load - slots + 1);
    const Duration wait = view.status.meanRun * waiting / slots;
    return wait + view.status.meanRun;
}

EndpointChoice::EndpointChoice(ChoiceRule rule, std::string ownFailureDomain, std::uint64_t seed)
    : m_rule(rule)
    , m_ownFailureDomain(std::move(ownFailureDomain))
    , m_random(seed)
{
}

const EndpointView *EndpointChoice::choose(
    const Membership &membership, const Call &call, const std::set<std::string> &excluded, TimePoint now)
{
    const bool resend = call.key && !call.key->firstAttempt;
    if (resend) {
        return chooseHome(membership, call, excluded, now);
    }
    const auto usable = usableViews(membership, call.service, excluded, now);
    if (usable.empty()) {
        return nullptr;
    }
    switch (m_rule) {
    case ChoiceRule::RoundRobin:
        return chooseRoundRobin(usable);
    case ChoiceRule::LeastInFlight:
        return *std::min_element(
            usable.begin(), usable.end(), [](const auto *a, const auto *b) { return a->ownInFlight < b->ownInFlight; });
    case ChoiceRule::ExpectedTime:
        break;
    }
    return chooseByExpectedTime(usable, call);
}

const EndpointView *EndpointChoice::chooseHome(
    const Membership &membership, const Call &call, const std::set<std::string> &excluded, TimePoint now) const
{
    std::vector<std::string> names;
    for (const EndpointView *view : usableViews(membership, call.service, excluded, now)) {
        names.push_back(view->spec.name);
    }
    if (names.empty()) {
        return nullptr;
    }
    return membership.find(rendezvousOrder(call.key->value, names).front());
}

const EndpointView *EndpointChoice::chooseRoundRobin(const std::vector<const EndpointView *> &usable)
{
    return usable[m_roundRobinIndex++ % usable.size()];
}

bool EndpointChoice::isBetter(const EndpointView &candidate, const EndpointView &best) const
{
    const Duration difference = expectedTime(candidate) - expectedTime(best);
    if (difference < -TIE_THRESHOLD || difference > TIE_THRESHOLD) {
        return difference < Duration(0);
    }
    const double candidateLoad = static_cast<double>(expectedLoad(candidate)) / std::max(1, candidate.spec.slots);
    const double bestLoad = static_cast<double>(expectedLoad(best)) / std::max(1, best.spec.slots);
    if (candidateLoad != bestLoad) {
        return candidateLoad < bestLoad;
    }
    return candidate.spec.failureDomain == m_ownFailureDomain && best.spec.failureDomain != m_ownFailureDomain;
}

const EndpointView *EndpointChoice::chooseByExpectedTime(
    const std::vector<const EndpointView *> &usable, const Call &call)
{
    const EndpointView *best = nullptr;
    const std::size_t samples = std::min(CANDIDATE_COUNT, usable.size());
    const std::size_t first = std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(m_random);
    for (std::size_t i = 0; i < samples; ++i) {
        const bool all = samples == usable.size();
        const std::size_t index = all ? (first + i) % usable.size()
                                      : std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(m_random);
        if (!best || isBetter(*usable[index], *best)) {
            best = usable[index];
        }
    }
    if (call.prefix == 0) {
        return best;
    }
    const EndpointView *home = usable[call.prefix % usable.size()];
    const auto slack = Duration(static_cast<std::int64_t>(AFFINITY_SLACK * home->status.meanRun.count()));
    return expectedTime(*home) <= expectedTime(*best) + slack ? home : best;
}

}
