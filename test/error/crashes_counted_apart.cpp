/** \file
 * Gateways that recorded the crashes of a request apart from each other know all of them once they have exchanged
 * digests.
 */
#include "crashquarantine.h"
#include "fixtures.h"
#include "gateway/peerdigest.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

using namespace Cyclamenturn;

namespace
{

constexpr std::uint64_t CRASHING = 7;
constexpr std::uint64_t FIRST_INNOCENT = 1000;
constexpr int CRASH_LIMIT = 3;
constexpr Duration ROUND = milliseconds(300);
constexpr std::size_t DIGESTS_PER_ROUND = 6;

/** The crash tables of gateways that exchange digests as PeerLink does. */
class Gateways
{
public:
    explicit Gateways(std::size_t count)
        : m_tables(count, CrashQuarantine(CRASH_LIMIT, CrashQuarantine::QUARANTINE_TIME))
        , m_nextPeer(count)
    {
    }

    CrashQuarantine &operator[](std::size_t i)
    {
        return m_tables[i];
    }

    void exchange(TimePoint now)
    {
        for (std::size_t sender = 0; sender < m_tables.size(); ++sender) {
            PeerDigest digest;
            digest.name = "g";
            digest.clearedSuspects = m_tables[sender].clearedSuspects(now, PeerDigest::MAX_CLEARED_SUSPECTS, draw());
            digest.crashes = m_tables[sender].reports(now, PeerDigest::MAX_CRASHES, draw()).reports;
            const std::string bytes = encodeDigest(digest, now);
            for (std::size_t i = 0; i < DIGESTS_PER_ROUND; ++i) {
                deliver(bytes, sender, now);
            }
        }
    }

    std::size_t countQuarantined(std::uint64_t fingerprint, TimePoint now) const
    {
        std::size_t count = 0;
        for (const auto &table : m_tables) {
            count += table.isQuarantined(fingerprint, now) ? 1 : 0;
        }
        return count;
    }

private:
    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    void deliver(const std::string &bytes, std::size_t sender, TimePoint now)
    {
        const std::size_t receiver = m_nextPeer[sender]++ % m_tables.size();
        const auto digest = decodeDigest(bytes, now);
        REQUIRE(digest);
        for (const auto &cleared : digest->clearedSuspects) {
            m_tables[receiver].merge(cleared, now);
        }
        for (const auto &report : digest->crashes) {
            m_tables[receiver].merge(report, now);
        }
    }

    std::vector<CrashQuarantine> m_tables;
    std::vector<std::size_t> m_nextPeer;
    std::mt19937_64 m_random{19};
};

}

TEST_CASE("crashes recorded by three gateways at the same time add up once they have exchanged digests")
{
    Gateways gateways(3);
    for (std::size_t i = 0; i < 3; ++i) {
        gateways[i].recordCrash(CRASHING, "engine-" + std::to_string(i), at(0));
    }
    gateways.exchange(at(0) + ROUND);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(gateways[i].crashes(CRASHING, at(0) + ROUND) == 3);
        CHECK(gateways[i].isQuarantined(CRASHING, at(0) + ROUND));
    }
}

TEST_CASE("innocent requests interrupted by the same crashes don't displace a crashing request from the digests")
{
    constexpr std::size_t GATEWAYS = 12;
    constexpr std::uint64_t REQUESTS_PER_ENGINE = 64;
    Gateways gateways(GATEWAYS);
    for (std::uint64_t crash = 0; crash < CRASH_LIMIT; ++crash) {
        const std::string engine = "engine-" + std::to_string(crash);
        gateways[crash].recordCrash(CRASHING, engine, at(0));
        for (std::uint64_t i = 0; i < REQUESTS_PER_ENGINE; ++i) {
            const std::uint64_t innocent = FIRST_INNOCENT + crash * REQUESTS_PER_ENGINE + i;
            gateways[innocent % GATEWAYS].recordCrash(innocent, engine, at(0));
        }
    }
    TimePoint now = at(0);
    while (now + ROUND <= at(3000)) {
        now += ROUND;
        gateways.exchange(now);
    }
    CHECK(gateways.countQuarantined(CRASHING, now) == GATEWAYS);
}

TEST_CASE("a request that completed at one gateway isn't brought back by the reports of others")
{
    Gateways gateways(3);
    gateways[0].recordCrash(CRASHING, "engine-0", at(0));
    gateways[1].recordCrash(CRASHING, "engine-1", at(0));
    gateways.exchange(at(300));
    gateways[2].clearSuspect(CRASHING, at(400));
    gateways.exchange(at(600));
    gateways.exchange(at(900));
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK_FALSE(gateways[i].isSuspect(CRASHING, at(900)));
    }
    gateways[0].recordCrash(CRASHING, "engine-2", at(2000));
    CHECK(gateways[0].crashes(CRASHING, at(2000)) == 1);
}
