/** \file
 * Measures how memory, processor time and message sizes grow with the numbers of teams, endpoints, keys and calls.
 * Prints the values with a linear fit for each, for docs/CAPACITY.md. Run: build/test/performance_capacity
 */
#include "activeconfiguration.h"
#include "clock.h"
#include "entrycore.h"
#include "fixtures.h"
#include "gateway/peerdigest.h"
#include "gateway/permitbucket.h"
#include "gateway/permitmessages.h"
#include "gateway/permitowners.h"
#include "gateway/streammessages.h"
#include "gateway/streamorigins.h"
#include "gateway/streamowners.h"
#include "rendezvoushash.h"
#include "wire.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <map>
#include <random>
#include <set>

using namespace Cyclamenturn;

namespace
{

constexpr int DECISIONS = 20000;

/** Returns the number of bytes currently allocated from the heap. */
double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/** Returns the mean time of one call of `work` in microseconds. */
double microsecondsOf(const std::function<void()> &work, int times)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i) {
        work();
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / times;
}

/** Returns a configuration document with one class and the given numbers of teams and endpoints. */
std::string largeDocument(int teams, int endpoints)
{
    std::string text = R"(
[fleet]
name = "large"
[[service]]
name = "chat"
kind = "model"
[[class]]
name = "question"
service = "chat"
tier = 1
deadline_ms = 8000
)";
    char buffer[256];
    for (int i = 0; i < endpoints; ++i) {
        std::snprintf(buffer, sizeof buffer,
            "[[endpoint]]\nname = \"chat-%d\"\nservice = \"chat\"\nhost = \"10.0.%d.%d\"\nport = 7000\n"
            "failure_domain = \"domain-%d\"\nslots = 80\n",
            i, i / 250, i % 250, i % 6);
        text += buffer;
    }
    for (int i = 0; i < teams; ++i) {
        std::snprintf(buffer, sizeof buffer, "[[team]]\nname = \"team-%d\"\nkey_hash = \"%064x\"\n", i, i);
        text += buffer;
    }
    return text;
}

/** Fits y = a + b x by least squares and prints the points, the fit and its largest absolute error. */
void report(const char *what, const char *unit, const std::vector<std::pair<double, double>> &points)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    const auto n = static_cast<double>(points.size());
    for (const auto &[x, y] : points) {
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double base = (sy - slope * sx) / n;
    double error = 0;
    std::cout << std::left << std::setw(44) << what;
    for (const auto &[x, y] : points) {
        std::cout << "  " << x << ": " << y;
        error = std::max(error, std::abs(y - base - slope * x));
    }
    std::cout << "  [" << unit << "]  fit " << base << " + " << slope << " x, largest error " << error << "\n";
}

void measureConfiguration()
{
    std::vector<std::pair<double, double>> documentSize;
    std::vector<std::pair<double, double>> memory;
    std::vector<std::pair<double, double>> parseTime;
    std::vector<std::pair<double, double>> lookUpTime;
    for (const int teams : {900, 1800, 3600, 7300}) {
        const std::string text = largeDocument(teams, 600);
        documentSize.emplace_back(teams, static_cast<double>(text.size()));
        FleetConfigurationPtr configuration;
        const double before = allocatedBytes();
        const double parse = microsecondsOf([&] { configuration = FleetConfiguration::parse(text, "x", 1); }, 1);
        memory.emplace_back(teams, allocatedBytes() - before);
        parseTime.emplace_back(teams, parse / 1000);
        const std::string key(63, '0');
        lookUpTime.emplace_back(teams, microsecondsOf([&] { configuration->findTeamByKeyHash(key + "7"); }, DECISIONS));
    }
    report("document size by teams, 600 endpoints", "bytes", documentSize);
    report("configuration in memory by teams", "bytes", memory);
    report("parsing a document by teams", "ms", parseTime);
    report("looking up a team by key hash, by teams", "us", lookUpTime);
}

