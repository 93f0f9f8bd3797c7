/** \file
 * A load scenario, read from TOML: which requests are sent at what rates, and which faults are injected when.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** The load of one class of requests. */
struct LoadSpec
{
    std::string className;
    /** Empty for chat completions. */
    std::string service;
    std::string path;
    std::string method;
    /** Mean rate of a Poisson process in requests per second. */
    double rate = 0;
    std::vector<std::string> teamKeys;
    /** Median and sigma of the log-normal distribution of response lengths in tokens. */
    double tokensMedian = 0;
    double tokensSigma = 0;
    /** The caller requests the response as server-sent events. */
    bool streams = true;
    std::size_t promptBytes = 0;
    /** Number of different beginnings of prompts; requests with the same one can share an engine's prefix cache. */
    std::int64_t prefixes = 1;
    Duration deadline{};
    Duration firstByteTarget{};
    /** Tier of the class, used for the report only; 0 is the most important. */
    int tier = 0;
    bool sendsIdempotencyKey = false;
    /** The requests crash the engine that executes them. */
    bool poison = false;
    /** Maximum number of resends of a request without a complete response, within its deadline. */
    int resends = 0;
};

/** Multiplies the rate of one class during a time range. */
struct BurstSpec
{
    std::string className;
    Duration from{};
    Duration to{};
    double factor = 1;
};

/** A fault to inject by POST /control to a stand-in. */
struct FaultSpec
{
    Duration at{};
    Address address;
    std::string body;
};

/** A signal to the process whose id is in `pidFile`. */
struct SignalSpec
{
    Duration at{};
    std::string pidFile;
    int signal = 0;
};

struct LoadScenario
{
    std::string name;
    std::uint64_t seed = 1;
    Duration duration{};
    /** Requests that start earlier are left out of the report, except for their tokens. */
    Duration warmUp{};
    std::vector<Address> entries;
    std::vector<Address> engines;
    std::vector<Address> services;
    std::vector<LoadSpec> loads;
    std::vector<BurstSpec> bursts;
    std::vector<FaultSpec> faults;
    std::vector<SignalSpec> signals;
};

/** Reads a scenario. Throws UserError that names the file, the line, the key and the allowed values. */
LoadScenario readScenario(const std::string &fileName);

}
