/** \file
 * Aggregation of the results of a load run.
 */
#include "loadreport.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace Cyclamenturn
{

namespace
{

constexpr double MICROSECONDS_PER_MILLISECOND = 1000;
constexpr double MICROSECONDS_PER_SECOND = 1e6;
constexpr double PERCENT = 100;

/** Returns the share of `part` in `total`; 1 when `total` is 0. */
double share(std::uint64_t part, std::uint64_t total)
{
    return total == 0 ? 1 : static_cast<double>(part) / static_cast<double>(total);
}

double percentileMs(std::vector<Duration> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    return static_cast<double>(values[index].count()) / MICROSECONDS_PER_MILLISECOND;
}

Json::Value classReport(const std::vector<const RequestResult *> &results, double seconds)
{
    std::uint64_t attained = 0;
    std::uint64_t complete = 0;
    std::uint64_t wrong = 0;
    std::uint64_t resends = 0;
    std::uint64_t goodTokens = 0;
    std::uint64_t firstBytesInTime = 0;
    std::vector<Duration> totals;
    std::vector<Duration> firstBytes;
    std::map<std::string, std::uint64_t> failures;
    for (const RequestResult *result : results) {
        attained += result->attained ? 1 : 0;
        complete += result->complete ? 1 : 0;
        wrong += result->wrong ? 1 : 0;
        resends += static_cast<std::uint64_t>(result->resends);
        goodTokens += result->attained ? result->tokens : 0;
        firstBytesInTime += result->firstByteInTime ? 1 : 0;
        if (result->complete) {
            totals.push_back(result->total);
            firstBytes.push_back(result->firstByte);
        } else {
            ++failures[result->outcome + "/" + result->reason];
        }
    }
    Json::Value out;
    out["offered"] = Json::UInt64(results.size());
    out["attained"] = Json::UInt64(attained);
    out["attainment"] = share(attained, results.size());
    out["whole"] = Json::UInt64(complete);
    out["late"] = Json::UInt64(complete - attained);
    out["wrong"] = Json::UInt64(wrong);
    out["resends"] = Json::UInt64(resends);
    out["first_byte_in_time"] = share(firstBytesInTime, results.size());
    out["goodput_per_s"] = static_cast<double>(attained) / seconds;
    out["good_tokens_per_s"] = static_cast<double>(goodTokens) / seconds;
    out["first_byte_p50_ms"] = percentileMs(firstBytes, 0.5);
    out["first_byte_p95_ms"] = percentileMs(firstBytes, 0.95);
    out["total_p50_ms"] = percentileMs(totals, 0.5);
    out["total_p95_ms"] = percentileMs(totals, 0.95);
    out["total_max_ms"] = percentileMs(totals, 1);
    out["tier"] = results.empty() ? 0 : results.front()->load->tier;
    out["failures"] = Json::Value(Json::objectValue);
    for (const auto &[name, count] : failures) {
        out["failures"][name] = Json::UInt64(count);
    }
    return out;
}

/**
 * Returns the share of attained requests, weighted by tier: each tier has half the weight of the next more important
 * one.
 */
double weightedAttainment(const std::vector<const RequestResult *> &results)
{
    double attainedWeight = 0;
    double totalWeight = 0;
    for (const RequestResult *result : results) {
        const double weight = 1.0 / (1 << result->load->tier);
        totalWeight += weight;
        attainedWeight += result->attained ? weight : 0;
    }
    return totalWeight == 0 ? 1 : attainedWeight / totalWeight;
}

}

Json::Value makeReport(
    const LoadScenario &scenario, const std::vector<RequestResult> &results, const StandinCounts &counts)
{
    std::map<std::string, std::vector<const RequestResult *>> byClass;
    std::vector<const RequestResult *> measured;
    std::uint64_t servedTokens = 0;
    for (const RequestResult &result : results) {
        servedTokens += result.attained ? result.tokens : 0;
        if (result.start >= scenario.warmUp) {
            byClass[result.load->className].push_back(&result);
            measured.push_back(&result);
        }
    }
    const double seconds = static_cast<double>((scenario.duration - scenario.warmUp).count()) / MICROSECONDS_PER_SECOND;
    Json::Value out;
    out["scenario"] = scenario.name;
    out["seed"] = Json::UInt64(scenario.seed);
    for (const auto &[name, group] : byClass) {
        out["classes"][name] = classReport(group, seconds);
    }
    out["weighted_attainment"] = weightedAttainment(measured);
    out["tokens_generated"] = Json::UInt64(counts.tokensGenerated);
    out["tokens_served"] = Json::UInt64(servedTokens);
    const std::uint64_t wasted = counts.tokensGenerated - std::min(counts.tokensGenerated, servedTokens);
    out["wasted_share"] = counts.tokensGenerated == 0 ? 0 : share(wasted, counts.tokensGenerated);
    out["double_runs"] = Json::UInt64(counts.doubleRuns);
    out["false_not_runs"] = Json::UInt64(counts.falseNotRuns);
    return out;
}

std::string reportTable(const Json::Value &report)
{
    std::ostringstream out;
    out << "scenario " << report["scenario"].asString() << ", seed " << report["seed"].asUInt64() << "\n";
    out << std::left << std::setw(18) << "class" << std::right << std::setw(5) << "tier" << std::setw(9) << "offered"
        << std::setw(10) << "attained" << std::setw(7) << "late" << std::setw(7) << "wrong" << std::setw(12)
        << "first p50" << std::setw(12) << "total p50" << std::setw(12) << "total p95" << std::setw(11) << "goodput/s"
        << "  not served\n";
    out << std::fixed << std::setprecision(1);
    for (const auto &name : report["classes"].getMemberNames()) {
        const Json::Value &item = report["classes"][name];
        out << std::left << std::setw(18) << name << std::right << std::setw(5) << item["tier"].asInt() << std::setw(9)
            << item["offered"].asUInt64() << std::setw(9) << item["attainment"].asDouble() * PERCENT << "%"
            << std::setw(7) << item["late"].asUInt64() << std::setw(7) << item["wrong"].asUInt64() << std::setw(9)
            << item["first_byte_p50_ms"].asDouble() << " ms" << std::setw(9) << item["total_p50_ms"].asDouble() << " ms"
            << std::setw(9) << item["total_p95_ms"].asDouble() << " ms" << std::setw(11)
            << item["goodput_per_s"].asDouble() << " ";
        for (const auto &failure : item["failures"].getMemberNames()) {
            out << " " << failure << "=" << item["failures"][failure].asUInt64();
        }
        out << "\n";
    }
    out << "weighted attainment " << report["weighted_attainment"].asDouble() * PERCENT << "%, wasted work "
        << report["wasted_share"].asDouble() * PERCENT << "% of " << report["tokens_generated"].asUInt64()
        << " tokens, double runs " << report["double_runs"].asUInt64() << ", false \"not run\" "
        << report["false_not_runs"].asUInt64() << "\n";
    return out.str();
}

}
