/** \file
 * Parsing of process settings.
 */
#include "settings.h"

#include "checkedtable.h"
#include "errors.h"

namespace Cyclamenturn
{

namespace
{

constexpr int DEFAULT_THREADS = 512;
constexpr int MAX_THREADS = 4096;
/** Of the smallest VM. */
constexpr int DEFAULT_MEMORY_MB = 112;
constexpr int DEFAULT_DESCRIPTORS = 2870;

ChoiceRule readChoice(CheckedTable &table)
{
    const std::string name
        = table.choice("choice", {"round_robin", "least_in_flight", "expected_time"}, "expected_time");
    if (name == "round_robin") {
        return ChoiceRule::RoundRobin;
    }
    return name == "least_in_flight" ? ChoiceRule::LeastInFlight : ChoiceRule::ExpectedTime;
}

void readPolicy(CheckedTable table, Settings &settings)
{
    settings.entryPolicy.choice = readChoice(table);
    const bool quarantines = table.boolean("quarantine", true);
    settings.entryPolicy.quarantines = quarantines;
    settings.agentPolicy.quarantines = quarantines;
    const std::string order = table.choice("queue", {"first_come", "tiered_deadline"}, "tiered_deadline");
    settings.agentPolicy.order = order == "first_come" ? QueueOrder::FirstComeFirstServed : QueueOrder::TieredDeadline;
    settings.agentPolicy.preempts = table.boolean("preempt", true);
    settings.agentPolicy.refusesEarly = table.boolean("refuse_early", true);
    settings.agentPolicy.keepsHeadroom = table.boolean("headroom", true);
    table.finish();
}

void readAgent(CheckedTable table, Settings &settings)
{
    settings.endpoint = table.text("endpoint");
    settings.service = table.text("service");
    settings.endpointAddress = table.address("address");
    table.finish();
}

}

Settings parseSettings(const std::string &text, const std::string &fileName)
{
    const toml::table document = parseToml(text, fileName);
    CheckedTable root(document, fileName, "");
    Settings settings;
    settings.role = root.choice("role", {"entry", "agent"}) == "entry" ? Role::Entry : Role::Agent;
    settings.name = root.text("name");
    settings.vm = root.text("vm");
    settings.failureDomain = root.text("failure_domain");
    settings.listen = root.address("listen");
    settings.advertised = root.address("advertised", settings.listen);
    settings.store = root.address("store");
    if (root.has("vm_list")) {
        settings.vmList = root.address("vm_list");
    }
    for (const auto &seed : root.stringArray("seeds")) {
        try {
            settings.seeds.push_back(addressFromString(seed));
        } catch (const UserError &error) {
            root.fail("seeds", error.what());
        }
    }
    settings.fleetKeyFile = root.text("fleet_key_file");
    settings.threads = static_cast<int>(root.integer("threads", 16, MAX_THREADS, DEFAULT_THREADS));
    settings.memoryMegabytes = static_cast<int>(root.integer("memory_mb", 16, 1 << 20, DEFAULT_MEMORY_MB));
    settings.descriptors = static_cast<int>(root.integer("descriptors", 64, 1 << 20, DEFAULT_DESCRIPTORS));
    if (settings.role == Role::Agent) {
        readAgent(root.table("agent"), settings);
    }
    readPolicy(root.table("policy"), settings);
    root.finish();
    return settings;
}

Settings readSettings(const std::string &fileName)
{
    return parseSettings(readTextFile(fileName), fileName);
}

}
