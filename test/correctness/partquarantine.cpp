/** \file
 * Quarantine of parts of prompts that crash endpoints.
 */
#include "gateway/partquarantine.h"
#include "gateway/requesttraits.h"

#include "rendezvoushash.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Cyclamenturn;

namespace
{

const TimePoint START(milliseconds(1000000000));

TimePoint at(int ms)
{
    return START + milliseconds(ms);
}

std::vector<PartKey> parts(const std::vector<std::string> &ids)
{
    PromptTraits prompt;
    for (const auto &id : ids) {
        prompt.parts.push_back({id, 100});
    }
    prompt.parts.push_back({"own", 100});
    return sharedParts(prompt);
}

/** Crashes of an endpoint of its own each, under requests of different content. */
class Crashes
{
public:
    explicit Crashes(PartQuarantine &quarantine)
        : m_quarantine(quarantine)
    {
    }

    void add(const std::vector<std::vector<std::string>> &prompts, int ms, const std::string &team = "team-1")
    {
        const std::string endpoint = "endpoint-" + std::to_string(++m_count);
        for (const auto &ids : prompts) {
            m_quarantine.recordCrash(parts(ids), ++m_request, team, endpoint, at(ms));
        }
    }

private:
    PartQuarantine &m_quarantine;
    int m_count = 0;
    std::uint64_t m_request = 0;
};

bool isRefused(
    PartQuarantine &quarantine, const std::vector<std::string> &ids, int ms, const std::string &team = "team-1")
{
    return quarantine.verdict(parts(ids), team, at(ms)).has_value();
}

}

TEST_CASE("the part that is in the unanswered prompts of three crashes is quarantined, and its prompts only")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    crashes.add({{"root", "subject-1", "bad"}, {"root", "subject-2"}}, 0);
    crashes.add({{"root", "subject-3", "bad"}, {"root", "subject-4"}}, 1000);
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject-9", "bad"}, 1900));
    crashes.add({{"root", "subject-5", "bad"}}, 2000);
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject-9", "bad"}, 2300));
    REQUIRE(isRefused(quarantine, {"root", "subject-9", "bad"}, 2500));
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject-1"}, 2500));
    REQUIRE_FALSE(isRefused(quarantine, {"root"}, 2500));
    REQUIRE(quarantine.takeNewVerdicts(at(2500)).size() == 1);
    REQUIRE(quarantine.takeNewVerdicts(at(2600)).empty());
}

TEST_CASE("of parts that are always interrupted together, the one that fewest prompts share is quarantined")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 6; ++i) {
        crashes.add({{"root", "subject", "bad"}}, 1000 * i);
    }
    REQUIRE(isRefused(quarantine, {"root", "other", "bad"}, 6000));
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject"}, 6000));
}

TEST_CASE("a part that is bad itself is found though each of its prompts has another part after it")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 3; ++i) {
        crashes.add({{"root", "bad", "chapter-" + std::to_string(i)}}, 1000 * i);
    }
    REQUIRE(isRefused(quarantine, {"root", "bad", "chapter-9"}, 3000));
}

TEST_CASE("a part of which an answer has begun since a crash isn't its cause")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    crashes.add({{"root", "subject"}}, 0);
    quarantine.noteAnswer(parts({"root", "subject"}), at(500));
    crashes.add({{"root", "subject"}}, 1000);
    crashes.add({{"root", "subject"}}, 2000);
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject"}, 3000));
    // The part turns bad: from now on none of its prompts is answered.
    crashes.add({{"root", "subject"}}, 4000);
    REQUIRE(isRefused(quarantine, {"root", "subject"}, 4500));
}

TEST_CASE("an answer that another gateway reports ends a quarantine")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 3; ++i) {
        crashes.add({{"root", "subject"}}, 1000 * i);
    }
    REQUIRE(isRefused(quarantine, {"root", "subject"}, 3000));
    PartEvidence evidence;
    evidence.answers.push_back({parts({"root", "subject"})[1], at(3100)});
    quarantine.merge(evidence, at(3200));
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject"}, 3300));
}

TEST_CASE("endpoints that are lost at the same moment count once")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 10; ++i) {
        crashes.add({{"root", "subject"}}, 10 * i);
    }
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject"}, 2000));
}

TEST_CASE("a request that is repeated counts once, so that neither it nor its resends bring its parts into suspicion")
{
    PartQuarantine quarantine;
    for (int i = 0; i < 6; ++i) {
        quarantine.recordCrash(parts({"root", "subject"}), 7, "team-1", "e" + std::to_string(i), at(1000 * i));
    }
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject"}, 7000));
}

TEST_CASE("the requests of one team don't keep a part from another team")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 5; ++i) {
        crashes.add({{"root", "subject"}}, 1000 * i, "team-1");
    }
    REQUIRE(isRefused(quarantine, {"root", "subject"}, 6000, "team-1"));
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject"}, 6000, "team-2"));
    crashes.add({{"root", "subject"}}, 6000, "team-2");
    REQUIRE(isRefused(quarantine, {"root", "subject"}, 7000, "team-3"));
}

