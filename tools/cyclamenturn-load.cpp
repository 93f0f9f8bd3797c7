/** \file
 * The load generator for experiments: sends open-loop arrivals, drawn from a seed, to running daemons and checks the
 * responses.
 */
#include "clock.h"
#include "errors.h"
#include "httpexchange.h"
#include "jsoncodec.h"
#include "loadreport.h"
#include "pooltask.h"

#include <Poco/ThreadPool.h>
#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <getopt.h>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

using namespace Cyclamenturn;

namespace
{

constexpr int EXIT_USAGE = 2;
constexpr int EXIT_FAILED = 1;
constexpr int EXIT_CHECK_FAILED = 3;
constexpr int MAX_CALLERS = 3000;
constexpr std::size_t CALLER_STACK_BYTES = 256 << 10;
/** Time between the set-up and the start of the run. */
constexpr Duration START_MARGIN = milliseconds(200);

const char *const HELP = R"(cyclamenturn-load - send load to a fleet and report the results by class

SYNOPSIS
    cyclamenturn-load --scenario FILE [--seed N] [--json FILE]

DESCRIPTION
    Sends requests at times drawn from the seed, without waiting for the responses to earlier ones, and measures every
    latency from the intended start. Checks every response against the text that the stand-in engine generates, and
    every idempotency key against the counts of executions in the stand-in services.

OPTIONS
    -s, --scenario FILE   the load to send (TOML)
    -n, --seed N          use N instead of the scenario's seed
    -j, --json FILE       also write the report as JSON
    -h, --help            show this help
    -V, --version         show the version

EXIT STATUS
    0   the run completed and all checks passed
    1   runtime failure
    2   invalid command line or scenario
    3   a response was wrong, a key was executed twice, or a request reported as "not run" was executed
)";

/** Returns the factor of the class's rate at the time `at`: the product of the factors of its bursts in progress. */
double burstFactor(const LoadScenario &scenario, const LoadSpec &load, Duration at)
{
    double factor = 1;
    for (const BurstSpec &burst : scenario.bursts) {
        const bool active = burst.className == load.className && at >= burst.from && at < burst.to;
        factor *= active ? burst.factor : 1;
    }
    return factor;
}

/**
 * Returns the highest factor of the class's bursts, at least 1. Unlike burstFactor(), it doesn't multiply the factors
 * of overlapping bursts.
 */
double maxBurstFactor(const LoadScenario &scenario, const LoadSpec &load)
{
    double largest = 1;
    for (const BurstSpec &burst : scenario.bursts) {
        largest = std::max(largest, burst.className == load.className ? burst.factor : 1);
    }
    return largest;
}

/**
 * Draws all requests in order of their start: for each class a Poisson process at its highest rate, from which requests
 * are dropped at random where the rate is lower (thinning).
 */
std::vector<PlannedRequest> planRequests(const LoadScenario &scenario)
{
    std::vector<PlannedRequest> out;
    std::mt19937_64 random(scenario.seed);
    for (const LoadSpec &load : scenario.loads) {
        const double maxFactor = maxBurstFactor(scenario, load);
        if (load.rate <= 0) {
            continue;
        }
        std::exponential_distribution<double> interarrivalSeconds(load.rate * maxFactor);
        std::lognormal_distribution<double> tokens(std::log(load.tokensMedian), load.tokensSigma);
        std::uniform_real_distribution<double> thinning(0, maxFactor);
        Duration at{};
        while (true) {
            at += Duration(static_cast<std::int64_t>(interarrivalSeconds(random) * 1e6));
            if (at >= scenario.duration) {
                break;
            }
            PlannedRequest request;
            request.start = at;
            request.load = &load;
            request.tokens = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(tokens(random)));
            request.prefix = std::uniform_int_distribution<std::int64_t>(0, load.prefixes - 1)(random);
            request.team = random() % load.teamKeys.size();
            request.entry = random() % scenario.entries.size();
            if (thinning(random) < burstFactor(scenario, load, at)) {
                out.push_back(request);
            }
        }
    }
    std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) { return a.start < b.start; });
    for (std::size_t i = 0; i < out.size(); ++i) {
        out[i].number = i;
    }
    return out;
}

void sendFault(const FaultSpec &fault)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/control";
    request.body = fault.body;
    try {
        httpExchange(fault.address, request, HttpTimeouts());
    } catch (const std::runtime_error &error) {
        std::cerr << "cyclamenturn-load: can't inject the fault: " << error.what() << "\n";
    }
}

void sendSignal(const SignalSpec &signal)
{
    std::ifstream in(signal.pidFile);
    pid_t pid = 0;
    if (in >> pid && pid > 1) {
        kill(pid, signal.signal);
    } else {
        std::cerr << "cyclamenturn-load: can't send the signal: no process id in " << signal.pidFile << "\n";
    }
}

/** Injects the faults and sends the signals at their times. */
void runFaults(const LoadScenario &scenario, TimePoint start)
{
    std::multimap<Duration, std::function<void()>> schedule;
    for (const FaultSpec &fault : scenario.faults) {
        schedule.emplace(fault.at, [&fault] { sendFault(fault); });
    }
    for (const SignalSpec &signal : scenario.signals) {
        schedule.emplace(signal.at, [&signal] { sendSignal(signal); });
    }
    for (const auto &[at, action] : schedule) {
        std::this_thread::sleep_until(start + at);
        action();
    }
}

