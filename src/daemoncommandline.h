/** \file
 * Parsing of the command line that all daemons share.
 */
#pragma once

#include <optional>
#include <string>

namespace Cyclamenturn
{

/** The parts of the command line that differ between daemons. */
struct DaemonDescription
{
    std::string name;
    /** The text printed by --help. */
    std::string help;
    /** The environment variable that names the settings file if --config isn't given; empty for none. */
    std::string settingsVariable;
};

struct DaemonCommandLine
{
    std::string settingsFile;
    /** Validate the settings and exit. */
    bool checkOnly = false;
};

/**
 * Returns nothing if the command line asked for the help text or the version, which has then been printed. Throws
 * UserError if the command line is invalid.
 */
std::optional<DaemonCommandLine> parseDaemonCommandLine(int argc, char **argv, const DaemonDescription &daemon);

}
