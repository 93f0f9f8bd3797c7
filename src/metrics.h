/** \file
 * Counters, gauges and latency histograms, collected by prometheus-cpp and written in the Prometheus text format.
 */
#pragma once

#include "service.h"
#include "timepoint.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
class Registry;
}

namespace Cyclamenturn
{

/** Label names and values, in order. Example: `{{"class", "dispatch"}, {"reason", "queue_full"}}`. */
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

class Metrics : public Service
{
public:
    Metrics();
    ~Metrics() override;

    void start() override
    {
    }
    void stop() override
    {
    }

    void count(const std::string &name, const MetricLabels &labels = {}, double increment = 1);
    void set(const std::string &name, const MetricLabels &labels, double value);
    void observe(const std::string &name, const MetricLabels &labels, Duration value);

    /** All metrics in the Prometheus text format, grouped by family with its type. */
    std::string render() const;

private:
    using Key = std::pair<std::string, MetricLabels>;

    std::mutex m_mutex;
    std::unique_ptr<prometheus::Registry> m_registry;
    /** The series that exist already, so that later updates need only a look-up. */
    std::map<Key, prometheus::Counter *> m_counters;
    std::map<Key, prometheus::Gauge *> m_gauges;
    std::map<Key, prometheus::Histogram *> m_histograms;
};

}
