/** \file
 * Simulation of the exchange of digests between the gateways of a fleet, with lost datagrams, cuts, gateways that join
 * and the loss of all of them at once. Digests are encoded and decoded as on the wire; no socket is used.
 */
#include "gateway/digestrounds.h"
#include "gateway/peerview.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

using namespace Cyclamenturn;

namespace
{

const TimePoint START = timeFromMilliseconds(100000);
constexpr std::int64_t STEP_MS = 20;
/** Within this time a gateway that died is to be noticed; none may be taken for silent while it lives. */
constexpr Duration NOTICED_WITHIN = milliseconds(4000);

class SimulatedFleet
{
public:
    SimulatedFleet(int gateways, unsigned seed)
        : m_random(seed)
    {
        for (int i = 0; i < gateways; ++i) {
            m_gateways.push_back(makeGateway(i));
            m_byAddress[m_gateways.back()->address] = m_gateways.back().get();
        }
        for (const auto &gateway : m_gateways) {
            readStoreList(*gateway);
        }
    }

    void run(Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += milliseconds(STEP_MS)) {
            for (const auto &gateway : m_gateways) {
                if (gateway->isAlive && gateway->nextRound <= now) {
                    sendRound(*gateway);
                }
            }
        }
    }
    /** Starts a gateway that finds the others in the store. They don't read the store for it. */
    void join()
    {
        m_gateways.push_back(makeGateway(static_cast<int>(m_gateways.size())));
        m_byAddress[m_gateways.back()->address] = m_gateways.back().get();
        readStoreList(*m_gateways.back());
    }
    void kill(int gateway)
    {
        m_gateways[gateway]->isAlive = false;
    }
    void startAgain(int gateway)
    {
        const auto fresh = makeGateway(gateway);
        m_gateways[gateway]->view = std::move(fresh->view);
        m_gateways[gateway]->isAlive = true;
        m_gateways[gateway]->incarnation = static_cast<std::uint64_t>(now.time_since_epoch().count());
        readStoreList(*m_gateways[gateway]);
    }
    void setCut(std::function<bool(int, int)> cut)
    {
        m_isCut = std::move(cut);
    }
    int size() const
    {
        return static_cast<int>(m_gateways.size());
    }
    PeerView &view(int gateway)
    {
        return *m_gateways[gateway]->view;
    }
    /** The smallest number of live peers that a living gateway knows. */
    int fewestPeers() const
    {
        int out = size();
        for (const auto &gateway : m_gateways) {
            if (gateway->isAlive) {
                out = std::min(out, static_cast<int>(gateway->view->livePeerCount()));
            }
        }
        return out;
    }
    int livingGatewaysThatKnow(const std::string &name) const
    {
        return static_cast<int>(std::count_if(m_gateways.begin(), m_gateways.end(),
            [&](const auto &gateway) { return gateway->isAlive && gateway->view->isLiveName(name); }));
    }
    /** Median and 99th percentile of the age of the peers' demand and liveness. */
    std::pair<Duration, Duration> ages() const
    {
        std::vector<Duration> ages;
        for (const auto &gateway : m_gateways) {
            const auto more = gateway->view->heartbeatAges(now);
            ages.insert(ages.end(), more.begin(), more.end());
        }
        std::sort(ages.begin(), ages.end());
        return {ages[ages.size() / 2], ages[ages.size() * 99 / 100]};
    }

    TimePoint now = START;
    double loss = 0;
    /** How often a gateway took a living one for silent. */
    int falseAlarms = 0;
    std::uint64_t bytesSent = 0;

private:
    struct SimulatedGateway
    {
        int number = 0;
        std::string name;
        Address address;
        bool isAlive = true;
        std::unique_ptr<PeerView> view;
        DigestRounds rounds{0};
        std::uint64_t incarnation = 0;
        std::uint32_t sequence = 0;
        TimePoint nextRound;
    };

    std::unique_ptr<SimulatedGateway> makeGateway(int number)
    {
        auto out = std::make_unique<SimulatedGateway>();
        out->number = number;
        out->name = "front-zone-" + std::to_string(number);
        out->address = {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250), 7200};
        out->view = std::make_unique<PeerView>(out->name);
        out->rounds = DigestRounds(m_random());
        out->incarnation = static_cast<std::uint64_t>(now.time_since_epoch().count());
        out->nextRound = now + milliseconds(static_cast<std::int64_t>(m_random() % 300));
        return out;
    }
    void readStoreList(SimulatedGateway &reader)
    {
        for (const auto &gateway : m_gateways) {
            reader.view->addContact(gateway->name, gateway->address, now);
        }
    }
    double fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    void sendRound(SimulatedGateway &sender)
    {
        sender.nextRound = now + DigestRounds::INTERVAL;
        for (const auto &name : sender.view->expire(now)) {
            const auto found = std::find_if(
                m_gateways.begin(), m_gateways.end(), [&name](const auto &item) { return item->name == name; });
            falseAlarms += (*found)->isAlive && !m_isCut(sender.number, (*found)->number) ? 1 : 0;
        }
        PeerDigest digest;
        digest.name = sender.name;
        digest.incarnation = sender.incarnation;
        sender.sequence = nextDigestSequence(sender.sequence, now);
        digest.sequence = sender.sequence;
        digest.demand = {100, 2};
        digest.heartbeats = sender.view->heartbeats(now, fraction());
        if (isRollDue(digest.sequence)) {
            digest.roll = sender.view->roll(HeartbeatNumber(digest.sequence));
        }
        digest.introductions = sender.view->introductions(now);
        const std::string bytes = encodeDigest(digest, now);
        const auto received = decodeDigest(bytes, now);
        REQUIRE(received);
        for (const Address &to : sender.rounds.next(sender.view->addresses())) {
            bytesSent += bytes.size();
            SimulatedGateway *receiver = m_byAddress.at(to);
            if (receiver->isAlive && fraction() >= loss && !m_isCut(sender.number, receiver->number)) {
                receiver->view->apply(*received, sender.address, now);
            }
        }
    }

    std::mt19937 m_random;
    std::vector<std::unique_ptr<SimulatedGateway>> m_gateways;
    std::map<Address, SimulatedGateway *> m_byAddress;
    std::function<bool(int, int)> m_isCut = [](int, int) {
        return false;
    };
};

}

