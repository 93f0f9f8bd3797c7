/** \file
 * Which incarnation an endpoint is taken for, as the list and the endpoint itself tell different things.
 */
#include "gateway/incarnations.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

namespace
{

TimePoint at(std::int64_t ms)
{
    return timeFromMilliseconds(1000000 + ms);
}

EndpointRecord endpoint(std::int64_t startedAtMs, const std::string &version)
{
    EndpointRecord out;
    out.id = "a";
    out.service = "s";
    out.address = {"127.0.0.1", 1};
    out.startedAtMs = startedAtMs;
    out.version = version;
    return out;
}

const EndpointRecord FORMER = endpoint(100, "v1");
const EndpointRecord NEXT = endpoint(200, "v2");

}

TEST_CASE("an incarnation that an endpoint has stated counts more than the list, and has no version until it is listed")
{
    Incarnations incarnations;
    incarnations.noteListed({FORMER}, at(0));
    CHECK(incarnations.current(FORMER) == FORMER);
    incarnations.noteStated(FORMER, FORMER.startedAtMs);
    CHECK(incarnations.current(FORMER) == FORMER);

    incarnations.noteStated(FORMER, NEXT.startedAtMs);
    const EndpointRecord current = incarnations.current(FORMER);
    CHECK(current.startedAtMs == NEXT.startedAtMs);
    CHECK_FALSE(current.isVersionKnown);
    CHECK(versionKey(current) == incarnationKey(NEXT));
    CHECK(versionKey(current) != versionKey(FORMER));
    CHECK(incarnations.versionOf(versionKey(current)) == versionKey(current));

    SECTION("a read of the list that shows the same entry changes nothing")
    {
        incarnations.noteListed({FORMER}, at(1000));
        CHECK(incarnations.current(FORMER) == current);
    }
    SECTION("its version is that of its entry")
    {
        incarnations.noteListed({NEXT}, at(1000));
        CHECK(incarnations.current(NEXT) == NEXT);
        CHECK(incarnations.versionOf(versionKey(current)) == versionKey(NEXT));
        CHECK(incarnations.statedCount() == 0);
    }
    SECTION("an incarnation that is listed later replaces it")
    {
        const EndpointRecord third = endpoint(300, "v3");
        incarnations.noteListed({third}, at(1000));
        CHECK(incarnations.current(third) == third);
    }
    SECTION("so does the same id at another address or in another service")
    {
        EndpointRecord elsewhere = FORMER;
        elsewhere.address.port = 2;
        incarnations.noteListed({elsewhere}, at(1000));
        CHECK(incarnations.current(elsewhere) == elsewhere);
    }
    SECTION("it is forgotten when its endpoint is gone")
    {
        incarnations.noteListed({}, at(1000));
        incarnations.expire(at(1000));
        CHECK(incarnations.current(FORMER) == FORMER);
    }
}

TEST_CASE("an entry of a former incarnation that comes late doesn't hide the version of the next one")
{
    Incarnations incarnations;
    incarnations.noteListed({FORMER}, at(0));
    incarnations.noteListed({NEXT}, at(1000));
    incarnations.noteListed({FORMER}, at(2000));
    incarnations.noteStated(FORMER, NEXT.startedAtMs);
    CHECK(incarnations.current(FORMER) == NEXT);

    // And one that is older still.
    const EndpointRecord oldest = endpoint(50, "v0");
    incarnations.noteListed({oldest}, at(3000));
    CHECK(incarnations.current(oldest) == NEXT);
}

TEST_CASE("the version of an incarnation is known for a while after it was listed")
{
    Incarnations incarnations;
    incarnations.noteListed({FORMER}, at(0));
    incarnations.noteListed({NEXT}, at(5000));
    const std::int64_t retentionMs = toMilliseconds(Incarnations::RETENTION);
    incarnations.expire(at(5000 + retentionMs - 1));
    CHECK(incarnations.versionOf(incarnationKey(FORMER)) == versionKey(FORMER));
    incarnations.expire(at(5000 + retentionMs));
    CHECK(incarnations.versionOf(incarnationKey(FORMER)) == incarnationKey(FORMER));
    CHECK(incarnations.versionOf(incarnationKey(NEXT)) == versionKey(NEXT));
}
