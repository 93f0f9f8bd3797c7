/** \file
 * The gateway daemon: receives callers' requests on the platform and forwards them to endpoints.
 */
#include "clock.h"
#include "contracts.h"
#include "daemoncommandline.h"
#include "errors.h"
#include "eventlog.h"
#include "gateway/gateway.h"
#include "messageheaders.h"
#include "storedocuments.h"
#include "transport/processresources.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

using namespace Cyclamenturn;

namespace
{

constexpr int EXIT_USAGE = 2;
constexpr int EXIT_FAILED = 1;
/** Maximum duration of an iteration of the event loop without events; limits the delay before a signal is handled. */
constexpr Duration MAX_POLL_WAIT = milliseconds(200);
/** Interval at which the settings file is checked for changes that no SIGHUP has announced. */
constexpr Duration SETTINGS_CHECK_INTERVAL = milliseconds(2000);
constexpr const char *SETTINGS_VARIABLE = "CYCLAMENTURN_CONFIG";
constexpr const char *DEPLOYMENT_VARIABLE = "CYCLAMENTURN_DEPLOYMENT";

volatile std::sig_atomic_t stopRequested = 0;
volatile std::sig_atomic_t reloadRequested = 0;

void requestStop(int)
{
    stopRequested = 1;
}

void requestReload(int)
{
    reloadRequested = 1;
}

const char *const HELP = R"(cyclamenturn-gatewayd - gateway for language-model and plain-service traffic

SYNOPSIS
    cyclamenturn-gatewayd [--config FILE] [--check-config]

DESCRIPTION
    Receives callers' requests and forwards each to an endpoint of its route's service. On SIGTERM the process reports
    not ready, finishes the requests that it has accepted, and exits. On SIGHUP it reads its settings again.

OPTIONS
    -c, --config FILE   read settings from FILE; without it, from the file that CYCLAMENTURN_CONFIG names
    -t, --check-config  check the settings and exit
    -h, --help          show this help
    -V, --version       show the version

ENVIRONMENT
    CYCLAMENTURN_CONFIG      the settings file, unless --config names one
    CYCLAMENTURN_DEPLOYMENT  more settings as TOML text: memory_mb, descriptors, contracts, [duties]

EXIT STATUS
    0   shut down as requested, or the settings are valid
    1   runtime failure
    2   invalid command line or settings
)";

/** Reloads the gateway's settings on SIGHUP and when the content of the settings file has changed. */
class SettingsWatch
{
public:
    SettingsWatch(std::string fileName, TimePoint now)
        : m_fileName(std::move(fileName))
        , m_text(readText())
        , m_checkedAt(now)
    {
    }

    /** Invalid settings are logged and ignored. */
    void check(Gateway &gateway, TimePoint now)
    {
        const bool signalled = reloadRequested != 0;
        if (!signalled && now - m_checkedAt < SETTINGS_CHECK_INTERVAL) {
            return;
        }
        reloadRequested = 0;
        m_checkedAt = now;
        std::string text = readText();
        if (!signalled && text == m_text) {
            return;
        }
        m_text = std::move(text);
        try {
            gateway.reload(parseGatewaySettings(m_text, m_fileName));
            LogEvent("settings_reloaded").field("cause", signalled ? "signal" : "file changed");
        } catch (const UserError &error) {
            LogEvent("settings_refused", LogEvent::Level::Error).field("reason", error.what());
        }
    }

private:
    std::string readText() const
    {
        std::ifstream in(m_fileName);
        return std::string(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }

    std::string m_fileName;
    std::string m_text;
    TimePoint m_checkedAt;
};

void run(const std::string &settingsFile, const GatewaySettings &settings)
{
    const Platform::HeaderCodec messages;
    const Platform::JsonStoreCodec store;
    EventLoop loop;
    Gateway gateway(loop, settings, messages, store);
    gateway.start();
    LogEvent("started")
        .field("role", "gateway")
        .field("name", settings.name)
        .field("version", CYCLAMENTURN_VERSION)
        .field("callers", toString(settings.callers));
    SettingsWatch watch(settingsFile, loop.now());
    bool stopping = false;
    while (!gateway.isStopped()) {
        loop.runOnce(MAX_POLL_WAIT);
        if (stopRequested != 0 && !stopping) {
            stopping = true;
            gateway.beginStop();
        }
        watch.check(gateway, loop.now());
    }
    gateway.finishStop();
    LogEvent("stopped").field("name", settings.name);
    stopLogging();
}

}

int main(int argc, char **argv)
{
    // Installed before anything else: by default, a signal during start-up would end the process without an orderly
    // shutdown.
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGHUP, requestReload);
    std::signal(SIGPIPE, SIG_IGN);
    returnLargeBuffersWhenFreed();
    try {
        const auto commandLine = parseDaemonCommandLine(argc, argv, {"cyclamenturn-gatewayd", HELP, SETTINGS_VARIABLE});
        if (!commandLine) {
            return 0;
        }
        GatewaySettings settings = readGatewaySettings(commandLine->settingsFile);
        if (const char *deployment = std::getenv(DEPLOYMENT_VARIABLE)) {
            addDeploymentSettings(settings, deployment, DEPLOYMENT_VARIABLE);
        }
        Platform::applyContracts(settings);
        if (commandLine->checkOnly) {
            return 0;
        }
        startLogging();
        run(commandLine->settingsFile, settings);
        return 0;
    } catch (const UserError &error) {
        std::cerr << "cyclamenturn-gatewayd: " << error.what() << "\n";
        return EXIT_USAGE;
    } catch (const std::exception &error) {
        std::cerr << "cyclamenturn-gatewayd: " << error.what() << "\n";
        return EXIT_FAILED;
    }
}
