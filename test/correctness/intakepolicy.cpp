/** \file
 * Rejection of requests by a gateway that is behind with its own work.
 */
#include "gateway/intakepolicy.h"
#include "gateway/admitrequest.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

namespace
{

bool isTaken(const IntakeInputs &inputs, double draw = 0.5)
{
    return std::holds_alternative<IntakeAccepted>(decideIntake(inputs, draw));
}

constexpr int LEAST_URGENT = ENGINE_PRIORITY_LEVELS - 1;

}

TEST_CASE("a gateway that keeps up takes every request, also one with little time left")
{
    REQUIRE(isTaken({milliseconds(0), milliseconds(1), LEAST_URGENT}));
    REQUIRE(isTaken({milliseconds(90), milliseconds(100), LEAST_URGENT}));
}

TEST_CASE("the less urgent requests are rejected at shorter delays")
{
    Duration previous = milliseconds(0);
    for (int priority = LEAST_URGENT; priority >= 0; --priority) {
        Duration limit = milliseconds(0);
        while (limit < milliseconds(2000) && isTaken({limit, milliseconds(60000), priority}, 0)) {
            limit += milliseconds(1);
        }
        REQUIRE(limit > previous);
        previous = limit;
    }
    REQUIRE(previous < milliseconds(500));
}

TEST_CASE("a request that would be answered after its timeout is rejected whatever its priority")
{
    REQUIRE(isTaken({milliseconds(200), milliseconds(500), 0}));
    REQUIRE_FALSE(isTaken({milliseconds(200), milliseconds(300), 0}));
}

TEST_CASE("a rejected caller returns while it still waits, and not all return together")
{
    const auto retryAfter = [](Duration timeLeft, double draw) {
        const IntakeDecision decision = decideIntake({milliseconds(1000), timeLeft, LEAST_URGENT}, draw);
        return std::get<IntakeRejected>(decision).retryAfter;
    };
    REQUIRE(retryAfter(milliseconds(900), 0.9) <= milliseconds(300));
    REQUIRE(retryAfter(milliseconds(60000), 0.9) - retryAfter(milliseconds(60000), 0.1) >= milliseconds(500));
    REQUIRE(retryAfter(milliseconds(60000), 0) >= milliseconds(1000));
}

TEST_CASE("the average delay follows a burst and is forgotten soon after it")
{
    IntakeDelay delay;
    TimePoint now(milliseconds(1000000));
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(10);
        delay.add(milliseconds(400), now);
    }
    REQUIRE(delay.current(now) > milliseconds(300));
    REQUIRE(delay.current(now + milliseconds(1000)) < milliseconds(10));
    for (int i = 0; i < 10; ++i) {
        now += milliseconds(10);
        delay.add(milliseconds(0), now);
    }
    REQUIRE(delay.current(now) < milliseconds(50));
}
