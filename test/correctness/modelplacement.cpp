/** \file
 * Tests ModelPlacement: orders carry increasing fencing numbers, are sent after the start delay, and stop once the
 * engine has received an order with a higher fencing number.
 */
#include "modelplacement.h"
#include "fixtures.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

TEST_CASE("an order is sent once after its start delay, and again after a failure or a restart of the engine")
{
    ModelPlacement placement(5000000);
    placement.setDesiredModels({"base-1"}, 7000, placementDelay(3, 2), at(0));
    CHECK_FALSE(placement.takeOrder(at(1499)));
    CHECK(placement.takeOrder(at(1500)) == EngineOrder{7000, {"base-1"}});
    CHECK_FALSE(placement.takeOrder(at(1501)));
    placement.noteResult(OrderResult::Failed, at(1600));
    CHECK_FALSE(placement.takeOrder(at(3599)));
    REQUIRE(placement.takeOrder(at(3600)));
    placement.noteResult(OrderResult::Done, at(3700));
    CHECK(placement.isUpToDate());
    CHECK_FALSE(placement.takeOrder(at(9000)));
    placement.noteEngineRestarted(at(10000));
    CHECK(placement.takeOrder(at(12000)));
}

TEST_CASE("a newer revision and a newer incarnation both send a higher fencing number")
{
    ModelPlacement older(5000000);
    older.setDesiredModels({"a"}, 4000, Duration(0), at(0));
    ModelPlacement newer(6000000);
    newer.setDesiredModels({"a"}, 4000, Duration(0), at(0));
    const auto first = older.takeOrder(at(0));
    CHECK(first->fence == 5000);
    CHECK(newer.takeOrder(at(0))->fence == 6000);
    newer.noteResult(OrderResult::Done, at(0));
    newer.setDesiredModels({"b"}, 8000, Duration(0), at(1));
    CHECK(newer.takeOrder(at(1))->fence == 8000);
}

TEST_CASE("a change while an order is in flight is sent next, and a fenced agent sends no more orders")
{
    ModelPlacement placement(1);
    placement.setDesiredModels({"a"}, 10, Duration(0), at(0));
    placement.takeOrder(at(0));
    placement.setDesiredModels({"b"}, 11, Duration(0), at(1));
    CHECK_FALSE(placement.takeOrder(at(2)));
    placement.noteResult(OrderResult::Done, at(3));
    CHECK(placement.takeOrder(at(3))->models == std::vector<std::string>{"b"});
    placement.noteResult(OrderResult::Fenced, at(4));
    placement.setDesiredModels({"c"}, 12, Duration(0), at(5));
    CHECK_FALSE(placement.takeOrder(at(60000)));
}
