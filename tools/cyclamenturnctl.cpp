/** \file
 * The operators' command-line tool.
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
constexpr int EXIT_NOT_KNOWN = 4;
constexpr Duration RETRY_INTERVAL = milliseconds(500);
constexpr Duration WAIT_STEP = milliseconds(200);
constexpr std::int64_t DEFAULT_TIMEOUT_MS = 60000;
const std::string REVISION_MARK = "# revision ";

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
    config check     validates FILE, all or nothing, as the daemons would
    config diff      shows what FILE would change
    config accept    puts FILE in force from the revision that its first line, or --base, names. If another edit came
                     first, nothing of FILE is in force and the other edit's difference is shown
    config history   lists the accepted edits
    status           shows every process with the revision in force there
    drain            accepts an exception that takes all new work away from ENDPOINT
    explain          prints the lines of a gateway's log that explain one request; docs/OPERATIONS.md reads them

OPTIONS
    -c, --config FILE      the tool's settings: store, fleet_key_file, entries (cyclamenturnctl.toml)
    -b, --base REVISION    the revision that was edited
    -r, --reason TEXT      the reason written into the exception
    -a, --author NAME      the author of the edit (the environment's USER)
    -w, --wait             return when every process has the revision, or name those that lack it
    -t, --timeout-ms N     give up after N milliseconds (60000)
    -j, --json             print JSON
    -h, --help             show this page
    -V, --version          show the version

EXIT STATUS
    0   done
    1   failed
    2   wrong command line, settings or configuration
    3   refused: another edit came first, or a process can't read the configuration
    4   not known yet: the store is silent; or processes still lack the revision
)";

struct CommandLine
{
    std::vector<std::string> words;
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

std::uint64_t numberOption(const std::string &text, const std::string &name)
{
    const bool digits = !text.empty() && text.size() < 16 && text.find_first_not_of("0123456789") == std::string::npos;
    if (!digits) {
        throw UserError(name + " needs a whole number, not '" + text + "'");
    }
    return std::stoull(text);
}

/** Returns false when help or version was asked for and printed. */
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
            out.base = numberOption(optarg, "--base");
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
            out.timeout = milliseconds(static_cast<std::int64_t>(numberOption(optarg, "--timeout-ms")));
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
    out.words.assign(argv + optind, argv + argc);
    return true;
}

FleetAdmin makeAdmin(const CommandLine &line)
{
    const toml::table document = parseTomlFile(line.settingsFile);
    CheckedTable root(document, line.settingsFile, "");
    const Address store = addressFromString(root.text("store"));
    auto fleetKey = std::make_shared<FleetKey>(root.text("fleet_key_file"));
    std::vector<Address> entries;
    for (const auto &entry : root.stringArray("entries")) {
        entries.push_back(addressFromString(entry));
    }
    root.finish();
    return FleetAdmin(store, fleetKey, entries);
}

void print(const CommandLine &line, const Json::Value &json, const std::string &text)
{
    std::cout << (line.json ? toJsonText(json) + "\n" : text);
}

std::uint64_t baseRevision(const CommandLine &line, const std::string &toml)
{
    if (line.base) {
        return *line.base;
    }
    if (toml.compare(0, REVISION_MARK.size(), REVISION_MARK) != 0) {
        throw UserError("the file's first line names no revision; say which one was edited with --base");
    }
    const std::string rest = toml.substr(REVISION_MARK.size());
    return numberOption(rest.substr(0, rest.find('\n')), "the file's first line");
}

/** The text without the line that `config show` puts first. */
std::string withoutMark(const std::string &toml)
{
    const bool marked = toml.compare(0, REVISION_MARK.size(), REVISION_MARK) == 0;
    return marked ? toml.substr(toml.find('\n') + 1) : toml;
}

int showConfig(const CommandLine &line)
{
    const auto stored = makeAdmin(line).readStoredDocument();
    if (!stored) {
        std::cerr << "cyclamenturnctl: no configuration was accepted yet; accept one with --base 0\n";
        return EXIT_FAILED;
    }
    Json::Value json;
    json["revision"] = Json::UInt64(stored->document.revision);
    json["toml"] = stored->document.toml;
    print(line, json, REVISION_MARK + std::to_string(stored->document.revision) + "\n" + stored->document.toml);
    return EXIT_OK;
}

int checkConfig(const CommandLine &line, const std::string &file)
{
    FleetConfiguration::parse(withoutMark(readFile(file)), file, 0);
    Json::Value json;
    json["valid"] = true;
    print(line, json, file + ": valid\n");
    return EXIT_OK;
}