TEST_CASE("no living gateway is taken for silent, at any size of the fleet and with lost datagrams")
{
    const auto [gateways, loss]
        = GENERATE(table<int, double>({{12, 0.0}, {12, 0.05}, {36, 0.05}, {103, 0.0}, {103, 0.05}, {370, 0.05}}));
    SimulatedFleet fleet(gateways, 7);
    fleet.loss = loss;
    fleet.run(milliseconds(4000));
    CAPTURE(gateways, loss);
    CHECK(fleet.fewestPeers() == gateways - 1);
    fleet.run(milliseconds(gateways > 200 ? 6000 : 30000));
    CHECK(fleet.falseAlarms == 0);
    CHECK(fleet.fewestPeers() == gateways - 1);
    WARN(gateways << " gateways, loss " << loss << ": heartbeats known for " << toMilliseconds(fleet.ages().first)
                  << " ms, " << toMilliseconds(fleet.ages().second) << " ms at 99 %, "
                  << fleet.bytesSent / gateways * 1000000 / static_cast<std::uint64_t>((fleet.now - START).count())
                  << " B/s");
}

TEST_CASE("a thousand gateways know each other")
{
    SimulatedFleet fleet(1000, 8);
    fleet.run(milliseconds(4000));
    CHECK(fleet.fewestPeers() == 999);
    CHECK(fleet.falseAlarms == 0);
}

TEST_CASE("all gateways notice a dead one within four seconds")
{
    const int gateways = GENERATE(12, 103, 370);
    SimulatedFleet fleet(gateways, 9);
    fleet.run(milliseconds(3000));
    fleet.kill(5);
    fleet.run(NOTICED_WITHIN);
    CAPTURE(gateways);
    CHECK(fleet.livingGatewaysThatKnow("front-zone-5") == 0);
    CHECK(fleet.falseAlarms == 0);
    CHECK(fleet.fewestPeers() == gateways - 2);
}

TEST_CASE("a gateway that joins and one that starts again are known to all within two seconds")
{
    SimulatedFleet fleet(103, 10);
    fleet.run(milliseconds(6000));
    fleet.join();
    fleet.kill(7);
    fleet.run(milliseconds(1000));
    fleet.startAgain(7);
    fleet.run(milliseconds(2000));
    CHECK(fleet.fewestPeers() == 103);
    fleet.run(milliseconds(8000));
    CHECK(fleet.fewestPeers() == 103);
    CHECK(fleet.falseAlarms == 0);
}

TEST_CASE("gateways that find only those in the store that started before them know all within four seconds")
{
    SimulatedFleet fleet(1, 13);
    for (int i = 1; i < 103; ++i) {
        fleet.run(milliseconds(20));
        fleet.join();
    }
    fleet.run(NOTICED_WITHIN);
    CHECK(fleet.fewestPeers() == 102);
    fleet.run(milliseconds(6000));
    CHECK(fleet.fewestPeers() == 102);
    CHECK(fleet.falseAlarms == 0);
}

TEST_CASE("after the loss of power at all gateways, they know each other within three seconds")
{
    SimulatedFleet fleet(103, 11);
    fleet.run(milliseconds(4000));
    for (int i = 0; i < fleet.size(); ++i) {
        fleet.kill(i);
    }
    fleet.run(milliseconds(1400));
    for (int i = 0; i < fleet.size(); ++i) {
        fleet.startAgain(i);
    }
    fleet.run(milliseconds(3000));
    CHECK(fleet.fewestPeers() == 102);
}

TEST_CASE("gateways that are cut off know each other again within three seconds after the cut")
{
    SimulatedFleet fleet(103, 12);
    fleet.run(milliseconds(5000));
    fleet.setCut([](int a, int b) { return (a < 20) != (b < 20); });
    fleet.run(milliseconds(8000));
    CHECK(fleet.view(3).livePeerCount() == 19);
    CHECK(fleet.view(50).livePeerCount() == 82);
    fleet.setCut([](int, int) { return false; });
    fleet.run(milliseconds(3000));
    CHECK(fleet.fewestPeers() == 102);
}
