/** \file
 * The daemon: one entry or one agent, by its settings.
 */
#include "agentcalls.h"
#include "agentdoor.h"
#include "agentloop.h"
#include "checkedtable.h"
#include "clock.h"
#include "configurationservice.h"
#include "controlpages.h"
#include "daemoncommandline.h"
#include "entrydoor.h"
#include "entryloop.h"
#include "errors.h"
#include "eventlog.h"
#include "evidencecollector.h"
#include "fleetkey.h"
#include "gateway/gatewaysettings.h"
#include "journalwriter.h"
#include "metrics.h"
#include "servicedirectory.h"
#include "settings.h"
#include "storeclient.h"
#include "vmlistclient.h"

#include <csignal>
#include <iostream>
#include <thread>

using namespace Cyclamenturn;

namespace
{

constexpr int EXIT_USAGE = 2;
constexpr int EXIT_FAILED = 1;
constexpr Duration STORE_TIMEOUT = milliseconds(1000);
constexpr Duration POLL_INTERVAL = milliseconds(50);
constexpr Duration VM_LIST_INTERVAL = milliseconds(1000);
constexpr Duration KEY_RELOAD_INTERVAL = milliseconds(1000);
/** How long a leaving entry goes on taking callers, so that the balancer can notice. */
constexpr Duration BALANCER_NOTICE = milliseconds(2000);
/** Longer than any request may take. */
constexpr Duration DRAIN_LIMIT = milliseconds(3600000);
/** How long a drained agent stays up for entries that are still reading answers. */
constexpr Duration READER_LIMIT = milliseconds(30000);

volatile std::sig_atomic_t stopRequested = 0;

void requestStop(int)
{
    stopRequested = 1;
}

const char *const HELP = R"(cyclamenturnd - router for language-model and plain-service traffic

SYNOPSIS
    cyclamenturnd --config FILE [--check-config]

DESCRIPTION
    Runs one process of a fleet: an entry, which takes callers' requests, or an agent, which guards one endpoint. The
    settings file says which; docs/operations/settings.md lists its keys. SIGTERM or SIGINT makes the process leave:
    it takes no new work, finishes what it has, and exits.

OPTIONS
    -c, --config FILE   read settings from FILE
    -t, --check-config  check the settings, of any role, and exit
    -h, --help          show this page
    -V, --version       show the version

EXIT STATUS
    0   left after a request to stop, or the settings are valid
    1   failed while running
    2   wrong command line or settings
)";

/** What the process needs in both roles. */
struct Common
{
    std::shared_ptr<Metrics> metrics;
    std::shared_ptr<FleetKey> fleetKey;
    std::shared_ptr<StoreClient> store;
    std::shared_ptr<ConfigurationService> configuration;
    std::shared_ptr<ControlPages> pages;
};

Common addCommon(ServiceDirectory &directory, const Settings &settings)
{
    Common common;
    common.metrics = std::make_shared<Metrics>();
    common.fleetKey = std::make_shared<FleetKey>(settings.fleetKeyFile);
    common.store = std::make_shared<StoreClient>(settings.store, STORE_TIMEOUT);
    common.configuration
        = std::make_shared<ConfigurationService>(settings, common.store, common.fleetKey, common.metrics);
    common.pages = std::make_shared<ControlPages>(common.fleetKey, common.configuration, common.metrics);
    directory.add("metrics", common.metrics);
    directory.add("control-pages", common.pages);
    directory.add("configuration", common.configuration);
    return common;
}

/** Waits for a signal or for the VM list to say that this VM is leaving. */
class StopWatch
{
public:
    StopWatch(const Settings &settings, const Common &common)
        : m_settings(settings)
        , m_common(common)
    {
    }