int diffConfig(const CommandLine &line, const std::string &file)
{
    const auto stored = makeAdmin(line).readStoredDocument();
    const std::string difference = lineDiff(stored ? stored->document.toml : "", withoutMark(readFile(file)));
    Json::Value json;
    json["diff"] = difference;
    print(line, json, difference);
    return EXIT_OK;
}

int showHistory(const CommandLine &line)
{
    const auto stored = makeAdmin(line).readStoredDocument();
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
    print(line, json, text.str());
    return EXIT_OK;
}

/** Waits until every process that answers has the revision. Returns the names of those that lack it. */
std::vector<std::string> waitForRevision(
    FleetAdmin &admin, const FleetConfiguration &configuration, std::uint64_t revision, TimePoint deadline)
{
    std::vector<std::string> lacking;
    do {
        lacking.clear();
        for (const ProcessStatus &process : admin.readStatuses(&configuration)) {
            if (process.revision() < revision) {
                lacking.push_back(process.name + (process.answered() ? "" : " (no answer)"));
            }
        }
        if (lacking.empty()) {
            return lacking;
        }
        std::this_thread::sleep_for(WAIT_STEP);
    } while (currentTime() < deadline);
    return lacking;
}

int reportRefused(const CommandLine &line, FleetAdmin &admin, const EditResolution &resolution, const std::string &toml)
{
    const auto stored = admin.readStoredDocument();
    Json::Value json;
    json["state"] = toString(resolution.state);
    json["other_author"] = resolution.other.author;
    json["other_edit_id"] = resolution.other.editId;
    json["diff_to_ours"] = lineDiff(stored ? stored->document.toml : "", toml);
    std::ostringstream text;
    text << toString(resolution.state) << ": nothing of this edit is in force";
    if (!resolution.other.editId.empty()) {
        text << "; revision " << resolution.other.revision << " by " << resolution.other.author << " came first";
    }
    text << "\nfrom the configuration in the store to this file:\n" << json["diff_to_ours"].asString();
    print(line, json, text.str());
    return EXIT_REFUSED;
}

int reportAhead(const CommandLine &line, const std::vector<std::string> &names)
{
    Json::Value json;
    json["state"] = "refused";
    std::string text = "refused: these processes run a newer revision than the one edited; look at 'config show'\n";
    for (const auto &name : names) {
        json["ahead"].append(name);
        text += "  " + name + "\n";
    }
    print(line, json, text);
    return EXIT_REFUSED;
}

int acceptText(const CommandLine &line, const std::string &toml, std::uint64_t base)
{
    const auto configuration = FleetConfiguration::parse(toml, "configuration", base + 1);
    FleetAdmin admin = makeAdmin(line);
    const TimePoint deadline = currentTime() + line.timeout;
    const auto objections = admin.checkOnProcesses(toml, configuration.get());
    if (!objections.empty()) {
        for (const auto &objection : objections) {
            std::cerr << "cyclamenturnctl: refused, " << objection << "\n";
        }
        return EXIT_REFUSED;
    }
    const std::string editId = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    bool told = false;
    const auto shouldContinue = [&] {
        if (!told) {
            std::cerr << "cyclamenturnctl: not known yet, the store is silent; asking again (edit " << editId << ")\n";
            told = true;
        }
        std::this_thread::sleep_for(RETRY_INTERVAL);
        return currentTime() < deadline;
    };
    const AcceptResult result = admin.accept(toml, editId, line.author, base, *configuration, shouldContinue);
    if (!result.processesAhead.empty()) {
        return reportAhead(line, result.processesAhead);
    }
    Json::Value json;
    json["edit_id"] = editId;
    if (!result.resolution) {
        json["state"] = "not_known";
        print(line, json, "not known yet: look for edit " + editId + " in 'config history'\n");
        return EXIT_NOT_KNOWN;
    }
    const EditState state = result.resolution->state;
    if (state != EditState::Accepted && state != EditState::Superseded) {
        return reportRefused(line, admin, *result.resolution, toml);
    }
    const std::uint64_t revision = result.resolution->revision;
    json["state"] = toString(state);
    json["revision"] = Json::UInt64(revision);
    std::string text = std::string(toString(state)) + ": revision " + std::to_string(revision) + "\n";
    int exitCode = EXIT_OK;
    if (line.wait) {
        json["lacking"] = Json::Value(Json::arrayValue);
        for (const auto &name : waitForRevision(admin, *configuration, revision, deadline)) {
            json["lacking"].append(name);
            text += "lacks it: " + name + "\n";
            exitCode = EXIT_NOT_KNOWN;
        }
    }
    print(line, json, text);
    return exitCode;
}

int acceptConfig(const CommandLine &line, const std::string &file)
{
    const std::string toml = readFile(file);
    return acceptText(line, withoutMark(toml), baseRevision(line, toml));
}