TEST_CASE("a first part that all prompts have isn't quarantined while the service answers nothing")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 5; ++i) {
        crashes.add({{"root", "subject-" + std::to_string(i)}}, 1000 * i);
    }
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject-9"}, 6000));
    // Other prompts are answered, those with this first part aren't: it is bad.
    for (int i = 0; i < PartQuarantine::OTHER_ANSWERS; ++i) {
        quarantine.noteAnswer(parts({"other-root", "subject"}), at(6100 + i));
    }
    crashes.add({{"root", "subject-6"}}, 7000);
    REQUIRE(isRefused(quarantine, {"root", "subject-9"}, 7500));
}

TEST_CASE("two bad parts at once are both found, and a sound one that was interrupted with them isn't blamed")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 4; ++i) {
        crashes.add({{"root", "s-" + std::to_string(i), "bad-1"}, {"root", "unlucky"}}, 1000 * i);
        crashes.add({{"root", "t-" + std::to_string(i), "bad-2"}}, 1000 * i + 500);
    }
    REQUIRE(isRefused(quarantine, {"root", "x", "bad-1"}, 5000));
    REQUIRE(isRefused(quarantine, {"root", "x", "bad-2"}, 5000));
    REQUIRE_FALSE(isRefused(quarantine, {"root", "unlucky"}, 5000));
    REQUIRE_FALSE(isRefused(quarantine, {"root", "s-1"}, 5000));
}

TEST_CASE(
    "crashes at short intervals are recognized once the first ones have settled, and explain all they interrupted")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    int refusedFrom = 0;
    for (int ms = 0; ms < 5000; ms += 30) {
        crashes.add({{"root", "subject", "bad"}, {"root", "subject", "bad"}, {"root", "unlucky"}}, ms);
        if (refusedFrom == 0 && isRefused(quarantine, {"root", "x", "bad"}, ms)) {
            refusedFrom = ms;
        }
        REQUIRE_FALSE(isRefused(quarantine, {"root", "unlucky"}, ms));
        REQUIRE_FALSE(isRefused(quarantine, {"root", "subject"}, ms));
    }
    REQUIRE(refusedFrom > 0);
    REQUIRE(refusedFrom <= 1200);
    REQUIRE(isRefused(quarantine, {"root", "x", "bad"}, 60000));
}

TEST_CASE("the reports of a gateway reach another one however many crashes there are")
{
    PartQuarantine observer;
    PartQuarantine other;
    for (int i = 0; i < 100; ++i) {
        const std::string endpoint = "e" + std::to_string(i);
        observer.recordCrash(
            parts({"root", "s", "bad"}), static_cast<std::uint64_t>(2 * i), "team-1", endpoint, at(30 * i));
        observer.recordCrash(
            parts({"root", "unlucky"}), static_cast<std::uint64_t>(2 * i + 1), "team-1", endpoint, at(30 * i));
        other.merge(observer.evidence(at(30 * i + 20)), at(30 * i + 20));
    }
    REQUIRE(isRefused(other, {"root", "x", "bad"}, 3100));
    REQUIRE_FALSE(isRefused(other, {"root", "unlucky"}, 3100));
}

TEST_CASE("a silence counts once its endpoint is known to have ended, and not if it responds")
{
    PartQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        const std::string endpoint = "e" + std::to_string(i);
        quarantine.recordSilence(
            parts({"root", "bad"}), static_cast<std::uint64_t>(i), "team-1", endpoint, at(1000 * i));
        quarantine.recordSilence(
            parts({"root", "slow"}), static_cast<std::uint64_t>(i), "team-1", "s" + endpoint, at(1000 * i));
    }
    REQUIRE_FALSE(isRefused(quarantine, {"root", "bad"}, 4000));
    for (int i = 0; i < 3; ++i) {
        quarantine.noteEndpointEnded("e" + std::to_string(i), at(3500));
        quarantine.noteResponse("se" + std::to_string(i));
        quarantine.noteEndpointEnded("se" + std::to_string(i), at(3500));
    }
    REQUIRE(isRefused(quarantine, {"root", "bad"}, 4000));
    REQUIRE_FALSE(isRefused(quarantine, {"root", "slow"}, 4000));
}

TEST_CASE(
    "a gateway that has just started learns a quarantine from another one, and crashes of several gateways add up")
{
    std::vector<PartQuarantine> gateways(3);
    for (int i = 0; i < 3; ++i) {
        gateways[static_cast<std::size_t>(i)].recordCrash(
            parts({"root", "bad"}), static_cast<std::uint64_t>(i), "team-1", "e" + std::to_string(i), at(1000 * i));
    }
    for (auto &to : gateways) {
        for (const auto &from : gateways) {
            to.merge(from.evidence(at(2100)), at(2100));
        }
    }
    for (auto &gateway : gateways) {
        REQUIRE(isRefused(gateway, {"root", "bad"}, 2600));
    }
    PartQuarantine restarted;
    restarted.merge(gateways[0].evidence(at(60000)), at(60000));
    REQUIRE(isRefused(restarted, {"root", "bad"}, 60000));
}