/** Sends each request at its time, on a thread of its own, and returns when all requests and faults are done. */
std::vector<RequestResult> runLoad(const LoadScenario &scenario, const std::vector<PlannedRequest> &schedule)
{
    Poco::ThreadPool callers("caller", 16, MAX_CALLERS, 60, static_cast<int>(CALLER_STACK_BYTES));
    std::mutex mutex;
    std::vector<RequestResult> results;
    results.reserve(schedule.size());
    const TimePoint start = currentTime() + START_MARGIN;
    std::thread faults([&] { runFaults(scenario, start); });
    for (const PlannedRequest &request : schedule) {
        const TimePoint due = start + request.start;
        std::this_thread::sleep_until(due);
        startTask(callers, [&, due] {
            RequestResult result = runRequest(scenario, request, due);
            const std::lock_guard<std::mutex> lock(mutex);
            results.push_back(std::move(result));
        });
    }
    callers.joinAll();
    faults.join();
    return results;
}

/** Reads the counters of a stand-in; an empty object when it sends no valid response. */
Json::Value readCounters(const Address &address, const std::string &path)
{
    HttpRequest request;
    request.path = path;
    try {
        return parseJson(httpExchange(address, request, HttpTimeouts()).body);
    } catch (const std::runtime_error &) {
        return Json::Value(Json::objectValue);
    }
}

/** Returns the number of tokens that all engines have generated since they were started. */
std::uint64_t tokensGenerated(const LoadScenario &scenario)
{
    std::uint64_t out = 0;
    for (const Address &engine : scenario.engines) {
        out += readCounters(engine, "/stats").get("tokens", Json::Value(0U)).asUInt64();
    }
    return out;
}

/** Counts the keys that were executed more than once, and those executed although all attempts reported "not run". */
void countRuns(const LoadScenario &scenario, const std::vector<RequestResult> &results, StandinCounts &counts)
{
    std::map<std::string, int> runs;
    for (const Address &service : scenario.services) {
        const Json::Value json = readCounters(service, "/runs").get("runs", Json::Value(Json::objectValue));
        for (const auto &key : json.getMemberNames()) {
            runs[key] += json[key].asInt();
        }
    }
    for (const auto &[key, count] : runs) {
        counts.doubleRuns += count > 1 ? 1 : 0;
    }
    for (const RequestResult &result : results) {
        counts.falseNotRuns += result.onlyNotRunOutcomes && runs.count(result.key) > 0 ? 1 : 0;
    }
}

struct CommandLine
{
    std::string scenarioFile;
    std::string jsonFile;
    std::optional<std::uint64_t> seed;
};

/** Returns nothing when help or version was requested and printed. */
std::optional<CommandLine> parseCommandLine(int argc, char **argv)
{
    static const option OPTIONS[] = {{"scenario", required_argument, nullptr, 's'},
        {"seed", required_argument, nullptr, 'n'}, {"json", required_argument, nullptr, 'j'},
        {"help", no_argument, nullptr, 'h'}, {"version", no_argument, nullptr, 'V'}, {nullptr, 0, nullptr, 0}};
    CommandLine out;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "s:n:j:hV", OPTIONS, nullptr)) != -1) {
        switch (choice) {
        case 's':
            out.scenarioFile = optarg;
            break;
        case 'n':
            out.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'j':
            out.jsonFile = optarg;
            break;
        case 'h':
            std::cout << HELP;
            return std::nullopt;
        case 'V':
            std::cout << "cyclamenturn-load " << CYCLAMENTURN_VERSION << "\n";
            return std::nullopt;
        default:
            throw UserError("see cyclamenturn-load --help");
        }
    }
    if (out.scenarioFile.empty()) {
        throw UserError("--scenario FILE is needed; see cyclamenturn-load --help");
    }
    return out;
}

int run(const CommandLine &commandLine)
{
    LoadScenario scenario = readScenario(commandLine.scenarioFile);
    scenario.seed = commandLine.seed.value_or(scenario.seed);
    const auto schedule = planRequests(scenario);
    StandinCounts counts;
    const std::uint64_t tokensBefore = tokensGenerated(scenario);
    const auto results = runLoad(scenario, schedule);
    counts.tokensGenerated = tokensGenerated(scenario) - tokensBefore;
    countRuns(scenario, results, counts);
    const Json::Value report = makeReport(scenario, results, counts);
    std::cout << reportTable(report);
    if (!commandLine.jsonFile.empty()) {
        std::ofstream(commandLine.jsonFile) << toJsonText(report) << "\n";
    }
    bool anyWrong = false;
    for (const RequestResult &result : results) {
        anyWrong = anyWrong || result.wrong;
    }
    return anyWrong || counts.doubleRuns > 0 || counts.falseNotRuns > 0 ? EXIT_CHECK_FAILED : 0;
}

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto commandLine = parseCommandLine(argc, argv);
        return commandLine ? run(*commandLine) : 0;
    } catch (const UserError &error) {
        std::cerr << "cyclamenturn-load: " << error.what() << "\n";
        return EXIT_USAGE;
    } catch (const std::exception &error) {
        std::cerr << "cyclamenturn-load: " << error.what() << "\n";
        return EXIT_FAILED;
    }
}
