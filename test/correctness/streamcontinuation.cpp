/** \file
 * Which events continue a stream that was broken off.
 */
#include "gateway/streamcontinuation.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;
using Verdict = StreamContinuation::Verdict;

TEST_CASE("a response that goes on with a stream begins with an event after the last one")
{
    StreamContinuation continuation;
    continuation.begin("9");
    REQUIRE(continuation.isMissing());

    SECTION("the next event, and all that follow it")
    {
        CHECK(continuation.judge("10") == Verdict::Belongs);
        CHECK_FALSE(continuation.isMissing());
        CHECK(continuation.judge("") == Verdict::Belongs);
        CHECK(continuation.judge("11") == Verdict::Belongs);
    }
    SECTION("an event without an id is no part of it")
    {
        CHECK(continuation.judge("") == Verdict::Ignored);
        CHECK(continuation.isMissing());
        CHECK(continuation.judge("0010") == Verdict::Belongs);
    }
    SECTION("an event that the caller has had contradicts")
    {
        CHECK(continuation.judge("9") == Verdict::Contradicts);
        CHECK(continuation.judge("1") == Verdict::Contradicts);
        CHECK(continuation.judge("09") == Verdict::Contradicts);
        CHECK(continuation.judge("0") == Verdict::Contradicts);
        CHECK(continuation.isMissing());
    }
}

TEST_CASE("ids that are no numbers are told apart only")
{
    StreamContinuation continuation;
    continuation.begin("b");
    CHECK(continuation.judge("b") == Verdict::Contradicts);
    CHECK(continuation.judge("a") == Verdict::Belongs);
}

TEST_CASE("every event belongs to a stream that begins anew")
{
    StreamContinuation continuation;
    continuation.begin("");
    CHECK_FALSE(continuation.isMissing());
    CHECK(continuation.judge("") == Verdict::Belongs);
    CHECK(continuation.judge("1") == Verdict::Belongs);
}
