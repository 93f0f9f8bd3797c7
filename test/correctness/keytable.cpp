/** \file
 * Tests of KeyTable: a key whose call may have started never waits again, a query of an unknown key adds a tombstone,
 * and records expire.
 */
#include "keytable.h"
#include "errors.h"
#include "fixtures.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

TEST_CASE("a key whose call may have started cannot wait or be removed")
{
    for (const KeyState end : {KeyState::Ended, KeyState::OutcomeUnknown}) {
        KeyTable table;
        table.setWaiting("k", KeyState::Queued, "c", at(0));
        table.setRunning("k");
        CHECK_THROWS_AS(table.setWaiting("k", KeyState::Queued, "d", at(1)), InternalError);
        CHECK_THROWS_AS(table.removeWaiting("k"), InternalError);
        table.setFinished("k", end);
        CHECK_THROWS_AS(table.setRunning("k"), InternalError);
        CHECK(table.find("k")->state == end);
    }
}

TEST_CASE("a query returns the record of a known key and adds a tombstone for an unknown one")
{
    KeyTable table;
    CHECK_FALSE(table.query("k", at(0)));
    CHECK(table.find("k")->state == KeyState::Tombstone);
    table.setWaiting("other", KeyState::Queued, "c", at(0));
    CHECK(table.query("other", at(0))->state == KeyState::Queued);
}

TEST_CASE("records expire by issue time, but not while in progress")
{
    KeyTable table;
    table.setWaiting("running", KeyState::Queued, "c", at(0));
    table.setRunning("running");
    table.query("asked", at(0));
    table.query("young", at(500));
    table.expire(at(100));
    CHECK(table.find("running"));
    CHECK_FALSE(table.find("asked"));
    CHECK(table.find("young"));
    table.setFinished("running", KeyState::Ended);
    table.expire(at(100));
    CHECK_FALSE(table.find("running"));
}
