/** \file
 * The operators' command-line tool: reads and edits the fleet's configuration, shows the status of all processes, and
 * explains requests from a gateway's log.
 */
#include "checkedtable.h"
#include "clock.h"
#include "errors.h"
#include "explainrequest.h"
#include "fleetadmin.h"
#include "fleetconfiguration.h"
#include "jsoncodec.h"
#include "linediff.h"

#include <Poco/UUIDGenerator.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

using namespace Cyclamenturn;

namespace
{

constexpr int EXIT_OK = 0;
constexpr int EXIT_FAILED = 1;
constexpr int EXIT_USAGE = 2;
constexpr int EXIT_REFUSED = 3;
/** The outcome of an edit isn't known yet, or the edit isn't in force on all processes yet. */
constexpr int EXIT_PENDING = 4;
/** Pause between tries to reach the store. */
constexpr Duration RETRY_INTERVAL = milliseconds(500);
constexpr Duration STATUS_POLL_INTERVAL = milliseconds(200);
constexpr std::int64_t DEFAULT_TIMEOUT_MS = 60000;
/** Beginning of the line that `config show` puts first, followed by the revision. */
const std::string REVISION_LINE_PREFIX = "# revision ";

const char *const HELP = R"(cyclamenturnctl - operate a cyclamenturn fleet

SYNOPSIS
    cyclamenturnctl [OPTIONS] config show
    cyclamenturnctl [OPTIONS] config check FILE
    cyclamenturnctl [OPTIONS] config diff FILE
    cyclamenturnctl [OPTIONS] config accept FILE [--base REVISION] [--wait]
    cyclamenturnctl [OPTIONS] config history
    cyclamenturnctl [OPTIONS] status
    cyclamenturnctl [OPTIONS] drain ENDPOINT --reason TEXT [--wait]
    cyclamenturnctl explain REQUEST < LOG

DESCRIPTION
    config show      prints the configuration in the store; its first line names the revision
    config check     validates FILE with the same checks as the daemons
    config diff      shows what FILE would change
    config accept    replaces the configuration by FILE if the store still has the revision that was edited, which is
                     named by the first line of FILE or by --base. If another edit was accepted before, nothing is
                     changed and the difference between the stored configuration and FILE is shown
    config history   lists the accepted edits
    status           shows every process with the revision in force on it
    drain            adds an exception to the configuration by which ENDPOINT gets no new requests
    explain          prints the lines of a gateway's log that explain one request; docs/OPERATIONS.md describes them

OPTIONS
    -c, --config FILE      the tool's settings: store, fleet_key_file, entries (cyclamenturnctl.toml)
    -b, --base REVISION    the revision that was edited
    -r, --reason TEXT      the reason that is stored with the exception
    -a, --author NAME      the author of the edit (default: the environment variable USER)
    -w, --wait             wait until every process has the revision; name the processes that don't have it in time
    -t, --timeout-ms N     stop retrying and waiting after N milliseconds (default: 60000)
    -j, --json             print JSON
    -h, --help             show this help
    -V, --version          show the version

EXIT STATUS
    0   done
    1   runtime failure
    2   invalid command line, settings or configuration
    3   refused: another edit was accepted before, or a process can't apply the configuration
    4   not known yet: the store doesn't answer; or some processes don't have the revision yet
)";

struct CommandLine
{
    /** The command, its subcommand and their operands. */
    std::vector<std::string> arguments;
    std::string settingsFile = "cyclamenturnctl.toml";
    std::optional<std::uint64_t> base;
    std::string reason;
    std::string author;
    bool wait = false;
    bool json = false;
    Duration timeout = milliseconds(DEFAULT_TIMEOUT_MS);
};

