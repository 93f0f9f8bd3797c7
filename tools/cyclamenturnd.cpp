/** \file
 * The daemon cyclamenturnd: runs one entry or one agent, depending on its settings.
 */
#include "adminhandler.h"
#include "agentcalls.h"
#include "agentloop.h"
#include "agentserver.h"
#include "checkedtable.h"
#include "clock.h"
#include "configurationservice.h"
#include "daemoncommandline.h"
#include "entryloop.h"
#include "entryserver.h"
#include "errors.h"
#include "eventlog.h"
#include "evidencecollector.h"
#include "fleetkey.h"
#include "gateway/gatewaysettings.h"
#include "httpexchange.h"
#include "journalwriter.h"
#include "metrics.h"
#include "servicedirectory.h"
#include "settings.h"
#include "storeclient.h"
#include "transport/processresources.h"
#include "transport/responsememory.h"
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
/** A leaving entry still accepts requests for this time, until the load balancer has detected that it isn't ready. */
constexpr Duration BALANCER_DETECTION_TIME = milliseconds(2000);
/** Upper bound of the wait for the requests in progress; longer than any request may take. */
constexpr Duration DRAIN_TIMEOUT = milliseconds(3600000);
/** How long a drained agent keeps running for entries that are still reading responses. */
constexpr Duration READER_TIMEOUT = milliseconds(30000);

volatile std::sig_atomic_t stopRequested = 0;

void requestStop(int)
{
    stopRequested = 1;
}

const char *const HELP = R"(cyclamenturnd - router for language-model and plain-service traffic

SYNOPSIS
    cyclamenturnd --config FILE [--check-config]

DESCRIPTION
    Runs one process of a fleet: an entry, which receives callers' requests, or an agent, which controls the access to
    one endpoint. The settings file selects the role; docs/operations/settings.md lists its keys. On SIGTERM or SIGINT
    the process shuts down: it stops accepting requests, completes those in progress, and exits.

OPTIONS
    -c, --config FILE   read settings from FILE
    -t, --check-config  check the settings of an entry, agent or gateway, and exit
    -h, --help          show this help
    -V, --version       show the version

EXIT STATUS
    0   shut down as requested, or the settings are valid
    1   runtime failure
    2   invalid command line or settings
)";

/** The services that both roles need. */
struct SharedServices
{
    std::shared_ptr<Metrics> metrics;
    std::shared_ptr<FleetKey> fleetKey;
    std::shared_ptr<StoreClient> store;
    std::shared_ptr<ConfigurationService> configuration;
    std::shared_ptr<AdminHandler> adminHandler;
};

SharedServices addSharedServices(ServiceDirectory &directory, const Settings &settings)
{
    SharedServices shared;
    shared.metrics = std::make_shared<Metrics>();
    shared.fleetKey = std::make_shared<FleetKey>(settings.fleetKeyFile);
    shared.store = std::make_shared<StoreClient>(settings.store, STORE_TIMEOUT);
    shared.configuration
        = std::make_shared<ConfigurationService>(settings, shared.store, shared.fleetKey, shared.metrics);
    shared.adminHandler = std::make_shared<AdminHandler>(shared.fleetKey, shared.configuration, shared.metrics);
    directory.add("metrics", shared.metrics);
    directory.add("control-pages", shared.adminHandler);
    directory.add("configuration", shared.configuration);
    return shared;
}

/**
 * Checks whether the process has to shut down: after a signal, or when the VM list reports that this VM is leaving. The
 * checks also reload the fleet key and update the metric of calls to the store.
 */
class StopCondition
{
public:
    StopCondition(const Settings &settings, const SharedServices &shared)
        : m_settings(settings)
        , m_shared(shared)
    {
    }