void measureEntry()
{
    std::vector<std::pair<double, double>> memory;
    std::vector<std::pair<double, double>> decisionTime;
    std::vector<std::pair<double, double>> reportTime;
    std::vector<std::pair<double, double>> tickTime;
    for (const int endpoints : {75, 150, 300, 600}) {
        const auto configuration = FleetConfiguration::parse(largeDocument(7300, endpoints), "x", 1);
        const double before = allocatedBytes();
        EntryCore core(EntryPolicy(), "domain-1", 1);
        core.handle(EntryConfigurationApplied{configuration}, at(0));
        memory.emplace_back(endpoints, allocatedBytes() - before);
        AgentStatus status;
        status.incarnation = 1;
        status.slots = 80;
        status.meanRun = milliseconds(2000);
        std::uint64_t number = 0;
        const auto handleReport = [&] {
            status.endpoint = "chat-" + std::to_string(number % static_cast<std::uint64_t>(endpoints));
            status.sequence = ++number;
            status.running = static_cast<int>(number % 80);
            core.handle(AgentReportReceived{status}, at(static_cast<std::int64_t>(number)));
        };
        reportTime.emplace_back(endpoints, microsecondsOf(handleReport, DECISIONS));
        Call call = makeCall("c", "question", at(0));
        call.deadline = at(100000000);
        const auto decideCall = [&] {
            call.id = "c" + std::to_string(++number);
            const auto actions = core.handle(CallAdmitted{call}, at(static_cast<std::int64_t>(number)));
            const auto attempt = std::get<SendAttempt>(actions.front());
            core.handle(AttemptEnded{call.id, attempt.endpoint, AttemptAnswered{Outcome::served()}},
                at(static_cast<std::int64_t>(number)));
        };
        decisionTime.emplace_back(endpoints, microsecondsOf(decideCall, DECISIONS));
        const auto handleTick = [&] {
            core.handle(EntryTick(), at(static_cast<std::int64_t>(number += 50)));
        };
        tickTime.emplace_back(endpoints, microsecondsOf(handleTick, DECISIONS));
    }
    report("entry core in memory by endpoints", "bytes", memory);
    report("all decisions for one request by endpoints", "us", decisionTime);
    report("processing an agent report by endpoints", "us", reportTime);
    report("an entry tick by endpoints", "us", tickTime);
}

void measureAgent()
{
    std::vector<std::pair<double, double>> keyMemory;
    std::vector<std::pair<double, double>> queueMemory;
    std::vector<std::pair<double, double>> pushTime;
    for (const int count : {1000, 2000, 4000, 8000}) {
        KeyTable table;
        double before = allocatedBytes();
        for (int i = 0; i < count; ++i) {
            const std::string key = "0f8fad5b-d9cb-469f-a165-" + std::to_string(i);
            table.setWaiting(key, KeyState::Queued, "entry-1-1796330969939504-" + std::to_string(i), at(i));
        }
        keyMemory.emplace_back(count, allocatedBytes() - before);
        CallQueue queue(QueueOrder::TieredDeadline);
        queue.setLimits(100000, 0.05);
        before = allocatedBytes();
        int next = 0;
        const auto push = [&] {
            Call call;
            call.id = "entry-1-1796330969939504-" + std::to_string(next++);
            call.className = "question";
            call.service = "chat";
            call.team = "team-" + std::to_string(next % 7300);
            call.tier = next % 4;
            call.deadline = at(next * 7919 % 10000);
            queue.push(call);
        };
        pushTime.emplace_back(count, microsecondsOf(push, count));
        queueMemory.emplace_back(count, allocatedBytes() - before);
    }
    report("key records by keys", "bytes", keyMemory);
    report("a queue by queued calls", "bytes", queueMemory);
    report("queueing a call by queued calls", "us", pushTime);
}

