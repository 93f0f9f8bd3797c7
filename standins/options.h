/** \file
 * Command-line options and signal handling for the stand-ins, the programs that replace engines, services, the
 * key-value store and the VM list in tests and demos. All options are long options with a value.
 */
#pragma once

#include "address.h"

#include <cstdint>
#include <map>
#include <string>

namespace Cyclamenturn
{

/**
 * Parsed command-line options with their defaults.
 * Example: `Options options(argc, argv, {{"listen", "127.0.0.1:9000"}});`
 */
class Options
{
public:
    /** Parses the command line. On an unknown option, prints the options and exits with status 2. */
    Options(int argc, char **argv, std::map<std::string, std::string> defaults);

    const std::string &text(const std::string &name) const;
    std::int64_t number(const std::string &name) const;
    Address address(const std::string &name) const;

private:
    std::map<std::string, std::string> m_values;
};

/** Handles SIGTERM and SIGINT and ignores SIGPIPE. Call this before any thread starts. */
void installSignalHandlers();
/** Blocks until SIGTERM or SIGINT is received. */
void waitForStopSignal();
/** True once SIGTERM or SIGINT has been received. */
bool isStopRequested();

}
