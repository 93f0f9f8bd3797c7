/** \file
 * Running estimates of call latency quantiles over a window of recent samples, so that old load has no influence.
 */
#pragma once

#include "timepoint.h"

#include <sstream> // Boost 1.74 uses std::ostringstream without including it

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <optional>

namespace Cyclamenturn
{

/**
 * Estimates the median and the 90th percentile of a stream of durations.
 *
 * Two estimators with staggered starts run in parallel. Once the newer one holds WINDOW_SAMPLES samples, it replaces
 * the older one, so that an estimate is based on the last WINDOW_SAMPLES to 2 * WINDOW_SAMPLES samples.
 */
class LatencyEstimate
{
public:
    LatencyEstimate();

    void add(Duration sample);
    /** Empty until MIN_SAMPLES samples have been added; the same holds for the other estimates. */
    std::optional<Duration> median() const;
    std::optional<Duration> percentile90() const;
    /** An exponentially weighted mean. */
    std::optional<Duration> mean() const;

    static constexpr std::size_t MIN_SAMPLES = 8;

private:
    using Quantiles = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square_quantile>>;

    static Quantiles emptyQuantiles();
    std::optional<Duration> quantile(double probability) const;

    Quantiles m_older;
    Quantiles m_newer;
    std::size_t m_olderCount = 0;
    std::size_t m_newerCount = 0;
    /** In microseconds. */
    double m_mean = 0;
};

}
