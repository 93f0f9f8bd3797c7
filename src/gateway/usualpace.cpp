/** \file
 * Moving average of the stated pace.
 */
#include "usualpace.h"

#include "exponentialdecay.h"

#include <algorithm>
#include <cmath>

namespace Cyclamenturn
{

namespace
{

constexpr double PERCENT = 100;
/** Minimum weight of a new statement, so that a VM that is met rarely is learned within a few responses. */
constexpr double MIN_WEIGHT = 0.1;
/** Paces change many times per second, so that a statement says little about the present after a second. */
constexpr Duration PRESENT_TIME_CONSTANT = milliseconds(1000);

}

void UsualPace::note(int pacePercent, TimePoint now)
{
    m_latest = std::clamp(pacePercent / PERCENT, MIN_PACE, MAX_PACE);
    const double weight = std::max(MIN_WEIGHT, 1 - decayFactor(now - m_notedAt, TIME_CONSTANT));
    m_value = m_value ? *m_value + weight * (m_latest - *m_value) : m_latest;
    m_notedAt = now;
}

std::optional<double> UsualPace::present(TimePoint now) const
{
    if (!m_value) {
        return std::nullopt;
    }
    return *m_value + (m_latest - *m_value) * decayFactor(now - m_notedAt, PRESENT_TIME_CONSTANT);
}

double speedClassOf(double usualPace)
{
    return std::exp2(-std::round(std::log2(std::clamp(usualPace, UsualPace::MIN_PACE, UsualPace::MAX_PACE))));
}

}