std::string readFile(const std::string &name)
{
    std::ifstream in(name);
    if (!in) {
        throw UserError(name + ": can't be read; check the path and its permissions");
    }
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::uint64_t parseNumber(const std::string &text, const std::string &name)
{
    const bool digits = !text.empty() && text.size() < 16 && text.find_first_not_of("0123456789") == std::string::npos;
    if (!digits) {
        throw UserError(name + " must be a non-negative integer, not '" + text + "'");
    }
    return std::stoull(text);
}

/** Returns false when help or version was requested and printed. */
bool parseCommandLine(int argc, char **argv, CommandLine &out)
{
    static const option OPTIONS[] = {{"config", required_argument, nullptr, 'c'},
        {"base", required_argument, nullptr, 'b'}, {"reason", required_argument, nullptr, 'r'},
        {"author", required_argument, nullptr, 'a'}, {"wait", no_argument, nullptr, 'w'},
        {"timeout-ms", required_argument, nullptr, 't'}, {"json", no_argument, nullptr, 'j'},
        {"help", no_argument, nullptr, 'h'}, {"version", no_argument, nullptr, 'V'}, {nullptr, 0, nullptr, 0}};
    const char *user = std::getenv("USER");
    out.author = user ? user : "operator";
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "c:b:r:a:wt:jhV", OPTIONS, nullptr)) != -1) {
        switch (choice) {
        case 'c':
            out.settingsFile = optarg;
            break;
        case 'b':
            out.base = parseNumber(optarg, "--base");
            break;
        case 'r':
            out.reason = optarg;
            break;
        case 'a':
            out.author = optarg;
            break;
        case 'w':
            out.wait = true;
            break;
        case 't':
            out.timeout = milliseconds(static_cast<std::int64_t>(parseNumber(optarg, "--timeout-ms")));
            break;
        case 'j':
            out.json = true;
            break;
        case 'h':
            std::cout << HELP;
            return false;
        case 'V':
            std::cout << "cyclamenturnctl " << CYCLAMENTURN_VERSION << "\n";
            return false;
        default:
            throw UserError("see cyclamenturnctl --help");
        }
    }
    out.arguments.assign(argv + optind, argv + argc);
    return true;
}

FleetAdmin makeAdmin(const CommandLine &commandLine)
{
    const toml::table document = parseTomlFile(commandLine.settingsFile);
    CheckedTable root(document, commandLine.settingsFile, "");
    const Address store = addressFromString(root.text("store"));
    auto fleetKey = std::make_shared<FleetKey>(root.text("fleet_key_file"));
    std::vector<Address> entries;
    for (const auto &entry : root.stringArray("entries")) {
        entries.push_back(addressFromString(entry));
    }
    root.finish();
    return FleetAdmin(store, fleetKey, entries);
}

/** Prints `json` or `text`, depending on --json. */
void printResult(const CommandLine &commandLine, const Json::Value &json, const std::string &text)
{
    std::cout << (commandLine.json ? toJsonText(json) + "\n" : text);
}

/** The revision that was edited, from --base or from the first line of `toml`. Throws UserError without either. */
std::uint64_t baseRevision(const CommandLine &commandLine, const std::string &toml)
{
    if (commandLine.base) {
        return *commandLine.base;
    }
    if (toml.compare(0, REVISION_LINE_PREFIX.size(), REVISION_LINE_PREFIX) != 0) {
        throw UserError("the file's first line names no revision; pass the revision that was edited with --base");
    }
    const std::string rest = toml.substr(REVISION_LINE_PREFIX.size());
    return parseNumber(rest.substr(0, rest.find('\n')), "the file's first line");
}

/** Returns `toml` without the revision line that `config show` puts first. */
std::string withoutRevisionLine(const std::string &toml)
{
    const bool hasRevisionLine = toml.compare(0, REVISION_LINE_PREFIX.size(), REVISION_LINE_PREFIX) == 0;
    return hasRevisionLine ? toml.substr(toml.find('\n') + 1) : toml;
}

int showConfig(const CommandLine &commandLine)
{
    const auto stored = makeAdmin(commandLine).readStoredDocument();
    if (!stored) {
        std::cerr << "cyclamenturnctl: the store has no configuration yet; add the first with 'config accept FILE "
                     "--base 0'\n";
        return EXIT_FAILED;
    }
    Json::Value json;
    json["revision"] = Json::UInt64(stored->document.revision);
    json["toml"] = stored->document.toml;
    printResult(commandLine, json,
        REVISION_LINE_PREFIX + std::to_string(stored->document.revision) + "\n" + stored->document.toml);
    return EXIT_OK;
}

