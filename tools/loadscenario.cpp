/** \file
 * Reads load scenarios from TOML.
 */
#include "loadscenario.h"

#include "checkedtable.h"

#include <csignal>

namespace Cyclamenturn
{

namespace
{

constexpr std::int64_t MAX_TIME_MS = 3600000;
constexpr double MAX_REQUESTS_PER_SECOND = 100000;

std::vector<Address> readAddresses(CheckedTable &table, const std::string &key)
{
    std::vector<Address> out;
    for (const auto &text : table.stringArray(key)) {
        out.push_back(addressFromString(text));
    }
    return out;
}

LoadSpec readLoad(CheckedTable &table)
{
    LoadSpec out;
    out.className = table.text("class");
    out.service = table.text("service", "-");
    out.service = out.service == "-" ? "" : out.service;
    out.path = table.text("path", "/");
    out.method = table.choice("method", {"GET", "POST"}, "POST");
    out.rate = table.number("rate", 0, MAX_REQUESTS_PER_SECOND, 1);
    out.teamKeys = table.stringArray("team_keys");
    out.tokensMedian = table.number("tokens_median", 1, 100000, 60);
    out.tokensSigma = table.number("tokens_sigma", 0, 3, 0.5);
    out.streams = table.boolean("stream", true);
    out.promptBytes = static_cast<std::size_t>(table.integer("prompt_bytes", 1, 1 << 20, 400));
    out.prefixes = table.integer("prefixes", 1, 1000000, 20);
    out.deadline = table.duration("deadline_ms", 1, MAX_TIME_MS, 10000);
    out.firstByteTarget = table.duration("first_byte_ms", 1, MAX_TIME_MS, 1800);
    out.tier = static_cast<int>(table.integer("tier", 0, 7, 0));
    out.sendsIdempotencyKey = table.boolean("keyed", false);
    out.poison = table.boolean("poison", false);
    out.resends = static_cast<int>(table.integer("resends", 0, 100, 0));
    table.finish();
    return out;
}

int signalNumber(CheckedTable &table)
{
    const std::string name = table.choice("signal", {"KILL", "STOP", "CONT", "TERM"});
    if (name == "KILL") {
        return SIGKILL;
    }
    if (name == "STOP") {
        return SIGSTOP;
    }
    return name == "CONT" ? SIGCONT : SIGTERM;
}

}

LoadScenario readScenario(const std::string &fileName)
{
    const toml::table document = parseTomlFile(fileName);
    CheckedTable root(document, fileName, "");
    LoadScenario out;
    out.name = root.text("name");
    out.seed = static_cast<std::uint64_t>(root.integer("seed", 0, INT64_MAX, 1));
    out.duration = root.duration("duration_ms", 1, MAX_TIME_MS, 10000);
    out.warmUp = root.duration("warm_up_ms", 0, MAX_TIME_MS, 0);
    out.entries = readAddresses(root, "entries");
    out.engines = readAddresses(root, "engines");
    out.services = readAddresses(root, "services");
    if (out.entries.empty()) {
        root.fail("entries", "must name at least one entry");
    }
    for (auto &table : root.tables("load")) {
        out.loads.push_back(readLoad(table));
        if (out.loads.back().teamKeys.empty()) {
            table.fail("team_keys", "must hold at least one key");
        }
    }
    for (auto &table : root.tables("burst")) {
        BurstSpec burst;
        burst.className = table.text("class");
        burst.from = table.duration("from_ms", 0, MAX_TIME_MS, 0);
        burst.to = table.duration("to_ms", 0, MAX_TIME_MS, MAX_TIME_MS);
        burst.factor = table.number("factor", 0, 1000, 1);
        table.finish();
        out.bursts.push_back(burst);
    }
    for (auto &table : root.tables("fault")) {
        out.faults.push_back(
            {table.duration("at_ms", 0, MAX_TIME_MS, 0), addressFromString(table.text("address")), table.text("body")});
        table.finish();
    }
    for (auto &table : root.tables("signal")) {
        const Duration at = table.duration("at_ms", 0, MAX_TIME_MS, 0);
        const std::string pidFile = table.text("pid_file");
        out.signals.push_back({at, pidFile, signalNumber(table)});
        table.finish();
    }
    root.finish();
    return out;
}

}
