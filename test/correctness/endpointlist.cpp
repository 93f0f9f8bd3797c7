/** \file
 * Updates of the endpoint list between gateways: their content, the detection of incomplete copies, and the number of
 * reads that keep the copies of a fleet recent.
 */
#include "gateway/endpointlist.h"
#include "gateway/listreadplan.h"

#include <catch2/catch.hpp>
#include <queue>
#include <random>

using namespace Cyclamenturn;

namespace
{

const TimePoint START = timeFromMilliseconds(100000);

EndpointRecord endpoint(int number, bool isLeaving = false)
{
    EndpointRecord out;
    out.id = "e" + std::to_string(number);
    out.service = "model";
    out.address = {"10.0.0." + std::to_string(number), 80};
    out.failureDomain = "d1";
    out.slots = 64;
    out.isLeaving = isLeaving;
    out.startedAtMs = 1700000000000 + number;
    return out;
}

std::vector<EndpointRecord> endpoints(int count)
{
    std::vector<EndpointRecord> out;
    for (int i = 0; i < count; ++i) {
        out.push_back(endpoint(i));
    }
    return out;
}

EndpointListUpdate encodedAndDecoded(const EndpointList &list, TimePoint now)
{
    const auto bytes = encodeListUpdate(list.recentChanges(now));
    REQUIRE(bytes);
    const auto update = decodeListUpdate(*bytes);
    REQUIRE(update);
    return *update;
}

}

TEST_CASE("an update with additions, changes and removals completes another copy")
{
    EndpointList reader;
    EndpointList other;
    reader.replace(endpoints(5), {1, 10}, START);
    other.replace(endpoints(5), {1, 10}, START);
    auto next = endpoints(6);
    next.erase(next.begin());
    next[0].isLeaving = true;
    const TimePoint later = START + milliseconds(1000);
    reader.replace(next, {1, 12}, later);
    CHECK(other.merge(encodedAndDecoded(reader, later), later));
    CHECK(other.records() == reader.records());
    CHECK(other.revision() == StoreRevision{1, 12});
}

TEST_CASE("an update is refused if the copy missed a change, and the copy stays unchanged")
{
    EndpointList reader;
    EndpointList other;
    reader.replace(endpoints(5), {1, 10}, START);
    other.replace(endpoints(5), {1, 10}, START);
    reader.replace(endpoints(6), {1, 11}, START + milliseconds(500));
    const TimePoint late = START + milliseconds(500) + EndpointList::CHANGE_RETENTION;
    reader.replace(endpoints(6), {1, 13}, late);
    CHECK_FALSE(other.merge(encodedAndDecoded(reader, late), late));
    CHECK(other.records().size() == 5);
    CHECK(other.revision() == StoreRevision{1, 10});
}

TEST_CASE("an update includes changes of updates that were lost in the last few seconds")
{
    EndpointList reader;
    EndpointList other;
    reader.replace(endpoints(5), {1, 10}, START);
    other.replace(endpoints(5), {1, 10}, START);
    reader.replace(endpoints(4), {1, 11}, START + milliseconds(500));
    const TimePoint later = START + milliseconds(3000);
    reader.replace(endpoints(4), {1, 15}, later);
    CHECK(other.merge(encodedAndDecoded(reader, later), later));
    CHECK(other.records() == reader.records());
}

TEST_CASE("the first list of a process isn't sent as changes, however long it is")
{
    EndpointList reader;
    reader.replace(endpoints(600), {1, 30}, START);
    EndpointList other;
    other.replace(endpoints(600), {1, 29}, START);
    const auto update = encodeListUpdate(reader.recentChanges(START));
    REQUIRE(update);
    CHECK(update->size() < 100);
    const auto received = decodeListUpdate(*update);
    REQUIRE(received);
    CHECK(other.merge(*received, START));
    CHECK(other.revision() == StoreRevision{1, 30});
}

