/** \file
 * Placement replayed under the loads that it answers: shared prompts, a burst of long prompts beside streams, failing
 * endpoints. The made-up engine reads prompts one after the other at the rate of the cost model.
 */
#include "gateway/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace Cyclamenturn;

namespace
{

const TimePoint START = timeFromMilliseconds(100000);

PromptTraits longPrompt(const std::string &sharedPart, int number)
{
    PromptTraits out;
    out.promptTokens = 9000;
    out.outputTokenLimit = 104;
    out.expectedOutputTokens = 52;
    out.parts = {{"root", 2500}, {sharedPart, 3800}, {"own-" + std::to_string(number), 2700}};
    return out;
}

PromptTraits longAnswer(int number)
{
    PromptTraits out;
    out.promptTokens = 800;
    out.expectedOutputTokens = 290;
    out.parts = {{"small", 120}, {"s" + std::to_string(number % 20), 80}, {"own-a" + std::to_string(number), 600}};
    return out;
}

/** A fleet of endpoints as one gateway knows them. */
class Fleet
{
public:
    explicit Fleet(int endpoints)
    {
        for (int i = 0; i < endpoints; ++i) {
            EndpointRecord record;
            record.id = "endpoint-" + std::to_string(i);
            record.failureDomain = "domain-" + std::to_string(i % 3);
            record.slots = 64;
            m_records.push_back(record);
        }
    }

    std::vector<PlacementCandidate> candidates()
    {
        std::vector<PlacementCandidate> out;
        for (const auto &record : m_records) {
            out.push_back({&record, &m_statistics[record.id], {}});
        }
        return out;
    }
    EndpointStatistics &statistics(const std::string &id)
    {
        return m_statistics[id];
    }
    const std::vector<EndpointRecord> &records() const
    {
        return m_records;
    }

private:
    std::vector<EndpointRecord> m_records;
    std::map<std::string, EndpointStatistics> m_statistics;
};

}

TEST_CASE("gateways send a subject to the same endpoint without agreement")
{
    Fleet fleet(9);
    PlacementChooser first(PlacementPolicy(), "domain-0");
    PlacementChooser second(PlacementPolicy(), "domain-2");
    for (int i = 0; i < 50; ++i) {
        const PromptTraits prompt = longPrompt("subject-" + std::to_string(i), i);
        CHECK(first.choose(fleet.candidates(), &prompt, 0.1, START).endpoint
            == second.choose(fleet.candidates(), &prompt, 0.9, START).endpoint);
    }
}

TEST_CASE("a subject leaves its home only when waiting there costs more than reading it again")
{
    Fleet fleet(9);
    PlacementChooser chooser(PlacementPolicy(), "domain-0");
    const PromptTraits prompt = longPrompt("subject", 1);
    const EndpointRecord *home = chooser.choose(fleet.candidates(), &prompt, 0.5, START).endpoint;
    fleet.statistics(home->id).noteSent(20000);
    CHECK(chooser.choose(fleet.candidates(), &prompt, 0.5, START).endpoint == home);
    fleet.statistics(home->id).noteSent(200000);
    CHECK(chooser.choose(fleet.candidates(), &prompt, 0.5, START).endpoint != home);
}

TEST_CASE("in a burst of long prompts the streams keep endpoints without them")
{
    constexpr int REQUESTS = 600;
    Fleet fleet(9);
    PlacementChooser chooser(PlacementPolicy(), "domain-0");
    std::map<std::string, int> prompts;
    std::map<std::string, int> answers;
    std::mt19937 random(7);
    for (int i = 0; i < REQUESTS; ++i) {
        // Seventy long prompts and thirty long answers a second; each answer lasts for two seconds.
        const TimePoint now = START + milliseconds(i * 10);
        const bool isPrompt = random() % 10 < 7;
        const PromptTraits prompt
            = isPrompt ? longPrompt("subject-" + std::to_string(random() % 140), i) : longAnswer(i);
        chooser.noteStarted(prompt, 1, now);
        if (!isPrompt && i >= 200) {
            chooser.noteEnded(prompt);
        }
        const Placement placement = chooser.choose(fleet.candidates(), &prompt, 0.5, now);
        REQUIRE(placement.endpoint != nullptr);
        if (i >= REQUESTS / 2) {
            ++(isPrompt ? prompts : answers)[placement.endpoint->id];
        }
        fleet.statistics(placement.endpoint->id).noteCached(prompt, now);
    }
    int mixed = 0;
    int total = 0;
    for (const auto &[id, count] : answers) {
        total += count;
        mixed += prompts.count(id) != 0 && prompts[id] > 5 ? count : 0;
    }
    CHECK(total > 50);
    CHECK(mixed <= total / 10);
    CHECK(prompts.size() >= 4);
}

TEST_CASE("division follows prefill demand and streams in progress")
{
    const EngineCostModel engine;
    WorkloadSplit split;
    split.setPeerDemand({1400, 40});
    const auto baseline = split.longAnswerEndpoints(9, engine, START);
    split.setPeerDemand({4200, 40});
    const auto promptBurst = split.longAnswerEndpoints(9, engine, START);
    split.setPeerDemand({1400, 240});
    const auto answerBurst = split.longAnswerEndpoints(9, engine, START);
    CHECK(promptBurst <= baseline);
    CHECK(answerBurst > baseline);
    // Neither kind is ever left without an endpoint.
    split.setPeerDemand({1e9, 1});
    CHECK(split.longAnswerEndpoints(9, engine, START) == 1);
    split.setPeerDemand({1, 1e9});
    CHECK(split.longAnswerEndpoints(9, engine, START) == 8);
    CHECK(split.longAnswerEndpoints(1, engine, START) == 1);
}