int checkConfig(const CommandLine &commandLine, const std::string &file)
{
    FleetConfiguration::parse(withoutRevisionLine(readFile(file)), file, 0);
    Json::Value json;
    json["valid"] = true;
    printResult(commandLine, json, file + ": valid\n");
    return EXIT_OK;
}

int diffConfig(const CommandLine &commandLine, const std::string &file)
{
    const auto stored = makeAdmin(commandLine).readStoredDocument();
    const std::string difference = lineDiff(stored ? stored->document.toml : "", withoutRevisionLine(readFile(file)));
    Json::Value json;
    json["diff"] = difference;
    printResult(commandLine, json, difference);
    return EXIT_OK;
}

int showHistory(const CommandLine &commandLine)
{
    const auto stored = makeAdmin(commandLine).readStoredDocument();
    Json::Value json;
    json["edits"] = Json::Value(Json::arrayValue);
    std::ostringstream text;
    for (const EditRecord &edit : stored ? stored->document.edits : std::vector<EditRecord>()) {
        Json::Value item;
        item["revision"] = Json::UInt64(edit.revision);
        item["author"] = edit.author;
        item["edit_id"] = edit.editId;
        item["accepted_ms"] = Json::Int64(toMilliseconds(edit.acceptedAt));
        json["edits"].append(item);
        text << std::setw(8) << edit.revision << "  " << toMilliseconds(edit.acceptedAt) << "  " << edit.author << "  "
             << edit.editId << "\n";
    }
    printResult(commandLine, json, text.str());
    return EXIT_OK;
}

/**
 * Waits until every process has `revision`, or until `deadline`. Returns the names of the processes that don't have it;
 * those that sent no response are marked.
 */
std::vector<std::string> waitForRevision(
    FleetAdmin &admin, const FleetConfiguration &configuration, std::uint64_t revision, TimePoint deadline)
{
    std::vector<std::string> pending;
    do {
        pending.clear();
        for (const ProcessStatus &process : admin.readStatuses(&configuration)) {
            if (process.revision() < revision) {
                pending.push_back(process.name + (process.answered() ? "" : " (no answer)"));
            }
        }
        if (pending.empty()) {
            return pending;
        }
        std::this_thread::sleep_for(STATUS_POLL_INTERVAL);
    } while (currentTime() < deadline);
    return pending;
}

/** Reports an edit that wasn't accepted and how the stored configuration differs from it. */
int reportRefused(
    const CommandLine &commandLine, FleetAdmin &admin, const EditResolution &resolution, const std::string &toml)
{
    const auto stored = admin.readStoredDocument();
    Json::Value json;
    json["state"] = toString(resolution.state);
    json["other_author"] = resolution.otherEdit.author;
    json["other_edit_id"] = resolution.otherEdit.editId;
    json["diff_to_ours"] = lineDiff(stored ? stored->document.toml : "", toml);
    std::ostringstream text;
    text << toString(resolution.state) << ": no part of this edit is in force";
    if (!resolution.otherEdit.editId.empty()) {
        text << "; revision " << resolution.otherEdit.revision << " by " << resolution.otherEdit.author
             << " was accepted before";
    }
    text << "\ndifference from the configuration in the store to this file:\n" << json["diff_to_ours"].asString();
    printResult(commandLine, json, text.str());
    return EXIT_REFUSED;
}

/** Reports processes that have a newer revision than the store, so that the edit wasn't written. */
int reportNewerProcesses(const CommandLine &commandLine, const std::vector<std::string> &names)
{
    Json::Value json;
    json["state"] = "refused";
    std::string text
        = "refused: these processes have a newer revision than the one that was edited; see 'config show'\n";
    for (const auto &name : names) {
        json["ahead"].append(name);
        text += "  " + name + "\n";
    }
    printResult(commandLine, json, text);
    return EXIT_REFUSED;
}