TEST_CASE("an older list never replaces a newer one")
{
    EndpointList reader;
    EndpointList other;
    reader.replace(endpoints(5), {1, 10}, START);
    other.replace(endpoints(6), {1, 11}, START);
    CHECK_FALSE(other.merge(encodedAndDecoded(reader, START), START));
    other.replace(endpoints(3), {1, 9}, START);
    CHECK(other.records().size() == 6);
    EndpointList empty;
    CHECK_FALSE(empty.merge(encodedAndDecoded(reader, START), START));
}

TEST_CASE("incomplete updates are refused, and corrupted ones don't corrupt the list")
{
    EndpointList reader;
    reader.replace(endpoints(3), {1, 10}, START);
    reader.replace(endpoints(2), {1, 11}, START);
    const std::string bytes = *encodeListUpdate(reader.recentChanges(START));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(decodeListUpdate(bytes.substr(0, length)));
    }
    std::mt19937 random(3);
    for (int i = 0; i < 2000; ++i) {
        std::string corrupted = bytes;
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        EndpointList other;
        other.replace(endpoints(2), {1, 9}, START);
        if (const auto update = decodeListUpdate(corrupted)) {
            other.merge(*update, START);
        }
        CHECK((other.records() == endpoints(2) || other.revision() == StoreRevision{1, 9}));
    }
}

TEST_CASE("an update that doesn't fit into a datagram isn't sent")
{
    EndpointList reader;
    reader.replace(endpoints(1), {1, 9}, START);
    reader.replace(endpoints(200), {1, 10}, START);
    CHECK_FALSE(encodeListUpdate(reader.recentChanges(START)));
    const TimePoint later = START + EndpointList::CHANGE_RETENTION;
    reader.replace(endpoints(200), {1, 11}, later);
    CHECK(encodeListUpdate(reader.recentChanges(later)));
}

namespace
{

/** Simulates gateways that schedule reads by listReadDelay() and send each other updates, some of which are lost. */
class Fleet
{
public:
    static constexpr Duration INTERVAL = milliseconds(700);
    /** Duration of a read and the delivery of its update. */
    static constexpr Duration READ_TIME = milliseconds(8);

    Fleet(int gateways, double lossRate, std::uint64_t seed)
        : m_gateways(gateways)
        , m_lossRate(lossRate)
        , m_random(seed)
        , m_readAt(static_cast<std::size_t>(gateways), START)
        , m_dueAt(static_cast<std::size_t>(gateways), START)
    {
        for (int i = 0; i < gateways; ++i) {
            scheduleRead(i, START);
        }
    }

    /** Simulates until `end`. Gateways with an index below `firstAlive` don't take part. */
    void run(TimePoint end, int firstAlive = 0)
    {
        while (true) {
            const auto next = std::min_element(m_dueAt.begin() + firstAlive, m_dueAt.end());
            const TimePoint now = *next + READ_TIME;
            if (now >= end) {
                return;
            }
            completeReads(now, firstAlive);
        }
    }

    int reads() const
    {
        return m_reads;
    }
    Duration maxListAge() const
    {
        return m_maxListAge;
    }

private:
    /** Completes all reads that began less than READ_TIME before `now`: none was prevented by an update of another. */
    void completeReads(TimePoint now, int firstAlive)
    {
        std::vector<int> readers;
        for (int i = firstAlive; i < m_gateways; ++i) {
            if (m_dueAt[static_cast<std::size_t>(i)] <= now) {
                readers.push_back(i);
            }
        }
        m_reads += static_cast<int>(readers.size());
        for (int i = firstAlive; i < m_gateways; ++i) {
            const bool isReader = std::find(readers.begin(), readers.end(), i) != readers.end();
            if (isReader || draw() >= m_lossRate) {
                m_maxListAge = std::max(m_maxListAge, Duration(now - m_readAt[static_cast<std::size_t>(i)]));
                m_readAt[static_cast<std::size_t>(i)] = now;
                scheduleRead(i, now);
            }
        }
    }