std::string tomlString(const std::string &text)
{
    std::ostringstream out;
    out << toml::node_view<const toml::node>(toml::value<std::string>(text));
    return out.str();
}

int drainEndpoint(const CommandLine &line, const std::string &endpoint)
{
    if (line.reason.empty()) {
        throw UserError("drain needs --reason TEXT; it is written into the configuration");
    }
    const auto stored = makeAdmin(line).readStoredDocument();
    if (!stored) {
        throw UserError("no configuration was accepted yet");
    }
    const std::string exception = "\n[[exception]]\ntarget = " + tomlString("endpoint:" + endpoint)
        + "\nreason = " + tomlString(line.reason) + "\nset = { draining = true }\n";
    return acceptText(line, stored->document.toml + exception, stored->document.revision);
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
        << status.get("failure_domain", "").asString() << std::setw(10) << process.revision()
        << (status.get("ready", false).asBool() ? "ready" : "not ready");
    if (status.isMember("figures")) {
        const Json::Value &figures = status["figures"];
        out << "  running " << figures["running"].asInt() << "/" << figures["slots"].asInt() << " queued "
            << figures["queued"].asInt() << (figures["leaving"].asBool() ? " leaving" : "");
    }
    if (status.get("invalid_revision", 0U).asUInt64() != 0) {
        out << "  can't read revision " << status["invalid_revision"].asUInt64() << ": "
            << status["invalid_reason"].asString();
    }
    out << "\n";
    return out.str();
}

int showStatus(const CommandLine &line)
{
    FleetAdmin admin = makeAdmin(line);
    FleetConfigurationPtr configuration;
    std::uint64_t storedRevision = 0;
    try {
        if (const auto stored = admin.readStoredDocument()) {
            storedRevision = stored->document.revision;
            configuration = FleetConfiguration::parse(stored->document.toml, "configuration", storedRevision);
        }
    } catch (const StoreUnavailableError &error) {
        std::cerr << "cyclamenturnctl: the store doesn't answer; only entries are shown\n";
    }
    Json::Value json;
    json["stored_revision"] = Json::UInt64(storedRevision);
    json["processes"] = Json::Value(Json::arrayValue);
    std::string text = "store: revision " + std::to_string(storedRevision) + "\n";
    int behind = 0;
    for (const ProcessStatus &process : admin.readStatuses(configuration.get())) {
        Json::Value item = process.status;
        item["name"] = process.name;
        item["address"] = toString(process.address);
        item["answered"] = process.answered();
        json["processes"].append(item);
        text += statusLine(process);
        behind += process.revision() < storedRevision ? 1 : 0;
    }
    json["behind"] = behind;
    text += std::to_string(behind) + " behind the store\n";
    print(line, json, text);
    return EXIT_OK;
}

int explain(const std::string &requestId)
{
    const auto lines = explainRequest(std::cin, requestId);
    if (lines.empty()) {
        std::cerr << "cyclamenturnctl: the log has no line of request " << requestId
                  << "; each attempt of a caller has an id of its own, and each gateway a log of its own\n";
        return EXIT_FAILED;
    }
    for (const auto &text : lines) {
        std::cout << text << "\n";
    }
    return EXIT_OK;
}

int run(const CommandLine &line)
{
    const auto &words = line.words;
    const std::string command = words.empty() ? "" : words[0];
    const std::string sub = words.size() > 1 ? words[1] : "";
    if (command == "status" && words.size() == 1) {
        return showStatus(line);
    }
    if (command == "explain" && words.size() == 2) {
        return explain(sub);
    }
    if (command == "drain" && words.size() == 2) {
        return drainEndpoint(line, sub);
    }
    if (command == "config" && sub == "show" && words.size() == 2) {
        return showConfig(line);
    }
    if (command == "config" && sub == "history" && words.size() == 2) {
        return showHistory(line);
    }
    if (command == "config" && words.size() == 3) {
        if (sub == "check") {
            return checkConfig(line, words[2]);
        }
        if (sub == "diff") {
            return diffConfig(line, words[2]);
        }
        if (sub == "accept") {
            return acceptConfig(line, words[2]);
        }
    }
    throw UserError("unknown command; see cyclamenturnctl --help");
}

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        CommandLine line;
        return parseCommandLine(argc, argv, line) ? run(line) : EXIT_OK;
    } catch (const UserError &error) {
        std::cerr << "cyclamenturnctl: " << error.what() << "\n";
        return EXIT_USAGE;
    } catch (const std::exception &error) {
        std::cerr << "cyclamenturnctl: " << error.what() << "\n";
        return EXIT_FAILED;
    }
}
