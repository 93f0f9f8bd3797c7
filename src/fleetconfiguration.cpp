/** \file
 * Parses and validates the configuration document and applies its exceptions.
 */
#include "fleetconfiguration.h"

#include "checkedtable.h"
#include "errors.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Tier 0 is the top tier; higher numbers have lower priority. */
constexpr int LOWEST_TIER = 7;
constexpr int MAX_PORT = 65535;
constexpr std::size_t SHA256_HEX_LENGTH = 64;

/** The sections whose items an exception may change; its target has the form "class:NAME". */
const std::vector<std::string> EXCEPTION_SECTIONS = {"class", "service", "endpoint", "team"};

toml::table *findItem(toml::table &document, const std::string &section, const std::string &name)
{
    auto *items = document[section].as_array();
    if (!items) {
        return nullptr;
    }
    for (auto &item : *items) {
        auto *table = item.as_table();
        if (table && (*table)["name"].value<std::string>() == name) {
            return table;
        }
    }
    return nullptr;
}

/** Writes the values of an exception's `set` table into its target, before the target is validated. */
ExceptionSpec applyException(toml::table &document, CheckedTable item)
{
    ExceptionSpec exception{item.text("target"), item.text("reason")};
    const auto colon = exception.target.find(':');
    const std::string section = exception.target.substr(0, colon);
    const bool known
        = std::find(EXCEPTION_SECTIONS.begin(), EXCEPTION_SECTIONS.end(), section) != EXCEPTION_SECTIONS.end();
    if (colon == std::string::npos || !known) {
        item.fail("target", "must be class:NAME, service:NAME, endpoint:NAME or team:NAME");
    }
    toml::table *target = findItem(document, section, exception.target.substr(colon + 1));
    if (!target) {
        item.fail("target", "names nothing in this document");
    }
    const CheckedTable set = item.table("set");
    if (set.raw().empty()) {
        item.fail("set", "must hold at least one key to change");
    }
    for (const auto &[key, value] : set.raw()) {
        if (key.str() == "name") {
            item.fail("set", "can't change a name");
        }
        target->insert_or_assign(key.str(), value);
    }
    item.finish();
    return exception;
}

FleetLimits readLimits(CheckedTable table)
{
    FleetLimits limits;
    limits.firstAttemptWindow = table.duration("first_attempt_window_ms", 100, 60000, 2000);
    limits.clockMargin = table.duration("clock_margin_ms", 1, 10000, 250);
    limits.keyRetention = table.duration("key_retention_ms", 10000, 3600000, 600000);
    limits.journalInterval = table.duration("journal_interval_ms", 50, 60000, 1000);
    limits.idleMarkInterval = table.duration("idle_mark_interval_ms", 500, 600000, 5000);
    limits.bodyLimitBytes = static_cast<std::size_t>(table.integer("body_limit_bytes", 1024, 64 << 20, 1 << 20));
    limits.queueLimit = static_cast<std::size_t>(table.integer("queue_limit", 1, 100000, 512));
    limits.leastShare = table.number("least_share", 0.01, 0.25, 0.05);
    limits.headroomShare = table.number("headroom_share", 0, 0.5, 0.25);
    limits.retryBudgetShare = table.number("retry_budget_share", 0, 1, 0.1);
    limits.teamShare = table.number("team_share", 0.05, 1, 0.5);
    limits.weightLoadsPerSecond = table.number("weight_loads_per_second", 0.01, 1000, 4);
    table.finish();
    return limits;
}

ServiceClass readClass(CheckedTable &table)
{
    ServiceClass out;
    out.name = table.text("name");
    out.service = table.text("service");
    out.tier = static_cast<int>(table.integer("tier", 0, LOWEST_TIER));
    out.firstByteTarget = table.duration("first_byte_ms", 1, 3600000, 1800);
    out.deadline = milliseconds(table.integer("deadline_ms", 1, 3600000));
    out.idempotent = table.boolean("idempotent", true);
    out.sheddable = table.boolean("sheddable", out.idempotent);
    out.preemptible = table.boolean("preemptible", false);
    if (!out.idempotent && (out.sheddable || out.preemptible)) {
        table.fail("idempotent", "a class that isn't idempotent must have sheddable and preemptible false");
    }
    table.finish();
    return out;
}

ServiceSpec readService(CheckedTable &table)
{
    ServiceSpec out;
    out.name = table.text("name");
    out.kind = table.choice("kind", {"model", "plain"}) == "model" ? ServiceKind::Model : ServiceKind::Plain;
    table.finish();
    return out;
}