void measureMessages()
{
    CallHeader header;
    header.call = makeDispatch("entry-1-1796330969939504-123456", "0f8fad5b-d9cb-469f-a165-70867728950e", at(0), true);
    header.method = "POST";
    header.path = "/dispatches";
    header.contentType = "application/json";
    header.from = Address{"10.0.0.17", 7000};
    header.revision = 1796330969939;
    AgentStatus status;
    status.endpoint = "asistan-123";
    status.incarnation = 1796330969939504;
    status.revision = header.revision;
    status.sequence = 123456;
    std::cout << "call header " << header.encode().size() << " bytes, keep-alive frame "
              << encodeFrame(KeepAliveFrame{status}).size() << " bytes, end frame "
              << encodeFrame(EndFrame{{Outcome::served(), 200}, status}).size() << " bytes, token frame "
              << encodeFrame(PieceFrame{123, "ordinary "}).size() << " bytes\n";
    std::vector<std::pair<double, double>> journal;
    for (const int keys : {8, 16, 32, 64}) {
        JournalHead head;
        head.service = "rolekapi";
        head.endpoint = "rolekapi-12";
        head.vm = "vm-rolekapi-12";
        head.incarnation = status.incarnation;
        head.watermark = at(0);
        for (int i = 0; i < keys; ++i) {
            head.startedKeys.push_back(contentHash(std::to_string(i)));
        }
        journal.emplace_back(keys, static_cast<double>(head.encode().size()));
    }
    report("a journal write by keys in the head", "bytes", journal);
}

}

/** One permit: the asker's choice of the owner and its question, the owner's check and decision, and the answer. */
void measurePermits()
{
    std::vector<std::pair<double, double>> times;
    for (const int gateways : {12, 47, 94, 370}) {
        std::vector<std::string> names;
        for (int i = 0; i < gateways; ++i) {
            names.push_back("front-" + std::to_string(i));
        }
        PermitOwners owners("front-own");
        owners.setMembers(names);
        PermitBucket bucket(200, at(0));
        const PermitQuestion question{1, "front-1", {"0a1b2c3d", 200.0, at(0)}, {}, {}, false};
        const auto onePermit = [&] {
            owners.owners(question.limit.endpoint, at(5000));
            const auto received = decodePermitQuestion(encodePermitQuestion(question, at(5000)), at(5000));
            owners.owners(received->limit.endpoint, at(5000));
            const PermitAnswer answer{received->id, "front-own", bucket.take(200, {}, {}, at(5000)), question.limit};
            decodePermitAnswer(encodePermitAnswer(answer, at(5000)), at(5000));
        };
        times.emplace_back(gateways, microsecondsOf(onePermit, DECISIONS));
    }
    report("one permit at both gateways, us by gateways", "us", times);
    const PermitQuestion question{1, "front-ljubljana-a-1", {"0a1b2c3d", 200.0, at(0)}, {}, {}, false};
    const PermitAnswer answer{1, "front-ljubljana-a-1", PermitGranted{}, question.limit};
    std::cout << "permit question " << encodePermitQuestion(question, at(0)).size() << " bytes, answer "
              << encodePermitAnswer(answer, at(0)).size() << ", notice "
              << encodeLimitNotice(question.limit, at(0)).size() << '\n';
}

/** The origin of a stream: its copies at other gateways, and a resumption elsewhere that asks for it. */
void measureStreams()
{
    std::vector<std::pair<double, double>> noteTimes;
    std::vector<std::pair<double, double>> questionTimes;
    for (const int gateways : {12, 94, 370}) {
        std::vector<std::string> names;
        for (int i = 0; i < gateways; ++i) {
            names.push_back("front-" + std::to_string(i));
        }
        StreamOrigins origins;
        StreamKey stream = 0;
        const auto note = [&] {
            rankedGateways(++stream, names, STREAM_OWNERS_ASKED);
            for (std::size_t i = 0; i < STREAM_COPIES; ++i) {
                origins.note(*decodeStreamNote(encodeStreamNote({stream, 1})),
                    ownerHashes(rankedGateways(stream, names, STREAM_OWNERS_ASKED)), at(0));
            }
        };
        const auto ask = [&] {
            rankedGateways(stream, names, STREAM_OWNERS_ASKED);
            for (std::size_t i = 0; i < STREAM_OWNERS_ASKED; ++i) {
                const auto question = decodeStreamQuestion(encodeStreamQuestion({1, stream, 2, milliseconds(15000)}));
                const auto version = origins.find(question->stream, at(1));
                decodeStreamAnswer(encodeStreamAnswer({question->id, question->stream, version, false}));
            }
        };
        noteTimes.emplace_back(gateways, microsecondsOf(note, DECISIONS));
        questionTimes.emplace_back(gateways, microsecondsOf(ask, DECISIONS));
    }
    report("one stream begun, at all gateways together, us by gateways", "us", noteTimes);
    report("one stream taken up, at all gateways together, us by gateways", "us", questionTimes);
    const double before = allocatedBytes();
    StreamOrigins origins;
    for (StreamKey stream = 1; stream <= StreamOrigins::MAX_STREAMS; ++stream) {
        origins.note({stream, 1}, {}, at(0));
    }
    std::cout << "origins of " << origins.size() << " streams " << (allocatedBytes() - before) / 1024 << " KB; note "
              << encodeStreamNote({1, 2}).size() << " bytes, question "
              << encodeStreamQuestion({1, 2, 3, milliseconds(1)}).size() << ", answer "
              << encodeStreamAnswer({1, 2, 3, false}).size() << '\n';
}