/** Checks `toml` on all processes and stores it as the revision after `base`. Returns the exit status. */
int acceptText(const CommandLine &commandLine, const std::string &toml, std::uint64_t base)
{
    const auto configuration = FleetConfiguration::parse(toml, "configuration", base + 1);
    FleetAdmin admin = makeAdmin(commandLine);
    const TimePoint deadline = currentTime() + commandLine.timeout;
    const auto rejections = admin.checkOnProcesses(toml, configuration.get());
    if (!rejections.empty()) {
        for (const auto &rejection : rejections) {
            std::cerr << "cyclamenturnctl: refused, " << rejection << "\n";
        }
        return EXIT_REFUSED;
    }
    const std::string editId = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    bool reported = false;
    const auto shouldRetry = [&] {
        if (!reported) {
            std::cerr << "cyclamenturnctl: not known yet, the store doesn't answer; retrying (edit " << editId << ")\n";
            reported = true;
        }
        std::this_thread::sleep_for(RETRY_INTERVAL);
        return currentTime() < deadline;
    };
    const AcceptResult result = admin.accept(toml, editId, commandLine.author, base, *configuration, shouldRetry);
    if (!result.processesAhead.empty()) {
        return reportNewerProcesses(commandLine, result.processesAhead);
    }
    Json::Value json;
    json["edit_id"] = editId;
    if (!result.resolution) {
        json["state"] = "not_known";
        printResult(commandLine, json, "not known yet: check whether 'config history' lists edit " + editId + "\n");
        return EXIT_PENDING;
    }
    const EditState state = result.resolution->state;
    if (state != EditState::Accepted && state != EditState::Superseded) {
        return reportRefused(commandLine, admin, *result.resolution, toml);
    }
    const std::uint64_t revision = result.resolution->revision;
    json["state"] = toString(state);
    json["revision"] = Json::UInt64(revision);
    std::string text = std::string(toString(state)) + ": revision " + std::to_string(revision) + "\n";
    int exitCode = EXIT_OK;
    if (commandLine.wait) {
        json["lacking"] = Json::Value(Json::arrayValue);
        for (const auto &name : waitForRevision(admin, *configuration, revision, deadline)) {
            json["lacking"].append(name);
            text += "not in force on: " + name + "\n";
            exitCode = EXIT_PENDING;
        }
    }
    printResult(commandLine, json, text);
    return exitCode;
}

int acceptConfig(const CommandLine &commandLine, const std::string &file)
{
    const std::string toml = readFile(file);
    return acceptText(commandLine, withoutRevisionLine(toml), baseRevision(commandLine, toml));
}

/** Returns `text` as a quoted TOML string. */
std::string tomlString(const std::string &text)
{
    std::ostringstream out;
    out << toml::node_view<const toml::node>(toml::value<std::string>(text));
    return out.str();
}

int drainEndpoint(const CommandLine &commandLine, const std::string &endpoint)
{
    if (commandLine.reason.empty()) {
        throw UserError("drain needs --reason TEXT, which is stored in the configuration");
    }
    const auto stored = makeAdmin(commandLine).readStoredDocument();
    if (!stored) {
        throw UserError("the store has no configuration yet; add one with 'config accept'");
    }
    const std::string exception = "\n[[exception]]\ntarget = " + tomlString("endpoint:" + endpoint)
        + "\nreason = " + tomlString(commandLine.reason) + "\nset = { draining = true }\n";
    return acceptText(commandLine, stored->document.toml + exception, stored->document.revision);
}

