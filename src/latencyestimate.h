/** \file
 * Running quantiles of how long calls take, by class, over a window that forgets old load.
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
 * Two estimators run side by side; each is emptied in turn, so that an estimate rests on the last WINDOW_SAMPLES to
 * 2 * WINDOW_SAMPLES samples.
 */
class LatencyEstimate
{
public:
    LatencyEstimate();

    void add(Duration sample);
    /** Nothing until MIN_SAMPLES samples have been seen. */
    std::optional<Duration> median() const;
    std::optional<Duration> percentile90() const;
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
    /** An exponentially weighted mean in microseconds. */
    double m_mean = 0;
};

}
