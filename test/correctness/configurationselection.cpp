/** \file
 * Selection of the configuration in force when the store is restored from a copy.
 */
#include "gateway/configurationselection.h"

#include <catch2/catch.hpp>
#include <random>

using namespace Cyclamenturn;
using Decision = ConfigurationSelection::Decision;

namespace
{

TimePoint at(std::int64_t ms)
{
    return timeFromMilliseconds(100000 + ms);
}

}

TEST_CASE("within an era the higher revision comes into force")
{
    ConfigurationSelection selection;
    CHECK(selection.offer({1, 10}, 3, at(0)) == Decision::Apply);
    CHECK(selection.offer({1, 10}, 3, at(1)) == Decision::Ignore);
    CHECK(selection.offer({1, 14}, 5, at(2)) == Decision::Apply);
    CHECK(selection.offer({1, 12}, 4, at(3)) == Decision::Ignore);
    CHECK(selection.version() == 5);
}

TEST_CASE("a newer version under a revision that was given out before comes into force")
{
    ConfigurationSelection selection;
    selection.offer({1, 39}, 5, at(0));
    CHECK(selection.offer({2, 20}, 5, at(100)) == Decision::Apply);
    CHECK(selection.offer({2, 39}, 9, at(200)) == Decision::Apply);
    CHECK(selection.version() == 9);
}

TEST_CASE("the older version of a restored store isn't applied while the operator may write again what was lost")
{
    ConfigurationSelection selection;
    selection.offer({1, 39}, 5, at(0));
    CHECK(selection.offer({2, 20}, 3, at(100)) == Decision::Defer);
    CHECK(selection.hasDeferred());
    const TimePoint due = at(100) + ConfigurationSelection::OLDER_VERSION_DELAY;
    CHECK_FALSE(selection.takeDeferred(due - milliseconds(1)));
    CHECK(selection.version() == 5);

    SECTION("the version in force is written again")
    {
        CHECK(selection.offer({2, 24}, 5, at(900)) == Decision::Apply);
        CHECK_FALSE(selection.takeDeferred(due));
        CHECK(selection.version() == 5);
    }
    SECTION("versions are written again in their order")
    {
        CHECK(selection.offer({2, 24}, 4, at(900)) == Decision::Defer);
        CHECK_FALSE(selection.takeDeferred(due));
        CHECK(selection.offer({2, 25}, 5, due) == Decision::Apply);
    }
    SECTION("the store is restored again")
    {
        CHECK(selection.offer({3, 9}, 2, at(900)) == Decision::Defer);
        CHECK(selection.offer({3, 12}, 5, at(1000)) == Decision::Apply);
    }
    SECTION("the older version stays")
    {
        CHECK(selection.takeDeferred(due));
        CHECK(selection.version() == 3);
        CHECK(selection.offer({2, 24}, 4, due) == Decision::Apply);
    }
}

TEST_CASE("a configuration that can't be decoded is the latest one until another comes")
{
    ConfigurationSelection selection;
    selection.offer({1, 10}, 3, at(0));
    selection.noteUnreadable({1, 12});
    CHECK(selection.isLatestUnreadable());
    CHECK_FALSE(selection.isNew({1, 12}));
    CHECK(selection.offer({1, 13}, 4, at(100)) == Decision::Apply);
    CHECK_FALSE(selection.isLatestUnreadable());
}

TEST_CASE("another store's configuration comes into force by its version")
{
    ConfigurationSelection selection;
    selection.offer({7, 500}, 5, at(0));
    selection.forgetRevisions();
    CHECK(selection.offer({7, 4}, 4, at(100)) == Decision::Defer);
    CHECK(selection.offer({7, 5}, 6, at(200)) == Decision::Apply);
}

TEST_CASE("any sequence of restorations ends in the operator's latest version")
{
    for (unsigned seed = 0; seed < 2000; ++seed) {
        std::mt19937 random(seed);
        ConfigurationSelection selection;
        std::uint64_t era = 1;
        std::uint64_t revision = 1;
        std::uint64_t version = 1;
        std::int64_t now = 0;
        selection.offer({era, revision}, version, at(now));
        for (int step = 0; step < 30; ++step) {
            now += random() % 2000;
            if (random() % 3 == 0) {
                const std::uint64_t lost = random() % revision;
                const std::uint64_t copied = version - random() % version;
                revision -= lost;
                selection.offer({++era, revision}, copied, at(now));
                CHECK((copied == version || selection.hasDeferred()));
                selection.offer({era, ++revision}, version, at(now + 1));
            } else {
                revision += 1 + random() % 50;
                version += 1 + random() % 3;
                selection.offer({era, revision}, version, at(now));
            }
            REQUIRE(selection.version() == version);
            REQUIRE_FALSE(selection.hasDeferred());
        }
    }
}
