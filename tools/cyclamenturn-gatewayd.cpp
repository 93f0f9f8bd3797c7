/** \file
 * The gateway daemon: takes callers' requests on the platform and carries them to endpoints.
 */
#include "clock.h"
#include "daemoncommandline.h"
#include "errors.h"
#include "eventlog.h"
#include "gateway/gateway.h"
#include "messageheaders.h"
#include "storedocuments.h"

#include <csignal>
#include <fstream>
#include <iostream>

using namespace Cyclamenturn;

namespace
{

constexpr int EXIT_USAGE = 2;
constexpr int EXIT_FAILED = 1;
/** Bounds how late a signal is noticed. */
constexpr Duration LONGEST_TURN = milliseconds(200);
/** How often the settings file is looked at for changes that no signal announced. */
constexpr Duration SETTINGS_INTERVAL = milliseconds(2000);
constexpr const char *SETTINGS_VARIABLE = "CYCLAMENTURN_CONFIG";

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
    Takes callers' requests and carries each to an endpoint of its route's service. SIGTERM makes the process leave: it
    reports not ready, finishes what it has, and exits. SIGHUP makes it read its settings again.

OPTIONS
    -c, --config FILE   read settings from FILE; without it, from the file that CYCLAMENTURN_CONFIG names
    -t, --check-config  check the settings and exit
    -h, --help          show this page
    -V, --version       show the version

EXIT STATUS
    0   left after a request to stop, or the settings are valid
    1   failed while running
    2   wrong command line or settings
)";

/** Notices changes of the settings file, with or without a signal. */
class SettingsWatch
{
public:
    SettingsWatch(std::string fileName, TimePoint now)
        : m_fileName(std::move(fileName))
        , m_text(readText())
        , m_checkedAt(now)
    {
    }

    void check(Gateway &gateway, TimePoint now)
    {
        const bool asked = reloadRequested != 0;
        if (!asked && now - m_checkedAt < SETTINGS_INTERVAL) {
            return;
        }
        reloadRequested = 0;
        m_checkedAt = now;
        std::string text = readText();
        if (!asked && text == m_text) {
            return;
        }
        m_text = std::move(text);
        try {
            gateway.reload(parseGatewaySettings(m_text, m_fileName));
            LogEvent("settings_reloaded").field("cause", asked ? "signal" : "file changed");
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
        loop.runOnce(LONGEST_TURN);
        if (stopRequested != 0 && !stopping) {
            stopping = true;
            gateway.beginStop();
        }
        watch.check(gateway, loop.now());
    }
    LogEvent("stopped").field("name", settings.name);
    stopLogging();
}

}

int main(int argc, char **argv)
{
    // First of all, so that a stop or reload during the start isn't taken for the end.
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGHUP, requestReload);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto commandLine = parseDaemonCommandLine(argc, argv, {"cyclamenturn-gatewayd", HELP, SETTINGS_VARIABLE});
        if (!commandLine) {
            return 0;
        }
        const GatewaySettings settings = readGatewaySettings(commandLine->settingsFile);
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
