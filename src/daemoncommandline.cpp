/** \file
 * Parsing of the command line that all daemons share.
 */
#include "daemoncommandline.h"

#include "errors.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace Cyclamenturn
{

std::optional<DaemonCommandLine> parseDaemonCommandLine(int argc, char **argv, const DaemonDescription &daemon)
{
    // --check is the former name of --check-config.
    static const option OPTIONS[] = {{"config", required_argument, nullptr, 'c'},
        {"check-config", no_argument, nullptr, 't'}, {"check", no_argument, nullptr, 't'},
        {"help", no_argument, nullptr, 'h'}, {"version", no_argument, nullptr, 'V'}, {nullptr, 0, nullptr, 0}};
    DaemonCommandLine out;
    const char *file = daemon.settingsVariable.empty() ? nullptr : std::getenv(daemon.settingsVariable.c_str());
    out.settingsFile = file == nullptr ? "" : file;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "c:thV", OPTIONS, nullptr)) != -1) {
        switch (choice) {
        case 'c':
            out.settingsFile = optarg;
            break;
        case 't':
            out.checkOnly = true;
            break;
        case 'h':
            std::cout << daemon.help;
            return std::nullopt;
        case 'V':
            std::cout << daemon.name << " " << CYCLAMENTURN_VERSION << "\n";
            return std::nullopt;
        default:
            throw UserError("see " + daemon.name + " --help");
        }
    }
    if (out.settingsFile.empty()) {
        throw UserError("--config FILE is needed; see " + daemon.name + " --help");
    }
    return out;
}

}
