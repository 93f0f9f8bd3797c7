/** \file
 * Measures how cost grows with size: memory, processor time and bytes by teams, endpoints, keys and calls. Prints a
 * table with a straight-line fit for each, for docs/CAPACITY.md. Run: build/test/performance_capacity
 */
#include "activeconfiguration.h"
#include "clock.h"
#include "entrycore.h"
#include "fixtures.h"
#include "rendezvoushash.h"
#include "wire.h"

#include <cmath>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>

using namespace Cyclamenturn;

namespace
{

constexpr int DECISIONS = 20000;

/** Bytes that the allocator has handed out. */
double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double microsecondsOf(const std::function<void()> &work, int times)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i) {
        work();
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / times;
}

/** A document with the classes of the test and many teams and endpoints. */
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

/** Fits y = a + b x by least squares and prints the points, the fit and its largest error. */
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
    std::vector<std::pair<double, double>> bytes;
    std::vector<std::pair<double, double>> memory;
    std::vector<std::pair<double, double>> time;
    std::vector<std::pair<double, double>> lookUp;
    for (const int teams : {900, 1800, 3600, 7300}) {
        const std::string text = largeDocument(teams, 600);
        bytes.emplace_back(teams, static_cast<double>(text.size()));
        FleetConfigurationPtr configuration;
        const double before = allocatedBytes();
        const double parse = microsecondsOf([&] { configuration = FleetConfiguration::parse(text, "x", 1); }, 1);
        memory.emplace_back(teams, allocatedBytes() - before);
        time.emplace_back(teams, parse / 1000);
        const std::string key(63, '0');
        lookUp.emplace_back(teams, microsecondsOf([&] { configuration->findTeamByKeyHash(key + "7"); }, DECISIONS));
    }
    report("document size by teams, 600 endpoints", "bytes", bytes);
    report("configuration in memory by teams", "bytes", memory);
    report("parsing a document by teams", "ms", time);
    report("finding a team by teams", "us", lookUp);
}

void measureEntry()
{
    std::vector<std::pair<double, double>> memory;
    std::vector<std::pair<double, double>> decision;
    std::vector<std::pair<double, double>> heard;
    std::vector<std::pair<double, double>> tick;
    for (const int endpoints : {75, 150, 300, 600}) {
        const auto configuration = FleetConfiguration::parse(largeDocument(7300, endpoints), "x", 1);
        const double before = allocatedBytes();
        EntryCore core(EntryPolicy(), "domain-1", 1);
        core.handle(EntryConfigurationApplied{configuration}, at(0));
        memory.emplace_back(endpoints, allocatedBytes() - before);
        AgentStatus figures;
        figures.incarnation = 1;
        figures.slots = 80;
        figures.meanRun = milliseconds(2000);
        std::uint64_t number = 0;
        const auto hear = [&] {
            figures.endpoint = "chat-" + std::to_string(number % static_cast<std::uint64_t>(endpoints));
            figures.sequence = ++number;
            figures.running = static_cast<int>(number % 80);
            core.handle(AgentReportReceived{figures}, at(static_cast<std::int64_t>(number)));
        };
        heard.emplace_back(endpoints, microsecondsOf(hear, DECISIONS));
        Call call = makeCall("c", "question", at(0));
        call.deadline = at(100000000);
        const auto decide = [&] {
            call.id = "c" + std::to_string(++number);
            const auto actions = core.handle(CallAdmitted{call}, at(static_cast<std::int64_t>(number)));
            const auto attempt = std::get<SendAttempt>(actions.front());
            core.handle(AttemptEnded{call.id, attempt.endpoint, AttemptAnswered{Outcome::served()}},
                at(static_cast<std::int64_t>(number)));
        };
        decision.emplace_back(endpoints, microsecondsOf(decide, DECISIONS));
        const auto ticks = [&] {
            core.handle(EntryTick(), at(static_cast<std::int64_t>(number += 50)));
        };
        tick.emplace_back(endpoints, microsecondsOf(ticks, DECISIONS));
    }
    report("entry core in memory by endpoints", "bytes", memory);
    report("a whole request's decisions by endpoints", "us", decision);
    report("taking in an agent's figures by endpoints", "us", heard);
    report("an entry's tick by endpoints", "us", tick);
}

void measureAgent()
{
    std::vector<std::pair<double, double>> keys;
    std::vector<std::pair<double, double>> queued;
    std::vector<std::pair<double, double>> offered;
    for (const int count : {1000, 2000, 4000, 8000}) {
        KeyTable table;
        double before = allocatedBytes();
        for (int i = 0; i < count; ++i) {
            const std::string key = "0f8fad5b-d9cb-469f-a165-" + std::to_string(i);
            table.setWaiting(key, KeyState::Queued, "entry-1-1796330969939504-" + std::to_string(i), at(i));
        }
        keys.emplace_back(count, allocatedBytes() - before);
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
        offered.emplace_back(count, microsecondsOf(push, count));
        queued.emplace_back(count, allocatedBytes() - before);
    }
    report("key records by keys", "bytes", keys);
    report("a queue by calls waiting", "bytes", queued);
    report("queueing a call by calls waiting", "us", offered);
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
    AgentStatus figures;
    figures.endpoint = "asistan-123";
    figures.incarnation = 1796330969939504;
    figures.revision = header.revision;
    figures.sequence = 123456;
    std::cout << "call header " << header.encode().size() << " bytes, beat frame "
              << encodeFrame(KeepAliveFrame{figures}).size() << " bytes, end frame "
              << encodeFrame(EndFrame{{Outcome::served(), 200}, figures}).size() << " bytes, token frame "
              << encodeFrame(PieceFrame{123, "ordinary "}).size() << " bytes\n";
    std::vector<std::pair<double, double>> journal;
    for (const int keys : {8, 16, 32, 64}) {
        JournalHead head;
        head.service = "rolekapi";
        head.endpoint = "rolekapi-12";
        head.vm = "vm-rolekapi-12";
        head.incarnation = figures.incarnation;
        head.watermark = at(0);
        for (int i = 0; i < keys; ++i) {
            head.startedKeys.push_back(contentHash(std::to_string(i)));
        }
        journal.emplace_back(keys, static_cast<double>(head.encode().size()));
    }
    report("a journal write by keys in the head", "bytes", journal);
}

}

int main()
{
    std::cout << std::setprecision(4);
    measureConfiguration();
    measureEntry();
    measureAgent();
    measureMessages();
    return 0;
}