TEST_CASE("a gateway that has just started doesn't learn of crashes without their cause")
{
    PartQuarantine informed;
    Crashes crashes(informed);
    for (int i = 0; i < 4; ++i) {
        crashes.add({{"root", "x", "bad"}, {"root", "unlucky"}}, 1000 * i);
    }
    for (int i = 4; i < 8; ++i) {
        crashes.add({{"root", "y", "bad"}}, 1000 * i);
        REQUIRE(isRefused(informed, {"root", "z", "bad"}, 1000 * i + 500));
    }
    PartQuarantine restarted;
    restarted.merge(informed.evidence(at(8000)), at(8000));
    REQUIRE(isRefused(restarted, {"root", "z", "bad"}, 8500));
    REQUIRE_FALSE(isRefused(restarted, {"root", "unlucky"}, 8500));
}

TEST_CASE("reports that waited at a stopped gateway aren't new crashes without a cause")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 4; ++i) {
        crashes.add({{"root", "subject", "bad"}}, 1000 * i);
    }
    REQUIRE(isRefused(quarantine, {"root", "x", "bad"}, 4000));
    PartEvidence late;
    for (int i = 0; i < 4; ++i) {
        const std::string endpoint = "endpoint-" + std::to_string(i + 1);
        late.crashes.push_back({parts({"root", "subject"})[1], static_cast<std::uint32_t>(i + 1), 1,
            contentHash(endpoint), at(1000 * i + 4000)});
    }
    quarantine.merge(late, at(7500));
    REQUIRE_FALSE(isRefused(quarantine, {"root", "subject"}, 9000));
    REQUIRE(isRefused(quarantine, {"root", "x", "bad"}, 9000));
}

TEST_CASE("crashes are counted in the order in which they occurred, also if one is reported late")
{
    PartQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        const int seenAt[] = {0, 2500, 2000};
        quarantine.recordCrash(
            parts({"root", "bad"}), static_cast<std::uint64_t>(i), "team-1", "e" + std::to_string(i), at(seenAt[i]));
    }
    PartEvidence evidence;
    evidence.crashes.push_back({parts({"root", "bad"})[1], 1, 1, contentHash("e1"), at(1000)});
    quarantine.merge(evidence, at(2600));
    REQUIRE(isRefused(quarantine, {"root", "bad"}, 3500));
}

TEST_CASE("a quarantine ends, and the first crash after it begins it again")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 3; ++i) {
        crashes.add({{"root", "bad"}}, 1000 * i);
    }
    REQUIRE(isRefused(quarantine, {"root", "bad"}, 121000));
    quarantine.expire(at(123000));
    REQUIRE_FALSE(isRefused(quarantine, {"root", "bad"}, 123000));
    crashes.add({{"root", "bad"}}, 124000);
    REQUIRE(isRefused(quarantine, {"root", "bad"}, 124500));
    quarantine.expire(at(800000));
    REQUIRE(quarantine.suspectCount() == 0);
}

TEST_CASE("the tables are bounded, and a full one refuses nothing more")
{
    PartQuarantine quarantine;
    Crashes crashes(quarantine);
    for (int i = 0; i < 3000; ++i) {
        crashes.add({{"root-" + std::to_string(i), "subject-" + std::to_string(i)}}, i);
    }
    REQUIRE(quarantine.suspectCount() == PartQuarantine::MAX_SUSPECTS);
    for (int i = 0; i < 3; ++i) {
        crashes.add({{"root", "late"}}, 5000 + 1000 * i);
    }
    REQUIRE_FALSE(isRefused(quarantine, {"root", "late"}, 9000));
    const PartEvidence evidence = quarantine.evidence(at(3000));
    REQUIRE(evidence.crashes.size() <= PartEvidence::MAX_CRASHES);
    REQUIRE(encodePartEvidence(evidence, at(3000)).size() <= 2048);
}

TEST_CASE("evidence arrives as it was sent, with times of the receiver's clock, and garbage is no evidence")
{
    PartEvidence sent;
    sent.crashes.push_back({parts({"a", "b"})[1], 2, 3, 4, at(-300)});
    sent.answers.push_back({parts({"a"})[0], at(-20)});
    const std::string bytes = encodePartEvidence(sent, at(0));
    PartEvidence received;
    REQUIRE(decodePartEvidence(bytes, at(500000), received));
    REQUIRE(received.crashes == std::vector<PartCrash>{{sent.crashes[0].part, 2, 3, 4, at(499700)}});
    REQUIRE(received.answers == std::vector<PartAnswer>{{sent.answers[0].part, at(499980)}});
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        REQUIRE_FALSE(decodePartEvidence(bytes.substr(0, length), at(0), received));
    }
}