    bool isMet()
    {
        const TimePoint now = currentTime();
        if (now - m_lastReload >= KEY_RELOAD_INTERVAL) {
            m_lastReload = now;
            if (m_shared.fleetKey->reload()) {
                LogEvent("fleet_key_reloaded");
            }
            m_shared.metrics->set("cyclamenturn_store_calls", {}, static_cast<double>(m_shared.store->calls()));
        }
        if (m_settings.vmList && now - m_lastVmListRead >= VM_LIST_INTERVAL) {
            m_lastVmListRead = now;
            m_isVmLeaving = readVmState(*m_settings.vmList, m_settings.vm) == VmState::Leaving;
        }
        return stopRequested != 0 || m_isVmLeaving;
    }

private:
    const Settings &m_settings;
    const SharedServices &m_shared;
    TimePoint m_lastReload;
    TimePoint m_lastVmListRead;
    bool m_isVmLeaving = false;
};

void runEntry(const Settings &settings)
{
    ServiceDirectory directory;
    const SharedServices shared = addSharedServices(directory, settings);
    auto loop = std::make_shared<EntryLoop>(settings, shared.configuration, shared.fleetKey, shared.metrics);
    auto httpServer = std::make_shared<EntryServer>(
        settings, loop, shared.configuration, shared.fleetKey, shared.adminHandler, shared.metrics);
    directory.add("entry-loop", loop);
    directory.add("entry-door", httpServer);
    directory.startAll();
    LogEvent("started").field("role", "entry").field("name", settings.name).field("listen", toString(settings.listen));
    StopCondition stopCondition(settings, shared);
    while (!stopCondition.isMet()) {
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    LogEvent("leaving").field("name", settings.name);
    httpServer->announceShutdown();
    std::this_thread::sleep_for(BALANCER_DETECTION_TIME);
    httpServer->drain(DRAIN_TIMEOUT);
    directory.stopAll();
}

void runAgent(const Settings &settings)
{
    ServiceDirectory directory;
    const SharedServices shared = addSharedServices(directory, settings);
    const AgentIdentity identity{settings.service, settings.endpoint, settings.vm,
        static_cast<std::uint64_t>(currentTime().time_since_epoch().count())};
    auto calls = std::make_shared<AgentCalls>();
    auto journal = std::make_shared<JournalWriter>(shared.store, shared.metrics);
    auto evidence = std::make_shared<EvidenceCollector>(identity, shared.store, shared.configuration, shared.fleetKey);
    auto loop = std::make_shared<AgentLoop>(
        settings, identity, calls, shared.configuration, journal, evidence, shared.metrics);
    auto httpServer = std::make_shared<AgentServer>(settings, calls, loop, shared.configuration, shared.adminHandler);
    // The HTTP server starts before the other services: if it can listen, no earlier process runs on this address.
    httpServer->start();
    directory.add("agent-loop", loop);
    directory.add("journal-writer", journal);
    directory.add("evidence-collector", evidence);
    directory.startAll();
    LogEvent("started").field("role", "agent").field("name", settings.name).field("listen", toString(settings.listen));
    StopCondition stopCondition(settings, shared);
    bool leaving = false;
    while (!loop->isStopped()) {
        if (!leaving && stopCondition.isMet()) {
            leaving = true;
            LogEvent("leaving").field("name", settings.name);
            loop->report(LeaveRequested());
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    httpServer->drain(READER_TIMEOUT);
    httpServer->stop();
    directory.stopAll();
}

void run(const Settings &settings)
{
    startLogging();
    limitResponseMemory(ResponseMemory::capacityOf(static_cast<std::size_t>(settings.memoryMegabytes)));
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
    // Installed before anything else: by default, a signal during start-up would end the process without an orderly
    // shutdown.
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    returnLargeBuffersWhenFreed();
    try {
        const auto commandLine = parseDaemonCommandLine(argc, argv, {"cyclamenturnd", HELP, ""});
        if (!commandLine) {
            return 0;
        }
        const std::string text = readTextFile(commandLine->settingsFile);
        if (isGatewaySettings(text, commandLine->settingsFile)) {
            parseGatewaySettings(text, commandLine->settingsFile);
            if (!commandLine->checkOnly) {
                throw UserError("these settings are for a gateway; run cyclamenturn-gatewayd with them");
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
