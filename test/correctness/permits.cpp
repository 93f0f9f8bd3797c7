/** \file
 * Limits that endpoints state: which statement is the latest, which gateway gives permits, and at what rate.
 */
#include "fixtures.h"
#include "gateway/knownlimits.h"
#include "gateway/permitbucket.h"
#include "gateway/permitmessages.h"
#include "gateway/permitowners.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace Cyclamenturn;

namespace
{

bool isGranted(const PermitDecision &decision)
{
    return std::holds_alternative<PermitGranted>(decision);
}

Duration retryAfter(const PermitDecision &decision)
{
    return std::get<PermitDenied>(decision).retryAfter;
}

/** Asks once a millisecond and returns when permits were granted. */
std::vector<TimePoint> grants(PermitBucket &bucket, double perSecond, TimePoint from, Duration span)
{
    std::vector<TimePoint> out;
    for (TimePoint now = from; now < from + span; now += milliseconds(1)) {
        if (isGranted(bucket.take(perSecond, {}, {}, now))) {
            out.push_back(now);
        }
    }
    return out;
}

PermitQuestion question()
{
    PermitQuestion out;
    out.id = 77;
    out.asker = "front-1";
    out.limit = {"0a1b2c3d", 1.9, at(400)};
    out.maxWait = milliseconds(120);
    out.returnsWithin = milliseconds(900);
    out.isRelayed = true;
    return out;
}

}

TEST_CASE("permits are given at the rate of the limit, with a short burst after a pause")
{
    for (const double perSecond : {1.0, 1.9, 20.0, 200.0}) {
        PermitBucket bucket(perSecond, at(0));
        const auto first = grants(bucket, perSecond, at(0), milliseconds(20000));
        const double expected = perSecond * 20;
        CHECK(static_cast<double>(first.size()) <= expected + 1);
        CHECK(static_cast<double>(first.size()) >= expected * 0.95 - 1);
        // A pause leaves at most a burst, whatever its length.
        const auto burst = grants(bucket, perSecond, at(80000), milliseconds(1));
        CHECK(burst.size() == 1);
        int atOnce = 0;
        while (isGranted(bucket.take(perSecond, {}, {}, at(80001)))) {
            ++atOnce;
        }
        CHECK(atOnce <= static_cast<int>(perSecond * 0.2) + 1);
    }
}

TEST_CASE("a new owner gives its first permit after one interval, since it doesn't know those given before")
{
    PermitBucket bucket(2, at(0));
    CHECK(retryAfter(bucket.take(2, {}, {}, at(0))) == milliseconds(500));
    CHECK_FALSE(isGranted(bucket.take(2, {}, {}, at(499))));
    CHECK(isGranted(bucket.take(2, {}, {}, at(500))));
}

TEST_CASE("a permit that is waited for is taken, and isn't given twice")
{
    PermitBucket bucket(10, at(0));
    grants(bucket, 10, at(0), milliseconds(1000));
    const auto waiting = bucket.take(10, milliseconds(100), {}, at(950));
    REQUIRE(isGranted(waiting));
    const Duration wait = std::get<PermitGranted>(waiting).wait;
    CHECK(wait > Duration());
    CHECK(wait <= milliseconds(100));
    CHECK_FALSE(isGranted(bucket.take(10, {}, {}, at(950) + wait)));
}

TEST_CASE("callers that are sent away are told different times to come back")
{
    PermitBucket bucket(2, at(0));
    const auto first = retryAfter(bucket.take(2, {}, milliseconds(1000), at(0)));
    const auto second = retryAfter(bucket.take(2, {}, milliseconds(1000), at(0)));
    const auto third = retryAfter(bucket.take(2, {}, milliseconds(1000), at(0)));
    CHECK(first == milliseconds(500));
    CHECK(second == milliseconds(1000));
    CHECK(third == milliseconds(1500));
    // The third can't wait so long and won't come back, so it takes nobody's turn.
    CHECK(retryAfter(bucket.take(2, {}, milliseconds(1000), at(0))) == milliseconds(1500));
}

TEST_CASE("a raised limit is used at once, and a lowered one is kept at once")
{
    PermitBucket bucket(0.5, at(0));
    CHECK_FALSE(isGranted(bucket.take(0.5, {}, {}, at(100))));
    CHECK(grants(bucket, 50, at(100), milliseconds(1000)).size() >= 48);
    CHECK(grants(bucket, 1, at(1100), milliseconds(4000)).size() <= 5);
}

TEST_CASE("a limit of zero still lets a request through now and then, which shows when it has ended")
{
    PermitBucket bucket(0, at(0));
    const auto count = grants(bucket, 0, at(0), milliseconds(40000)).size();
    CHECK(count >= 3);
    CHECK(count <= 5);
}

