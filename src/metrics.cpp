/** \file
 * Metrics based on prometheus-cpp.
 */
#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Cyclamenturn
{

namespace
{

constexpr double MICROSECONDS_PER_SECOND = 1e6;

/** Bucket bounds in seconds, densest in the range of the latency objectives of the first deployments. */
const prometheus::Histogram::BucketBoundaries LATENCY_BOUNDS{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30};

std::map<std::string, std::string> toMap(const MetricLabels &labels)
{
    return std::map<std::string, std::string>(labels.begin(), labels.end());
}

}

Metrics::Metrics()
    : m_registry(std::make_unique<prometheus::Registry>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const MetricLabels &labels, double increment)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    prometheus::Counter *&counter = m_counters[{name, labels}];
    if (counter == nullptr) {
        counter = &prometheus::BuildCounter().Name(name).Register(*m_registry).Add(toMap(labels));
    }
    counter->Increment(increment);
}

void Metrics::set(const std::string &name, const MetricLabels &labels, double value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    prometheus::Gauge *&gauge = m_gauges[{name, labels}];
    if (gauge == nullptr) {
        gauge = &prometheus::BuildGauge().Name(name).Register(*m_registry).Add(toMap(labels));
    }
    gauge->Set(value);
}

void Metrics::observe(const std::string &name, const MetricLabels &labels, Duration value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    prometheus::Histogram *&histogram = m_histograms[{name, labels}];
    if (histogram == nullptr) {
        histogram = &prometheus::BuildHistogram().Name(name).Register(*m_registry).Add(toMap(labels), LATENCY_BOUNDS);
    }
    histogram->Observe(static_cast<double>(value.count()) / MICROSECONDS_PER_SECOND);
}

std::string Metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}
