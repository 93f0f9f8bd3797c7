/** \file
 * Which version a stream goes on at: what gateways keep of streams, where they keep it, and what the list of endpoints
 * tells when they don't know.
 */
#include "gateway/streamorigins.h"
#include "gateway/endpointdirectory.h"
#include "gateway/peerdigest.h"
#include "gateway/streammessages.h"
#include "gateway/streamowners.h"
#include "gateway/versionhistory.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace Cyclamenturn;

namespace
{

TimePoint at(std::int64_t ms)
{
    return timeFromMilliseconds(1000000 + ms);
}

EndpointRecord endpoint(const std::string &id, const std::string &version, const std::string &service = "s")
{
    EndpointRecord out;
    out.id = id;
    out.service = service;
    out.version = version;
    return out;
}

std::vector<std::string> gateways(int count)
{
    std::vector<std::string> out;
    for (int i = 0; i < count; ++i) {
        out.push_back("front-" + std::to_string(i));
    }
    return out;
}

const std::int64_t RETENTION_MS = toMilliseconds(StreamOrigins::RETENTION);

}

TEST_CASE("an attempt of another key, host or path is another stream")
{
    const StreamKey key = streamKey("id", "key", "h", "/a/");
    CHECK(key == streamKey("id", "key", "h", "/a/"));
    CHECK(
        std::set<StreamKey>{key, streamKey("id2", "key", "h", "/a/"), streamKey("id", "key2", "h", "/a/"),
            streamKey("id", "key", "h2", "/a/"), streamKey("id", "key", "h", "/b/"), streamKey("idk", "ey", "h", "/a/")}
            .size()
        == 6);
    CHECK(versionKey(endpoint("a", "v1")) == versionKey(endpoint("b", "v1")));
    CHECK(versionKey(endpoint("a", "v1")) != versionKey(endpoint("a", "v1.1")));
    CHECK(versionKey(endpoint("a", "v1")) != versionKey(endpoint("a", "v1", "t")));
}

TEST_CASE("the first note of a stream holds until its retention ends, and a full table forgets the oldest")
{
    StreamOrigins origins;
    origins.note({1, 10}, {}, at(0));
    origins.note({1, 11}, {}, at(100));
    CHECK(origins.find(1, at(RETENTION_MS - 1)) == VersionKey(10));
    CHECK_FALSE(origins.find(1, at(RETENTION_MS)));
    CHECK_FALSE(origins.find(2, at(0)));
    for (StreamKey key = 2; key < 2 + StreamOrigins::MAX_STREAMS; ++key) {
        origins.note({key, 20}, {}, at(200));
    }
    CHECK(origins.size() == StreamOrigins::MAX_STREAMS);
    CHECK_FALSE(origins.find(1, at(300)));
    CHECK(origins.find(2, at(300)) == VersionKey(20));
    origins.expire(at(200 + RETENTION_MS));
    CHECK(origins.size() == 0);
}

TEST_CASE("a gateway that has restarted gets the origins that it is to keep, with the age of their streams")
{
    const std::uint32_t own = gatewayHash("front-1");
    StreamOrigins origins;
    origins.note({1, 10}, ownerHashes({"front-0", "front-1"}), at(0));
    origins.note({2, 20}, ownerHashes({"front-0", "front-2"}), at(100));
    origins.note({3, 30}, ownerHashes({"front-1", "front-2", "front-0"}), at(200));
    CHECK(origins.ownedBy(own, at(500))
        == std::vector<AgedOrigin>{{{1, 10}, milliseconds(500)}, {{3, 30}, milliseconds(300)}});
    CHECK(origins.ownedBy(own, at(RETENTION_MS)).size() == 1);
    CHECK(origins.ownedBy(gatewayHash("front-9"), at(500)).empty());
    CHECK(origins.notedAfter(0, at(500)).size() == 3);
    CHECK(origins.notedAfter(2, at(500)) == std::vector<AgedOrigin>{{{3, 30}, milliseconds(300)}});
    CHECK(origins.notedAfter(origins.notedCount(), at(500)).empty());
    CHECK(ownerHashes({"front-0"})[STREAM_OWNERS_ASKED - 1] == 0);
    // Passing an origin on doesn't prolong its retention.
    StreamOrigins restarted;
    restarted.note({1, 10}, {}, at(RETENTION_MS - 10) - milliseconds(RETENTION_MS - 20));
    CHECK(restarted.find(1, at(RETENTION_MS - 10)) == VersionKey(10));
    CHECK_FALSE(restarted.find(1, at(RETENTION_MS + 10)));
}