TEST_CASE("in a shortage the more urgent long answers get what they need before long prompts")
{
    const EngineCostModel engine;
    const auto share = [&engine](int promptUrgency, int answerUrgency) {
        WorkloadSplit split;
        split.noteStarted(longPrompt("s", 1), promptUrgency, engine, START);
        split.noteStarted(longAnswer(1), answerUrgency, engine, START);
        // Twice as many prompts as all engines can read, beside 500 streams, as when a burst meets lost endpoints.
        split.setPeerDemand({50 * 2000 * engine.prefillUtilization, 500});
        return split.longAnswerEndpoints(50, engine, START);
    };
    const auto needed = static_cast<std::size_t>(500 / engine.streamsPerEndpoint);
    CHECK(share(1, 0) == needed);
    CHECK(share(1, 1) < needed);
    CHECK(share(0, 1) < needed);
}

TEST_CASE("one request of the other kind doesn't change whose kind is more urgent")
{
    const EngineCostModel engine;
    WorkloadSplit split;
    for (int i = 0; i < 20; ++i) {
        split.noteStarted(longPrompt("s", i), 1, engine, START);
        split.noteStarted(longAnswer(i), 0, engine, START);
    }
    split.setPeerDemand({50 * 2000 * engine.prefillUtilization, 500});
    const auto before = split.longAnswerEndpoints(50, engine, START);
    // Of the prompts' route, with a short prompt; of the answers' route, with a long one.
    split.noteStarted(longAnswer(99), 1, engine, START);
    split.noteStarted(longPrompt("s", 99), 0, engine, START);
    CHECK(split.longAnswerEndpoints(50, engine, START) == before);
}

TEST_CASE("long prompts keep endpoints however many urgent long answers there are")
{
    const EngineCostModel engine;
    WorkloadSplit split;
    split.noteStarted(longPrompt("s", 1), 1, engine, START);
    split.noteStarted(longAnswer(1), 0, engine, START);
    split.setPeerDemand({50 * 1000, 50 * engine.streamsPerEndpoint});
    CHECK(split.longAnswerEndpoints(50, engine, START) <= 50 * engine.urgentShare + 0.5);
}

TEST_CASE("the wait for a slot of a full engine counts")
{
    // A burst of long answers beyond the slots: the engine queues them, and estimates by prefill alone call it idle.
    Fleet fleet(8);
    PlacementChooser chooser(PlacementPolicy(), "domain-0");
    auto candidates = fleet.candidates();
    const PromptTraits prompt = longAnswer(1);
    const std::string home = chooser.choose(candidates, &prompt, 0, START).endpoint->id;
    fleet.statistics(home).noteLoad({64, 36, 64}, START);
    candidates = fleet.candidates();
    CHECK(chooser.choose(candidates, &prompt, 0, START).endpoint->id != home);
    for (const auto &record : fleet.records()) {
        fleet.statistics(record.id).noteLoad({64, 36, 64}, START);
    }
    candidates = fleet.candidates();
    // 37 of 64 slots' worth of answers, 290 tokens each at 11 ms, come first.
    CHECK(chooser.choose(candidates, &prompt, 0, START).expectedMs > 1500);
}

TEST_CASE("endpoints that fail or fell silent are left out while others remain")
{
    Fleet fleet(3);
    PlacementChooser chooser(PlacementPolicy(), "domain-0");
    fleet.statistics("endpoint-0").noteResult(EndpointResult::ConnectionLost, START);
    fleet.statistics("endpoint-1").noteResult(EndpointResult::NoResponse, START);
    for (int i = 0; i < 10; ++i) {
        CHECK(chooser.choose(fleet.candidates(), nullptr, i / 10.0, START).endpoint->id == "endpoint-2");
    }
    fleet.statistics("endpoint-2").noteResult(EndpointResult::NotConnected, START);
    CHECK(chooser.choose(fleet.candidates(), nullptr, 0.5, START).endpoint != nullptr);
    const TimePoint later = START + EndpointStatistics::INITIAL_SUSPICION_TIME;
    CHECK_FALSE(fleet.statistics("endpoint-0").isSuspect(later));
}

TEST_CASE("failure answers weigh against an endpoint only relative to its peers")
{
    Fleet fleet(2);
    PlacementChooser chooser(PlacementPolicy(), "domain-0");
    for (int i = 0; i < 6; ++i) {
        fleet.statistics("endpoint-0").noteResult(EndpointResult::FailureResponse, START);
        fleet.statistics("endpoint-1").noteResult(EndpointResult::Succeeded, START);
    }
    CHECK(chooser.choose(fleet.candidates(), nullptr, 0, START).endpoint->id == "endpoint-1");
    CHECK(fleet.statistics("endpoint-0").failureShare(START) > 0.5);
    CHECK(fleet.statistics("endpoint-0").failureShare(START + milliseconds(20000)) < 0.1);
}
