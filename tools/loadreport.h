/** \file
 * The report of a load run: results by class and for all classes together.
 */
#pragma once

#include "loadclient.h"

#include <json/json.h>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** Counts taken from the stand-ins for the run. */
struct StandinCounts
{
    std::uint64_t tokensGenerated = 0;
    std::uint64_t engineRuns = 0;
    /** Idempotency keys that were executed more than once, over all services. */
    std::uint64_t doubleRuns = 0;
    /** Idempotency keys that were executed although every attempt ended with the outcome "not_run". */
    std::uint64_t falseNotRuns = 0;
};

/** Aggregates the results. Requests within the warm-up time count only as served tokens. */
Json::Value makeReport(
    const LoadScenario &scenario, const std::vector<RequestResult> &results, const StandinCounts &counts);
/** Formats a report as a table for people. */
std::string reportTable(const Json::Value &report);

}