TEST_CASE("a full table doesn't take an origin that is older than all of its own")
{
    StreamOrigins origins;
    for (StreamKey key = 1; key <= StreamOrigins::MAX_STREAMS; ++key) {
        origins.note({key, 20}, {}, at(200));
    }
    origins.note({StreamOrigins::MAX_STREAMS + 1, 30}, {}, at(100));
    CHECK_FALSE(origins.find(StreamOrigins::MAX_STREAMS + 1, at(300)));
    CHECK(origins.find(1, at(300)) == VersionKey(20));
    CHECK(origins.size() == StreamOrigins::MAX_STREAMS);
}

TEST_CASE("gateways that know the fleet a little differently still ask where an origin is kept")
{
    std::mt19937_64 random(7);
    int found = 0;
    constexpr int STREAMS = 2000;
    for (int i = 0; i < STREAMS; ++i) {
        const StreamKey stream = random();
        std::vector<std::string> began = gateways(94);
        std::vector<std::string> asks = began;
        // Each of them lacks a few gateways that the other one knows.
        for (auto *view : {&began, &asks}) {
            std::shuffle(view->begin(), view->end(), random);
            view->resize(90);
        }
        const std::string self = began.front();
        auto owners = rankedGateways(stream, began, STREAM_OWNERS_ASKED);
        owners.erase(std::remove(owners.begin(), owners.end(), self), owners.end());
        owners.resize(STREAM_COPIES);
        const auto asked = rankedGateways(stream, asks, STREAM_OWNERS_ASKED);
        found += std::any_of(owners.begin(), owners.end(),
            [&asked](const auto &name) { return std::find(asked.begin(), asked.end(), name) != asked.end(); });
    }
    CHECK(found > STREAMS * 98 / 100);
}

TEST_CASE("the origins of streams are spread evenly over the gateways")
{
    std::mt19937_64 random(9);
    std::map<std::string, int> counts;
    for (int i = 0; i < 12000; ++i) {
        for (const auto &name : rankedGateways(random(), gateways(12), STREAM_COPIES)) {
            ++counts[name];
        }
    }
    for (const auto &[name, count] : counts) {
        CHECK(count > 1700);
        CHECK(count < 2300);
    }
    CHECK(rankedGateways(1, {}, 3).empty());
    CHECK(rankedGateways(1, {"a"}, 3) == std::vector<std::string>{"a"});
}

TEST_CASE("a service has a sole version only if no other one was listed within the retention")
{
    VersionHistory history;
    // The list is read again and again until `ms - readAgoMs`.
    std::int64_t readMs = 0;
    const auto sole = [&history, &readMs](std::int64_t ms, std::int64_t readAgoMs = 0) {
        for (; readMs <= ms - readAgoMs; readMs += 500) {
            history.confirm(at(readMs));
        }
        return history.soleVersion(serviceKey("s"), StreamOrigins::RETENTION, at(ms));
    };
    history.update({endpoint("a", "v1"), endpoint("t", "v9", "t")}, at(0));
    CHECK_FALSE(sole(RETENTION_MS - 1));
    CHECK(sole(RETENTION_MS) == versionKey(endpoint("a", "v1")));
    CHECK_FALSE(sole(RETENTION_MS + 3001, 3001));
    CHECK_FALSE(history.soleVersion(serviceKey("?"), milliseconds(1), at(RETENTION_MS)));
    CHECK(sole(RETENTION_MS + 4000));
    CHECK_FALSE(history.soleVersion(serviceKey("s"), milliseconds(RETENTION_MS + 1), at(RETENTION_MS + 4000)));
    CHECK(history.soleVersion(serviceKey("s"), milliseconds(15000), at(RETENTION_MS + 4000)));
    sole(69500);
    history.update({endpoint("a", "v1"), endpoint("b", "v2")}, at(70000));
    CHECK_FALSE(sole(70000));
    sole(79500);
    history.update({endpoint("b", "v2")}, at(80000));
    CHECK_FALSE(sole(80000 + RETENTION_MS - 1));
    CHECK(sole(80000 + RETENTION_MS) == versionKey(endpoint("b", "v2")));
    // No endpoint is listed, but streams of this version may be taken up once it is back.
    sole(149500);
    history.update({}, at(150000));
    CHECK(sole(150000 + RETENTION_MS - 1) == versionKey(endpoint("b", "v2")));
    CHECK_FALSE(sole(150000 + RETENTION_MS));
}

