/** \file
 * Command-line options and signal handling of the stand-ins.
 */
#include "options.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <thread>
#include <vector>

namespace Cyclamenturn
{

namespace
{

constexpr int EXIT_USAGE = 2;
constexpr std::chrono::milliseconds POLL_INTERVAL(50);

volatile std::sig_atomic_t stopSignalReceived = 0;

void recordStopSignal(int)
{
    stopSignalReceived = 1;
}

}

Options::Options(int argc, char **argv, std::map<std::string, std::string> defaults)
    : m_values(std::move(defaults))
{
    std::vector<option> options;
    for (const auto &[name, value] : m_values) {
        options.push_back({name.c_str(), required_argument, nullptr, 0});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    int index = 0;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "", options.data(), &index)) != -1) {
        if (choice != 0) {
            std::cerr << "options (each takes a value; defaults in parentheses):";
            for (const auto &[name, value] : m_values) {
                std::cerr << " --" << name << " (" << value << ")";
            }
            std::cerr << "\n";
            std::exit(EXIT_USAGE);
        }
        m_values[options[static_cast<std::size_t>(index)].name] = optarg;
    }
}

const std::string &Options::text(const std::string &name) const
{
    return m_values.at(name);
}

std::int64_t Options::number(const std::string &name) const
{
    return std::stoll(text(name));
}

Address Options::address(const std::string &name) const
{
    return addressFromString(text(name));
}

void installSignalHandlers()
{
    std::signal(SIGTERM, recordStopSignal);
    std::signal(SIGINT, recordStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

bool isStopRequested()
{
    return stopSignalReceived != 0;
}

void waitForStopSignal()
{
    while (!isStopRequested()) {
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
}

}
