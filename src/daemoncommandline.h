/** \file
 * The command line that all daemons share.
 */
#pragma once

#include <optional>
#include <string>

namespace Cyclamenturn
{

/** What a daemon says of itself. */
struct DaemonDescription
{
    std::string name;
    /** The page for --help. */
    std::string help;
    /** An environment variable that names the settings file; empty for none. */
    std::string settingsVariable;
};

struct DaemonCommandLine
{
    std::string settingsFile;
    /** Check the settings and exit. */
    bool checkOnly = false;
};

/**
 * Returns nothing when the command line asked for a page, which has been printed. Throws UserError on a wrong one.
 */
std::optional<DaemonCommandLine> parseDaemonCommandLine(int argc, char **argv, const DaemonDescription &daemon);

}
