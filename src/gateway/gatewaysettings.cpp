/** \file
 * Parsing and validation of gateway settings.
 */
#include "gatewaysettings.h"

#include "checkedtable.h"

namespace Cyclamenturn
{

namespace
{

const std::string GATEWAY_ROLE = "gateway";
constexpr int DEFAULT_METRICS_PORT = 9102;
constexpr std::int64_t MAX_MS = 3600000;
constexpr std::int64_t DEFAULT_STOP_GRACE_MS = 8000;
/** Together with the random spread of listReadDelay(), this stays below the two seconds after which a leaving
 * endpoint must receive no more work, and leaves time for a slow response. */
constexpr std::int64_t DEFAULT_LIST_INTERVAL_MS = 700;
/** The platform's time after a disturbance in which a gateway may be behind. */
constexpr std::int64_t DEFAULT_CONFIRMATION_TIMEOUT_MS = 3000;

PlacementRule readRule(CheckedTable &table)
{
    const std::string name
        = table.choice("rule", {"expected_time", "round_robin", "least_in_flight", "plain_hash"}, "expected_time");
    if (name == "round_robin") {
        return PlacementRule::RoundRobin;
    }
    if (name == "least_in_flight") {
        return PlacementRule::LeastInFlight;
    }
    return name == "plain_hash" ? PlacementRule::PlainHash : PlacementRule::ExpectedTime;
}

EngineEstimatesUse readEngineEstimates(CheckedTable &table)
{
    const std::string name = table.choice("engine_estimates", {"stated", "always", "never"}, "stated");
    if (name == "always") {
        return EngineEstimatesUse::Always;
    }
    return name == "never" ? EngineEstimatesUse::Never : EngineEstimatesUse::Stated;
}

void readPlacement(CheckedTable table, PlacementPolicy &policy)
{
    constexpr double MAX_COST_MS = 1e6;
    policy.rule = readRule(table);
    policy.engineEstimates = readEngineEstimates(table);
    EngineCostModel &engine = policy.engine;
    engine.prefillTokensPerMs = table.number("prefill_tokens_per_ms", 0.001, 1e9, engine.prefillTokensPerMs);
    engine.runningCostMs = table.number("running_cost_ms", 0, MAX_COST_MS, engine.runningCostMs);
    engine.prefillDilation = table.number("prefill_dilation", 1, 1000, engine.prefillDilation);
    engine.firstEventMs = table.number("first_event_ms", 0, MAX_COST_MS, engine.firstEventMs);
    engine.tokenMs = table.number("token_ms", 0, MAX_COST_MS, engine.tokenMs);
    engine.fullBatchTokenMs = table.number("full_batch_token_ms", 0, MAX_COST_MS, engine.fullBatchTokenMs);
    engine.batchedTokenMs = table.number("batched_token_ms", 0, MAX_COST_MS, engine.batchedTokenMs);
    engine.rereadFactor = table.number("reread_factor", 1, 1000, engine.rereadFactor);
    engine.urgentShare = table.number("urgent_share", 0, 1, engine.urgentShare);
    engine.prefillUtilization = table.number("prefill_utilization", 0.01, 1, engine.prefillUtilization);
    engine.streamsPerEndpoint = table.number("streams_per_endpoint", 1, 1e6, engine.streamsPerEndpoint);
    policy.otherWorkloadCostMs = table.number("other_workload_cost_ms", 0, MAX_COST_MS, policy.otherWorkloadCostMs);
    policy.plainWorkMs = table.number("plain_work_ms", 0, MAX_COST_MS, policy.plainWorkMs);
    policy.failureCostMs = table.number("failure_cost_ms", 0, MAX_COST_MS, policy.failureCostMs);
    policy.prefillWeight = table.number("prefill_weight", 0, 1000, policy.prefillWeight);
    policy.slownessWeight = table.number("slowness_weight", 0, 1, policy.slownessWeight);
    policy.crossDomainCostMs = table.number("cross_domain_cost_ms", 0, MAX_COST_MS, policy.crossDomainCostMs);
    policy.cacheLife = table.duration("cache_life_ms", 0, MAX_MS, toMilliseconds(policy.cacheLife));
    table.finish();
}

void readOverload(CheckedTable table, OverloadSettings &overload)
{
    overload.refuseAboveObjectives = table.number("refuse_above_objectives", 0.1, 1e6, overload.refuseAboveObjectives);
    overload.refuseReturningAbove = table.number("refuse_returning_above", 0.01, 1e6, overload.refuseReturningAbove);
    overload.longestWaitShare = table.number("longest_wait_share", 0, 1, overload.longestWaitShare);
    table.finish();
}

void readRetries(CheckedTable table, RetryBudgetSettings &retries)
{
    constexpr double MAX_SECONDS = 3600;
    constexpr double MICROSECONDS_PER_SECOND = 1e6;
    retries.ratio = table.number("ratio", 0, 1, retries.ratio);
    retries.window
        = Duration(static_cast<std::int64_t>(table.number("window_s", 0.1, MAX_SECONDS, 10) * MICROSECONDS_PER_SECOND));
    retries.fleetSlack = table.number("fleet_slack", 0, 1e9, retries.fleetSlack);
    retries.usedShare = table.number("used_share", 0, 1, retries.usedShare);
    table.finish();
}

Duration readSeconds(CheckedTable &table, const std::string &key, double defaultValue)
{
    constexpr double MAX_SECONDS = 3600;
    constexpr double MICROSECONDS_PER_SECOND = 1e6;
    return Duration(
        static_cast<std::int64_t>(table.number(key, 0.1, MAX_SECONDS, defaultValue) * MICROSECONDS_PER_SECOND));
}

DutySettings readDuties(CheckedTable table)
{
    constexpr double DEFAULT_WINDOW_S = 5;
    constexpr double DEFAULT_REPORT_DUE_S = 10;
    constexpr std::int64_t MIN_LEASE_MS = 500;
    constexpr std::int64_t DEFAULT_LEASE_MS = 3000;
    DutySettings out;
    out.api = table.address("api");
    out.window = readSeconds(table, "window_s", DEFAULT_WINDOW_S);
    out.reportDue = readSeconds(table, "report_due_s", DEFAULT_REPORT_DUE_S);
    out.lease = table.duration("lease_ms", MIN_LEASE_MS, MAX_MS, DEFAULT_LEASE_MS);
    table.finish();
    return out;
}

/** Reads what depends on the VM and the deployment; missing keys leave `out` as it is. */
void readDeployment(CheckedTable &root, GatewaySettings &out)
{
    out.memoryMegabytes = static_cast<int>(root.integer("memory_mb", 16, 1 << 20, out.memoryMegabytes));
    out.descriptors = static_cast<int>(root.integer("descriptors", 64, 1 << 20, out.descriptors));
    const std::vector<std::string> contracts = root.stringArray("contracts");
    out.contracts.insert(out.contracts.end(), contracts.begin(), contracts.end());
    if (root.has("duties")) {
        out.duties = readDuties(root.table("duties"));
    }
}

}

GatewaySettings parseGatewaySettings(const std::string &text, const std::string &fileName)
{
    constexpr double MICROSECONDS_PER_SECOND = 1e6;
    const toml::table document = parseToml(text, fileName);
    CheckedTable root(document, fileName, "");
    GatewaySettings out;
    root.choice("role", {GATEWAY_ROLE}, GATEWAY_ROLE);
    out.name = root.text("name");
    out.failureDomain = root.text("failure_domain");
    out.callers = root.address("callers");
    out.readiness = root.address("readiness");
    out.metrics = root.address("metrics", {out.callers.host, DEFAULT_METRICS_PORT});
    out.peers = root.address("peers");
    out.store = root.address("store");
    out.stopGrace = Duration(static_cast<std::int64_t>(
        root.number("stop_grace_s", 0.1, 3600, DEFAULT_STOP_GRACE_MS / 1000.0) * MICROSECONDS_PER_SECOND));
    out.assumedGateways = static_cast<int>(root.integer("assumed_gateways", 1, 100000, out.assumedGateways));
    out.listInterval = root.duration("list_interval_ms", 50, MAX_MS, DEFAULT_LIST_INTERVAL_MS);
    out.confirmationTimeout = root.duration("confirmation_timeout_ms", 100, MAX_MS, DEFAULT_CONFIRMATION_TIMEOUT_MS);
    readDeployment(root, out);
    readRetries(root.table("retries"), out.retries);
    readPlacement(root.table("placement"), out.placement);
    readOverload(root.table("overload"), out.overload);
    root.finish();
    return out;
}

void addDeploymentSettings(GatewaySettings &settings, const std::string &text, const std::string &source)
{
    const toml::table document = parseToml(text, source);
    CheckedTable root(document, source, "");
    readDeployment(root, settings);
    root.finish();
}

bool isGatewaySettings(const std::string &text, const std::string &fileName)
{
    const toml::table document = parseToml(text, fileName);
    return document["role"].value_or(std::string()) == GATEWAY_ROLE;
}

GatewaySettings readGatewaySettings(const std::string &fileName)
{
    return parseGatewaySettings(readTextFile(fileName), fileName);
}

}
