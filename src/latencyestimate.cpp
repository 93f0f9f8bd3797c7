/** \file
 * Implements the windowed quantiles with Boost.Accumulators.
 */
#include "latencyestimate.h"

#include <array>

namespace Cyclamenturn
{

namespace
{

constexpr std::size_t WINDOW_SAMPLES = 256;
constexpr double MEDIAN = 0.5;
constexpr double PERCENTILE_90 = 0.9;
/** The weight of a new sample in the exponentially weighted mean. */
constexpr double MEAN_WEIGHT = 0.1;

}

LatencyEstimate::LatencyEstimate()
    : m_older(emptyQuantiles())
    , m_newer(emptyQuantiles())
{
}

LatencyEstimate::Quantiles LatencyEstimate::emptyQuantiles()
{
    static const std::array<double, 3> PROBABILITIES = {MEDIAN, PERCENTILE_90, 0.99};
    return Quantiles(boost::accumulators::extended_p_square_probabilities = PROBABILITIES);
}

void LatencyEstimate::add(Duration sample)
{
    const auto value = static_cast<double>(sample.count());
    m_mean = m_olderCount == 0 ? value : m_mean + MEAN_WEIGHT * (value - m_mean);
    m_older(value);
    ++m_olderCount;
    if (m_olderCount > WINDOW_SAMPLES) {
        m_newer(value);
        ++m_newerCount;
    }
    if (m_newerCount == WINDOW_SAMPLES) {
        m_older = m_newer;
        m_olderCount = m_newerCount;
        m_newer = emptyQuantiles();
        m_newerCount = 0;
    }
}

std::optional<Duration> LatencyEstimate::quantile(double probability) const
{
    if (m_olderCount < MIN_SAMPLES) {
        return std::nullopt;
    }
    const double value
        = boost::accumulators::quantile(m_older, boost::accumulators::quantile_probability = probability);
    return Duration(static_cast<std::int64_t>(value));
}

std::optional<Duration> LatencyEstimate::median() const
{
    return quantile(MEDIAN);
}

std::optional<Duration> LatencyEstimate::percentile90() const
{
    return quantile(PERCENTILE_90);
}

std::optional<Duration> LatencyEstimate::mean() const
{
    if (m_olderCount < MIN_SAMPLES) {
        return std::nullopt;
    }
    return Duration(static_cast<std::int64_t>(m_mean));
}

}