TEST_CASE("the latest statement of an endpoint holds, whatever the order in which statements arrive")
{
    KnownLimits limits;
    CHECK_FALSE(limits.merge({"e1", std::nullopt, at(10)}));
    CHECK(limits.merge({"e1", 2.0, at(100)}));
    CHECK_FALSE(limits.merge({"e1", 2.0, at(200)}));
    CHECK(limits.limitedCount() == 1);
    // Responses to requests that were sent before the limit was last seen don't end it.
    CHECK_FALSE(limits.merge({"e1", std::nullopt, at(150)}));
    REQUIRE(limits.find("e1") != nullptr);
    CHECK(limits.merge({"e1", 5.0, at(300)}));
    CHECK(*limits.find("e1")->perSecond == 5.0);
    CHECK(limits.merge({"e1", std::nullopt, at(301)}));
    CHECK(limits.find("e1") == nullptr);
    CHECK(limits.limitedCount() == 0);
    CHECK_FALSE(limits.merge({"e1", 5.0, at(300)})); // a delayed message of another gateway
    limits.expire(at(301) + KnownLimits::ENDED_RETENTION);
    CHECK(limits.latest("e1") == nullptr);
    limits.merge({"e2", 1.0, at(400)});
    limits.remove("e2");
    CHECK(limits.limitedCount() == 0);
}

TEST_CASE("all gateways name the same owner, and owners are spread over the fleet")
{
    const std::vector<std::string> names = {"a", "b", "c", "d"};
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i) {
        const std::string endpoint = "endpoint-" + std::to_string(i);
        std::set<std::string> firsts;
        for (const auto &own : names) {
            PermitOwners owners(own);
            std::vector<std::string> others;
            for (const auto &name : names) {
                if (name != own) {
                    others.push_back(name);
                }
            }
            owners.setMembers(others);
            firsts.insert(owners.owners(endpoint, at(5000)).at(0));
        }
        CHECK(firsts.size() == 1);
        used.insert(firsts.begin(), firsts.end());
    }
    CHECK(used.size() == names.size());
}

TEST_CASE("an owner that doesn't answer is passed over until it is heard again")
{
    PermitOwners owners("a");
    owners.setMembers({"b", "c"});
    const std::string first = owners.owners("e", at(5000)).at(0);
    const std::string second = owners.owners("e", at(5000)).at(1);
    const std::string other = first == "a" ? second : first;
    owners.noteUnanswered(other, at(5000));
    owners.noteUnanswered(other, at(5100));
    owners.noteUnanswered(other, at(5200));
    CHECK_FALSE(owners.isDown(other, at(5200)));
    CHECK(owners.isDown(other, at(5000) + PermitOwners::DOWN_TIME));
    const auto left = owners.owners("e", at(5000) + PermitOwners::DOWN_TIME);
    CHECK(std::count(left.begin(), left.end(), other) == 0);
    owners.noteHeard(other);
    CHECK(owners.owners("e", at(6000)).at(0) == first);
}

TEST_CASE("a gateway that has just started gives no permits")
{
    PermitOwners owners("a");
    owners.start(at(0));
    CHECK(owners.owners("e", at(0)).empty());
    owners.setMembers({"b"});
    CHECK(owners.owners("e", at(100)) == std::vector<std::string>{"b"});
    CHECK(owners.owners("e", at(0) + PermitOwners::SETTLING_TIME).size() == 2);
}

TEST_CASE("permit messages are unchanged after encoding and decoding, with times converted by their ages")
{
    const TimePoint otherClock = at(900000);
    const auto received = decodePermitQuestion(encodePermitQuestion(question(), at(500)), otherClock);
    REQUIRE(received);
    CHECK(received->id == 77);
    CHECK(received->asker == "front-1");
    CHECK(received->limit == EndpointLimit{"0a1b2c3d", 1.9, otherClock - milliseconds(100)});
    CHECK(received->maxWait == milliseconds(120));
    CHECK(received->returnsWithin == milliseconds(900));
    CHECK(received->isRelayed);
    for (const PermitDecision &decision :
        {PermitDecision(PermitGranted{milliseconds(7)}), PermitDecision(PermitDenied{milliseconds(800)})}) {
        const PermitAnswer answer{5, "front-2", decision, {"e", std::nullopt, at(450)}};
        const auto decoded = decodePermitAnswer(encodePermitAnswer(answer, at(500)), otherClock);
        REQUIRE(decoded);
        CHECK(decoded->decision == decision);
        CHECK(decoded->sender == "front-2");
        CHECK(decoded->limit == EndpointLimit{"e", std::nullopt, otherClock - milliseconds(50)});
    }
    const auto notice = decodeLimitNotice(encodeLimitNotice({"e", 200.0, at(450)}, at(500)), otherClock);
    REQUIRE(notice);
    CHECK(*notice == EndpointLimit{"e", 200.0, otherClock - milliseconds(50)});
}

TEST_CASE("incomplete permit messages are refused, and corrupted ones don't crash the decoders")
{
    std::mt19937 random(5);
    for (const std::string &bytes : {encodePermitQuestion(question(), at(500)),
             encodePermitAnswer({5, "g", PermitGranted{}, {"e", 1.0, at(0)}}, at(0)),
             encodeLimitNotice({"e", 1.0, at(0)}, at(0))}) {
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            const std::string part = bytes.substr(0, length);
            CHECK_FALSE(decodePermitQuestion(part, at(0)));
            CHECK_FALSE(decodePermitAnswer(part, at(0)));
            CHECK_FALSE(decodeLimitNotice(part, at(0)));
        }
        for (int i = 0; i < 1000; ++i) {
            std::string corrupted = bytes;
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
            (void)decodePermitQuestion(corrupted, at(0)); // must neither crash nor hang; either result is accepted
            (void)decodePermitAnswer(corrupted, at(0));
            (void)decodeLimitNotice(corrupted, at(0));
        }
    }
}