std::string statusLine(const ProcessStatus &process)
{
    std::ostringstream out;
    out << std::left << std::setw(24) << process.name << std::setw(24) << toString(process.address);
    if (!process.answered()) {
        out << "no answer\n";
        return out.str();
    }
    const Json::Value &status = process.status;
    out << std::setw(8) << status.get("role", "").asString() << std::setw(16)
        << status.get("failure_domain", "").asString() << std::setw(16) << process.revision()
        << (status.get("ready", false).asBool() ? "ready" : "not ready");
    if (status.isMember("figures")) {
        const Json::Value &agentStatus = status["figures"];
        out << "  running " << agentStatus["running"].asInt() << "/" << agentStatus["slots"].asInt() << " queued "
            << agentStatus["queued"].asInt() << (agentStatus["leaving"].asBool() ? " leaving" : "");
    }
    if (status.get("invalid_revision", 0U).asUInt64() != 0) {
        out << "  can't apply revision " << status["invalid_revision"].asUInt64() << ": "
            << status["invalid_reason"].asString();
    }
    out << "\n";
    return out.str();
}

int showStatus(const CommandLine &commandLine)
{
    FleetAdmin admin = makeAdmin(commandLine);
    FleetConfigurationPtr configuration;
    std::uint64_t storedRevision = 0;
    try {
        if (const auto stored = admin.readStoredDocument()) {
            storedRevision = stored->document.revision;
            configuration = FleetConfiguration::parse(stored->document.toml, "configuration", storedRevision);
        }
    } catch (const StoreUnavailableError &error) {
        std::cerr << "cyclamenturnctl: the store doesn't answer; only the entries are shown, since the agents are "
                     "listed in the store\n";
    }
    Json::Value json;
    json["stored_revision"] = Json::UInt64(storedRevision);
    json["processes"] = Json::Value(Json::arrayValue);
    std::string text = "store: revision " + std::to_string(storedRevision) + "\n";
    int behindCount = 0;
    for (const ProcessStatus &process : admin.readStatuses(configuration.get())) {
        Json::Value item = process.status;
        item["name"] = process.name;
        item["address"] = toString(process.address);
        item["answered"] = process.answered();
        json["processes"].append(item);
        text += statusLine(process);
        behindCount += process.revision() < storedRevision ? 1 : 0;
    }
    json["behind"] = behindCount;
    text += std::to_string(behindCount) + " behind the store\n";
    printResult(commandLine, json, text);
    return EXIT_OK;
}

int explain(const std::string &requestId)
{
    const auto lines = explainRequest(std::cin, requestId);
    if (lines.empty()) {
        std::cerr << "cyclamenturnctl: the log has no line of request " << requestId
                  << "; each attempt has its own id, and each gateway writes its own log\n";
        return EXIT_FAILED;
    }
    for (const auto &text : lines) {
        std::cout << text << "\n";
    }
    return EXIT_OK;
}

int run(const CommandLine &commandLine)
{
    const auto &arguments = commandLine.arguments;
    const std::string command = arguments.empty() ? "" : arguments[0];
    const std::string subcommand = arguments.size() > 1 ? arguments[1] : "";
    if (command == "status" && arguments.size() == 1) {
        return showStatus(commandLine);
    }
    if (command == "explain" && arguments.size() == 2) {
        return explain(subcommand);
    }
    if (command == "drain" && arguments.size() == 2) {
        return drainEndpoint(commandLine, subcommand);
    }
    if (command == "config" && subcommand == "show" && arguments.size() == 2) {
        return showConfig(commandLine);
    }
    if (command == "config" && subcommand == "history" && arguments.size() == 2) {
        return showHistory(commandLine);
    }
    if (command == "config" && arguments.size() == 3) {
        if (subcommand == "check") {
            return checkConfig(commandLine, arguments[2]);
        }
        if (subcommand == "diff") {
            return diffConfig(commandLine, arguments[2]);
        }
        if (subcommand == "accept") {
            return acceptConfig(commandLine, arguments[2]);
        }
    }
    throw UserError("unknown command; see cyclamenturnctl --help");
}

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        CommandLine commandLine;
        return parseCommandLine(argc, argv, commandLine) ? run(commandLine) : EXIT_OK;
    } catch (const UserError &error) {
        std::cerr << "cyclamenturnctl: " << error.what() << "\n";
        return EXIT_USAGE;
    } catch (const std::exception &error) {
        std::cerr << "cyclamenturnctl: " << error.what() << "\n";
        return EXIT_FAILED;
    }
}