    bool isDue()
    {
        const TimePoint now = currentTime();
        if (now - m_lastReload >= KEY_RELOAD_INTERVAL) {
            m_lastReload = now;
            if (m_common.fleetKey->reload()) {
                LogEvent("fleet_key_reloaded");
            }
            m_common.metrics->set("cyclamenturn_store_calls", {}, static_cast<double>(m_common.store->calls()));
        }
        if (m_settings.vmList && now - m_lastList >= VM_LIST_INTERVAL) {
            m_lastList = now;
            m_listedLeaving = readVmState(*m_settings.vmList, m_settings.vm) == VmState::Leaving;
        }
        return stopRequested != 0 || m_listedLeaving;
    }

private:
    const Settings &m_settings;
    const Common &m_common;
    TimePoint m_lastReload;
    TimePoint m_lastList;
    bool m_listedLeaving = false;
};

void runEntry(const Settings &settings)
{
    ServiceDirectory directory;
    const Common common = addCommon(directory, settings);
    auto loop = std::make_shared<EntryLoop>(settings, common.configuration, common.fleetKey, common.metrics);
    auto door = std::make_shared<EntryDoor>(
        settings, loop, common.configuration, common.fleetKey, common.pages, common.metrics);
    directory.add("entry-loop", loop);
    directory.add("entry-door", door);
    directory.startAll();
    LogEvent("started").field("role", "entry").field("name", settings.name).field("listen", toString(settings.listen));
    StopWatch stop(settings, common);
    while (!stop.isDue()) {
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    LogEvent("leaving").field("name", settings.name);
    door->announceLeaving();
    std::this_thread::sleep_for(BALANCER_NOTICE);
    door->drain(DRAIN_LIMIT);
    directory.stopAll();
}

void runAgent(const Settings &settings)
{
    ServiceDirectory directory;
    const Common common = addCommon(directory, settings);
    const AgentIdentity identity{settings.service, settings.endpoint, settings.vm,
        static_cast<std::uint64_t>(currentTime().time_since_epoch().count())};
    auto calls = std::make_shared<AgentCalls>();
    auto journal = std::make_shared<JournalWriter>(common.store, common.metrics);
    auto evidence = std::make_shared<EvidenceCollector>(identity, common.store, common.configuration, common.fleetKey);
    auto loop = std::make_shared<AgentLoop>(
        settings, identity, calls, common.configuration, journal, evidence, common.metrics);
    auto door = std::make_shared<AgentDoor>(settings, calls, loop, common.configuration, common.pages);
    // The door comes first: listening proves that no predecessor runs on this address.
    door->start();
    directory.add("agent-loop", loop);
    directory.add("journal-writer", journal);
    directory.add("evidence-collector", evidence);
    directory.startAll();
    LogEvent("started").field("role", "agent").field("name", settings.name).field("listen", toString(settings.listen));
    StopWatch stop(settings, common);
    bool leaving = false;
    while (!loop->isStopped()) {
        if (!leaving && stop.isDue()) {
            leaving = true;
            LogEvent("leaving").field("name", settings.name);
            loop->report(LeaveRequested());
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    door->waitIdle(READER_LIMIT);
    door->stop();
    directory.stopAll();
}

void run(const Settings &settings)
{
    startLogging();
    if (settings.role == Role::Entry) {
        runEntry(settings);
    } else {
        runAgent(settings);
    }
    LogEvent("stopped").field("name", settings.name);
}

}

int main(int argc, char **argv)
{
    // First of all, so that a stop during the start is orderly too.
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto commandLine = parseDaemonCommandLine(argc, argv, {"cyclamenturnd", HELP, ""});
        if (!commandLine) {
            return 0;
        }
        const std::string text = readTextFile(commandLine->settingsFile);
        if (isGatewaySettings(text, commandLine->settingsFile)) {
            parseGatewaySettings(text, commandLine->settingsFile);
            if (!commandLine->checkOnly) {
                throw UserError("these are a gateway's settings: run cyclamenturn-gatewayd with them");
            }
            return 0;
        }
        const Settings settings = parseSettings(text, commandLine->settingsFile);
        if (!commandLine->checkOnly) {
            run(settings);
        }
        return 0;
    } catch (const UserError &error) {
        std::cerr << "cyclamenturnd: " << error.what() << "\n";
        return EXIT_USAGE;
    } catch (const std::exception &error) {
        std::cerr << "cyclamenturnd: " << error.what() << "\n";
        return EXIT_FAILED;
    }
}