    void scheduleRead(int gateway, TimePoint now)
    {
        m_dueAt[static_cast<std::size_t>(gateway)] = now + listReadDelay(INTERVAL, m_gateways, draw());
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    int m_gateways;
    double m_lossRate;
    std::mt19937_64 m_random;
    std::vector<TimePoint> m_readAt;
    std::vector<TimePoint> m_dueAt;
    int m_reads = 0;
    Duration m_maxListAge{};
};

}

TEST_CASE("few reads keep all copies recent at any size of the fleet")
{
    const int gateways = GENERATE(1, 8, 36, 370);
    constexpr int SECONDS = 60;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(gateways, 0.05, seed);
        fleet.run(START + milliseconds(1000 * SECONDS));
        CAPTURE(gateways, seed, fleet.reads(), toMilliseconds(fleet.maxListAge()));
        // Without updates, each gateway would read 1.4 times per second.
        CHECK(fleet.reads() < 8 * SECONDS);
        // A leaving endpoint must get no new requests later than 2 s after its entry changed.
        CHECK(fleet.maxListAge() < milliseconds(1700));
    }
}

TEST_CASE("copies stay recent when half of the gateways stop at the same time")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(36, 0.05, seed);
        fleet.run(START + milliseconds(10000));
        fleet.run(START + milliseconds(20000), 18);
        CHECK(fleet.maxListAge() < milliseconds(1700));
    }
}

TEST_CASE("a list of a restored store replaces the copy, and its updates complete other copies")
{
    EndpointList reader;
    EndpointList other;
    reader.replace(endpoints(5), {1, 90}, START);
    other.replace(endpoints(5), {1, 90}, START);
    const TimePoint later = START + milliseconds(1000);
    reader.replace(endpoints(6), {2, 40}, later);
    CHECK(reader.revision() == StoreRevision{2, 40});
    CHECK(other.merge(encodedAndDecoded(reader, later), later));
    CHECK(other.records() == reader.records());
    EndpointList behind;
    behind.replace(endpoints(5), {1, 95}, later);
    CHECK_FALSE(other.merge(encodedAndDecoded(behind, later), later));
}

TEST_CASE("after a change, the watches of a fleet end one after the other")
{
    CHECK(configurationWatchDuration(1, 0.99) == milliseconds(2000));
    for (unsigned seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> draw(0, 1);
        std::vector<Duration> ends;
        for (int gateway = 0; gateway < 12; ++gateway) {
            ends.push_back(configurationWatchDuration(12, draw(random)));
        }
        const auto [first, last] = std::minmax_element(ends.begin(), ends.end());
        CHECK(*first < milliseconds(4000));
        CHECK(*last - *first > milliseconds(1500));
        CHECK(*last < milliseconds(6000));
    }
}

TEST_CASE("the watches of a fleet cost the store few calls at any size, and one ends soon at any time")
{
    for (const int gateways : {12, 36, 103, 370, 1000}) {
        std::mt19937 random(5);
        std::uniform_real_distribution<double> draw(0, 1);
        Duration sum{};
        for (int gateway = 0; gateway < gateways; ++gateway) {
            const Duration wait = configurationWatchDuration(gateways, draw(random));
            CHECK(wait < milliseconds(29000));
            sum += wait;
        }
        const double perSecond = gateways * (gateways / (static_cast<double>(sum.count()) / 1e6));
        CAPTURE(gateways);
        // A watch lasts 30 s at most. Beyond the few seconds that the smallest fleets use, the rate is near that bound.
        CHECK(perSecond < 4 + gateways / 10.0);
        CHECK(perSecond > 2);
    }
}

TEST_CASE("a store that refuses a large fleet gets few calls, and each gateway reads soon after its return")
{
    std::mt19937 random(6);
    std::uniform_real_distribution<double> draw(0, 1);
    for (const int gateways : {1, 8, 12, 36, 103, 370}) {
        Duration sum{};
        for (int gateway = 0; gateway < gateways; ++gateway) {
            const Duration wait = storeRetryDelay(gateways, draw(random));
            CHECK(wait <= milliseconds(gateways <= 12 ? 500 : 2000));
            sum += wait;
        }
        const double perSecond = gateways * (gateways / (static_cast<double>(sum.count()) / 1e6));
        CAPTURE(gateways);
        CHECK(perSecond < 40 + gateways);
    }
}
