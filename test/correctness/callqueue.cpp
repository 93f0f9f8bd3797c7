/** \file
 * Tests of CallQueue: tiers, minimum shares, deadlines, team shares and displacement.
 */
#include "callqueue.h"
#include "fixtures.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace Cyclamenturn;

namespace
{

constexpr double LEAST_SHARE = 0.05;

Call waitingCall(const std::string &id, int tier, std::int64_t deadlineMs, const std::string &team = "north")
{
    Call call;
    call.id = id;
    call.tier = tier;
    call.team = team;
    call.deadline = at(deadlineMs);
    return call;
}

CallQueue makeQueue(std::size_t limit = 1000)
{
    CallQueue queue(QueueOrder::TieredDeadline);
    queue.setLimits(limit, LEAST_SHARE);
    return queue;
}

}

TEST_CASE("higher tiers go first, and earlier deadlines within a tier")
{
    CallQueue queue = makeQueue();
    queue.push(waitingCall("low", 3, 100));
    queue.push(waitingCall("late", 1, 300));
    queue.push(waitingCall("early", 1, 200));
    const TeamLimits teamLimits;
    CHECK(queue.pop(teamLimits, std::nullopt, at(0))->id == "early");
    CHECK(queue.pop(teamLimits, std::nullopt, at(0))->id == "late");
    CHECK(queue.pop(teamLimits, std::nullopt, at(0))->id == "low");
    CHECK_FALSE(queue.pop(teamLimits, std::nullopt, at(0)));
}

TEST_CASE("every waiting tier gets its minimum share of starts under permanent load in the highest tier")
{
    CallQueue queue = makeQueue();
    TeamLimits teamLimits;
    teamLimits.setLimits(1, 1000);
    const std::vector<int> lower = {1, 2, 3};
    const int bound = static_cast<int>(std::ceil((lower.size() + 1) / LEAST_SHARE));
    std::map<int, int> sinceStart;
    int next = 0;
    for (int start = 0; start < 2000; ++start) {
        queue.push(waitingCall("top" + std::to_string(next), 0, 100000));
        for (const int tier : lower) {
            queue.push(waitingCall("t" + std::to_string(tier) + "-" + std::to_string(next), tier, 100000));
        }
        ++next;
        queue.setLimits(100000, LEAST_SHARE);
        const int tier = queue.pop(teamLimits, std::nullopt, at(0))->tier;
        for (const int each : lower) {
            sinceStart[each] = each == tier ? 0 : sinceStart[each] + 1;
            REQUIRE(sinceStart[each] <= bound);
        }
    }
}

TEST_CASE("calls of a team that has reached its share go after those of other teams, but use free slots")
{
    CallQueue queue = makeQueue();
    TeamLimits teamLimits;
    teamLimits.setLimits(0.5, 2);
    teamLimits.recordStart("large");
    queue.push(waitingCall("large-1", 1, 100, "large"));
    queue.push(waitingCall("small-1", 1, 900, "small"));
    CHECK(queue.pop(teamLimits, std::nullopt, at(0))->id == "small-1");
    CHECK(queue.pop(teamLimits, std::nullopt, at(0))->id == "large-1");
}

TEST_CASE("late calls move to the lowest tier unless they are not sheddable")
{
    CallQueue queue = makeQueue();
    Call kept = waitingCall("kept", 0, 100);
    kept.sheddable = false;
    queue.push(waitingCall("late", 0, 50));
    queue.push(waitingCall("low", 3, 5000));
    queue.push(kept);
    const TeamLimits teamLimits;
    CHECK(queue.pop(teamLimits, std::nullopt, at(1000))->id == "kept");
    CHECK(queue.pop(teamLimits, std::nullopt, at(1000))->id == "low");
    CHECK(queue.pop(teamLimits, std::nullopt, at(1000))->id == "late");
}

TEST_CASE("a full queue displaces only sheddable calls, lowest tier first")
{
    CallQueue queue = makeQueue(3);
    Call kept = waitingCall("kept", 0, 100);
    kept.sheddable = false;
    queue.push(kept);
    queue.push(waitingCall("mid", 2, 100));
    queue.push(waitingCall("low", 3, 100));
    REQUIRE(queue.isFull());
    CHECK(queue.chooseDisplaced(waitingCall("new", 1, 100)) == std::string("low"));
    queue.remove("low");
    CHECK(queue.chooseDisplaced(waitingCall("new", 1, 100)) == std::string("mid"));
    queue.remove("mid");
    CHECK_FALSE(queue.chooseDisplaced(waitingCall("new", 1, 100)));
    CHECK_FALSE(queue.chooseDisplaced(waitingCall("new", 3, 100)));
}

TEST_CASE("a full queue displaces a call of the team with most waiting calls for a team with fewer")
{
    CallQueue queue = makeQueue(3);
    for (const char *id : {"a", "b", "c"}) {
        queue.push(waitingCall(id, 2, 100, "large"));
    }
    CHECK(queue.chooseDisplaced(waitingCall("new", 2, 100, "small")));
    CHECK_FALSE(queue.chooseDisplaced(waitingCall("new", 2, 100, "large")));
}