/** What the restart of one gateway costs: the questions, the origins that it gets, and those that it passes on before.
 */
void measureStreamHandover()
{
    constexpr int HANDOVERS = 20;
    for (const auto &[gateways, streamsPerSecond] : {std::pair(8, 37), std::pair(103, 350), std::pair(370, 3000)}) {
        std::vector<std::string> names;
        for (int i = 0; i < gateways; ++i) {
            names.push_back("front-" + std::to_string(i));
        }
        const std::string &restarted = names.front();
        std::mt19937_64 random(1);
        StreamOrigins own;
        std::map<std::string, std::size_t> answers;
        const double before = allocatedBytes();
        for (std::int64_t i = 0; i < streamsPerSecond * toMilliseconds(StreamOrigins::RETENTION) / 1000; ++i) {
            const StreamKey stream = random();
            const std::vector<std::string> ranked = rankedGateways(stream, names, STREAM_OWNERS_ASKED);
            std::set<std::string> keepers{names[random() % names.size()]};
            for (auto it = ranked.begin(); it != ranked.end() && keepers.size() < 1 + STREAM_COPIES; ++it) {
                keepers.insert(*it);
            }
            const bool isOwned = std::find(ranked.begin(), ranked.end(), restarted) != ranked.end();
            for (const std::string &keeper : keepers) {
                if (keeper == restarted) {
                    own.note({stream, 1}, ownerHashes(ranked), at(0));
                } else if (isOwned) {
                    ++answers[keeper];
                }
            }
        }
        const double kilobytes = (allocatedBytes() - before) / 1024;
        std::size_t origins = 0;
        std::size_t datagrams = 0;
        for (const auto &[keeper, count] : answers) {
            origins += count;
            datagrams += (count + MAX_ORIGINS_IN_DATAGRAM - 1) / MAX_ORIGINS_IN_DATAGRAM;
        }
        const std::size_t bytes
            = origins * (encodeStreamOrigins({{}, {}}).size() - encodeStreamOrigins({{}}).size()) + datagrams * 2;
        const double answerUs = microsecondsOf([&] { own.ownedBy(gatewayHash(names.back()), at(1)); }, HANDOVERS);
        const double rankUs = microsecondsOf(
            [&] {
                for (const AgedOrigin &item : own.notedAfter(0, at(1))) {
                    rankedGateways(item.origin.stream, names, STREAM_COPIES);
                }
            },
            HANDOVERS);
        std::cout << gateways << " gateways, " << streamsPerSecond << " streams a second: " << own.size()
                  << " origins kept in " << kilobytes << " KB; a restart: " << gateways - 1 << " questions of "
                  << encodeStreamOriginsQuestion({1}).size() << " bytes, " << origins << " origins in " << datagrams
                  << " datagrams, " << bytes << " bytes; an answer " << answerUs << " us; before the stop "
                  << own.size() * STREAM_COPIES << " origins passed on, ranked in " << rankUs << " us\n";
    }
}

int main()
{
    measurePermits();
    measureStreams();
    measureStreamHandover();
    std::cout << std::setprecision(4);
    measureConfiguration();
    measureEntry();
    measureAgent();
    measureMessages();
    return 0;
}