EndpointSpec readEndpoint(CheckedTable &table)
{
    EndpointSpec out;
    out.name = table.text("name");
    out.service = table.text("service");
    out.host = table.text("host");
    out.port = static_cast<int>(table.integer("port", 1, MAX_PORT));
    out.failureDomain = table.text("failure_domain");
    out.slots = static_cast<int>(table.integer("slots", 1, 4096, 8));
    out.draining = table.boolean("draining", false);
    out.checksFencing = table.boolean("checks_fencing", false);
    out.models = table.stringArray("models");
    table.finish();
    return out;
}

TeamSpec readTeam(CheckedTable &table)
{
    TeamSpec out;
    out.name = table.text("name");
    out.keyHash = table.text("key_hash");
    const bool hexadecimal = out.keyHash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (out.keyHash.size() != SHA256_HEX_LENGTH || !hexadecimal) {
        table.fail("key_hash", "must be a SHA-256 in 64 lower-case hexadecimal digits");
    }
    table.finish();
    return out;
}

template<typename Value>
void insertUnique(std::map<std::string, Value> &into, const std::string &key, const Value &value,
    const CheckedTable &table, const std::string &keyName)
{
    if (!into.emplace(key, value).second) {
        table.fail(keyName, "must be unique in its section");
    }
}

}

std::shared_ptr<const FleetConfiguration> FleetConfiguration::parse(
    const std::string &text, const std::string &fileName, std::uint64_t revision)
{
    toml::table document = parseToml(text, fileName);
    const toml::table original = document;
    std::shared_ptr<FleetConfiguration> out(new FleetConfiguration);
    out->m_revision = revision;
    out->m_text = text;
    for (auto &item : CheckedTable(original, fileName, "").tables("exception")) {
        out->m_exceptions.push_back(applyException(document, item));
    }

    CheckedTable root(document, fileName, "");
    CheckedTable fleet = root.table("fleet");
    out->m_fleetName = fleet.text("name");
    fleet.finish();
    out->m_limits = readLimits(root.table("limits"));
    for (auto &table : root.tables("service")) {
        const ServiceSpec service = readService(table);
        insertUnique(out->m_services, service.name, service, table, "name");
    }
    for (auto &table : root.tables("class")) {
        const ServiceClass serviceClass = readClass(table);
        if (!out->findService(serviceClass.service)) {
            table.fail("service", "names no [[service]] of this document");
        }
        insertUnique(out->m_classes, serviceClass.name, serviceClass, table, "name");
    }
    for (auto &table : root.tables("endpoint")) {
        const EndpointSpec endpoint = readEndpoint(table);
        if (!out->findService(endpoint.service)) {
            table.fail("service", "names no [[service]] of this document");
        }
        insertUnique(out->m_endpoints, endpoint.name, endpoint, table, "name");
    }
    for (const auto &[name, endpoint] : out->m_endpoints) {
        out->m_endpointsByService[endpoint.service].push_back(endpoint);
    }
    for (auto &table : root.tables("team")) {
        const TeamSpec team = readTeam(table);
        insertUnique(out->m_teamsByKeyHash, team.keyHash, team, table, "key_hash");
    }
    root.tables("exception");
    root.finish();
    return out;
}

const ServiceClass *FleetConfiguration::findClass(const std::string &name) const
{
    const auto it = m_classes.find(name);
    return it == m_classes.end() ? nullptr : &it->second;
}

const ServiceSpec *FleetConfiguration::findService(const std::string &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

const EndpointSpec *FleetConfiguration::findEndpoint(const std::string &name) const
{
    const auto it = m_endpoints.find(name);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

const TeamSpec *FleetConfiguration::findTeamByKeyHash(const std::string &keyHash) const
{
    const auto it = m_teamsByKeyHash.find(keyHash);
    return it == m_teamsByKeyHash.end() ? nullptr : &it->second;
}

const std::vector<EndpointSpec> &FleetConfiguration::endpointsOf(const std::string &service) const
{
    static const std::vector<EndpointSpec> NONE;
    const auto it = m_endpointsByService.find(service);
    return it == m_endpointsByService.end() ? NONE : it->second;
}

bool FleetConfiguration::needsJournal(const std::string &service) const
{
    return std::any_of(m_classes.begin(), m_classes.end(),
        [&](const auto &item) { return item.second.service == service && !item.second.idempotent; });
}

}