// A gateway that stood still or was cut off may have missed that a version came and went.
TEST_CASE("a service has no sole version for a time in which the list wasn't read for long")
{
    VersionHistory history;
    const std::vector<EndpointRecord> list{endpoint("a", "v1")};
    const auto sole = [&history](std::int64_t ms) {
        return history.soleVersion(serviceKey("s"), milliseconds(5000), at(ms)).has_value();
    };
    history.update(list, at(0));
    history.confirm(at(2500));
    history.confirm(at(5000));
    CHECK(sole(5000));
    history.confirm(at(8001));
    CHECK_FALSE(sole(8001));
    history.confirm(at(10500));
    history.update(list, at(13000));
    CHECK_FALSE(sole(13000));
    CHECK(sole(13001));
}

TEST_CASE("a service has no sole version while an incarnation that isn't listed serves")
{
    VersionHistory history;
    EndpointRecord replaced = endpoint("a", "v1");
    for (int ms = 0; ms <= 20000; ms += 1000) {
        history.update({replaced}, at(ms));
    }
    const ServiceKey service = serviceKey("s");
    REQUIRE(history.soleVersion(service, milliseconds(15000), at(20000)) == versionKey(replaced));
    EndpointRecord next = replaced;
    next.startedAtMs = 5;
    const UnlistedIncarnation notice{service, incarnationKey(next)};
    CHECK(history.noteUnlisted(notice, at(20000)));
    CHECK_FALSE(history.noteUnlisted(notice, at(20500)));
    CHECK(history.noteUnlisted(notice, at(21000)));
    CHECK_FALSE(history.soleVersion(service, milliseconds(15000), at(21000)));

    SECTION("until as long has passed as streams may last")
    {
        for (int ms = 21000; ms <= 36000; ms += 1000) {
            history.update({replaced}, at(ms));
        }
        CHECK_FALSE(history.soleVersion(service, milliseconds(15000), at(35900)));
        CHECK(history.soleVersion(service, milliseconds(15000), at(36000)) == versionKey(replaced));
    }
    SECTION("or the list shows it to be of the same version")
    {
        history.update({next}, at(21500));
        CHECK(history.soleVersion(service, milliseconds(15000), at(21500)) == versionKey(replaced));
    }
    SECTION("or the list shows it to be of another one")
    {
        next.version = "v2";
        history.update({next}, at(21500));
        CHECK_FALSE(history.soleVersion(service, milliseconds(15000), at(21500)));
    }
}

TEST_CASE("messages about streams are the same after encoding and decoding, and cut ones are refused")
{
    const std::string note = encodeStreamNote({5, 6});
    const std::string question = encodeStreamQuestion({7, 8, 9, milliseconds(15000)});
    CHECK(decodeStreamNote(note) == StreamOrigin{5, 6});
    CHECK(decodeStreamQuestion(question)->id == 7);
    CHECK(decodeStreamQuestion(question)->stream == 8);
    CHECK(decodeStreamQuestion(question)->service == 9);
    CHECK(decodeStreamQuestion(question)->span == milliseconds(15000));
    for (const auto version : {std::optional<VersionKey>(3), std::optional<VersionKey>()}) {
        const std::string answer = encodeStreamAnswer({9, 10, version, true});
        REQUIRE(decodeStreamAnswer(answer));
        CHECK(decodeStreamAnswer(answer)->version == version);
        CHECK(decodeStreamAnswer(answer)->isSole);
        CHECK_FALSE(decodeStreamAnswer(answer.substr(0, answer.size() - 1)));
    }
    CHECK(decodeStreamOriginsQuestion(encodeStreamOriginsQuestion({12}))->gateway == 12);
    CHECK(decodeStopNotice(encodeStopNotice({13}))->gateway == 13);
    CHECK_FALSE(decodeStopNotice(encodeStreamOriginsQuestion({13})));
    const std::string unlisted = encodeUnlistedIncarnation({14, 15});
    CHECK(decodeUnlistedIncarnation(unlisted)->service == 14);
    CHECK(decodeUnlistedIncarnation(unlisted)->incarnation == 15);
    CHECK_FALSE(decodeUnlistedIncarnation(note));
    CHECK_FALSE(decodeUnlistedIncarnation(unlisted.substr(0, unlisted.size() - 1)));
    const std::vector<AgedOrigin> origins{{{1, 2}, milliseconds(0)}, {{3, 4}, milliseconds(59999)}};
    const std::string passedOn = encodeStreamOrigins(origins);
    CHECK(decodeStreamOrigins(passedOn) == origins);
    CHECK_FALSE(decodeStreamOrigins(passedOn.substr(0, passedOn.size() - 1)));
    CHECK(decodeStreamOrigins(encodeStreamOrigins(std::vector<AgedOrigin>(200)))->size() == MAX_ORIGINS_IN_DATAGRAM);
    CHECK_FALSE(decodeStreamNote(question));
    CHECK_FALSE(decodeStreamNote(note.substr(0, note.size() - 1)));
    CHECK_FALSE(decodeStreamNote(""));
}
