/** \file
 * Known endpoints after changes of the list, outdated lists and outages of the list.
 */
#include "gateway/endpointdirectory.h"

#include <catch2/catch.hpp>
#include <set>

using namespace Cyclamenturn;

namespace
{

EndpointRecord record(const std::string &id, bool leaving = false, std::int64_t startedAtMs = 1)
{
    EndpointRecord out;
    out.id = id;
    out.service = "s";
    out.address = {"10.0.0.1", 80};
    out.isLeaving = leaving;
    out.startedAtMs = startedAtMs;
    return out;
}

const TimePoint START = timeFromMilliseconds(100000);

TimePoint at(std::int64_t ms)
{
    return START + milliseconds(ms);
}

std::vector<EndpointChange::Kind> kinds(const std::vector<EndpointChange> &changes)
{
    std::vector<EndpointChange::Kind> out;
    out.reserve(changes.size());
    for (const auto &change : changes) {
        out.push_back(change.kind);
    }
    return out;
}

using Kind = EndpointChange::Kind;

}

// The start was the seed of the hash, which is weak for short texts: "i-0" of 2 had the name of "i-1" of 1.
TEST_CASE("incarnations of endpoints with short ids have names of their own")
{
    std::set<std::string> names;
    for (int id = 0; id < 100; ++id) {
        for (std::int64_t start = 1; start <= 100; ++start) {
            EndpointRecord record;
            record.id = "i-" + std::to_string(id);
            record.startedAtMs = start;
            names.insert(record.incarnationName());
        }
    }
    // Of 10,000 names of 32 bits, chance lets a few pairs be equal at the most.
    CHECK(names.size() >= 9990);
}

TEST_CASE("leaving and removed endpoints get no requests")
{
    EndpointDirectory directory;
    directory.apply({record("a"), record("b"), record("c")}, {1, 1}, at(0));
    CHECK(kinds(directory.apply({record("a"), record("b", true)}, {1, 2}, at(1000)))
        == std::vector<Kind>{Kind::Leaving, Kind::Removed});
    REQUIRE(directory.usable("s").size() == 1);
    CHECK(directory.usable("s")[0]->id == "a");
    CHECK(directory.usable("other").empty());
}

TEST_CASE("an older list is ignored")
{
    EndpointDirectory directory;
    directory.apply({record("a", true)}, {1, 5}, at(0));
    CHECK(directory.apply({record("a")}, {1, 4}, at(100)).empty());
    CHECK(directory.usable("s").empty());
    CHECK(directory.revision() == StoreRevision{1, 5});
}

TEST_CASE("entries that expired during an outage are kept until live endpoints are listed again")
{
    EndpointDirectory directory;
    directory.apply({record("a"), record("b")}, {1, 1}, at(0));
    directory.noteReadFailed();
    CHECK(directory.apply({}, {1, 9}, at(5000)).empty());
    CHECK(directory.usable("s").size() == 2);
    directory.apply({record("a")}, {1, 10}, at(6500));
    CHECK(directory.usable("s").size() == 2);
    CHECK(kinds(directory.apply({record("a")}, {1, 11}, at(7400))) == std::vector<Kind>{Kind::Removed});
    CHECK(directory.usable("s").size() == 1);
}

TEST_CASE("a single failed read doesn't count as an outage")
{
    EndpointDirectory directory;
    directory.apply({record("a"), record("b")}, {1, 1}, at(0));
    directory.noteReadFailed();
    CHECK(kinds(directory.apply({record("a")}, {1, 2}, at(1500))) == std::vector<Kind>{Kind::Removed});
}

TEST_CASE("a list of a restored store is newer whatever its revision")
{
    EndpointDirectory directory;
    directory.apply({record("a"), record("b")}, {1, 90}, at(0));
    CHECK(kinds(directory.apply({record("a", true), record("c")}, {2, 40}, at(1000)))
        == std::vector<Kind>{Kind::Leaving, Kind::Added});
    CHECK(directory.usable("s").size() == 2); // b may not have registered again yet
    CHECK(kinds(directory.apply({record("a", true), record("c")}, {2, 44}, at(3400)))
        == std::vector<Kind>{Kind::Removed});
}

TEST_CASE("a restored store doesn't bring back endpoints that left or have gone")
{
    EndpointDirectory directory;
    directory.apply({record("a"), record("b"), record("c")}, {1, 90}, at(0));
    directory.apply({record("a", true), record("c")}, {1, 95}, at(1000));
    CHECK(directory.apply({record("a"), record("b"), record("c")}, {2, 90}, at(2000)).empty());
    REQUIRE(directory.usable("s").size() == 1);
    CHECK(directory.usable("s")[0]->id == "c");
    CHECK(kinds(directory.apply({record("a", false, 2), record("b", false, 2), record("c")}, {2, 93}, at(2500)))
        == std::vector<Kind>{Kind::Restarted, Kind::Added});
    CHECK(directory.usable("s").size() == 3);
}

TEST_CASE("an endpoint whose entry expired and that is listed again is used again")
{
    EndpointDirectory directory;
    directory.apply({record("a"), record("b")}, {1, 90}, at(0));
    directory.apply({record("a")}, {1, 95}, at(1000));
    CHECK(kinds(directory.apply({record("a"), record("b")}, {1, 96}, at(1500))) == std::vector<Kind>{Kind::Added});
}

TEST_CASE("a restart under the same id is reported as a new incarnation")
{
    EndpointDirectory directory;
    directory.apply({record("a")}, {1, 1}, at(0));
    CHECK(kinds(directory.apply({record("a", false, 2)}, {1, 2}, at(1000))) == std::vector<Kind>{Kind::Restarted});
}

TEST_CASE("a list without changes is confirmed, unless entries were kept or left out")
{
    EndpointDirectory directory;
    CHECK_FALSE(directory.confirm({1, 1}, at(0)));
    directory.apply({record("a")}, {1, 90}, at(0));
    CHECK(directory.confirm({1, 91}, at(500)));
    CHECK(directory.revision() == StoreRevision{1, 91});
    CHECK(directory.readAt() == at(500));
    CHECK_FALSE(directory.confirm({1, 89}, at(600)));
    CHECK_FALSE(directory.confirm({2, 95}, at(600)));
    directory.noteReadFailed();
    CHECK_FALSE(directory.confirm({1, 92}, at(5000)));
    // The missing entry is kept for a while after the outage, and removed by a later list without changes.
    CHECK(directory.apply({}, {1, 93}, at(5000)).empty());
    CHECK_FALSE(directory.confirm({1, 94}, at(6000)));
    CHECK(kinds(directory.apply({}, {1, 95}, at(9000))) == std::vector<Kind>{Kind::Removed});
    CHECK(directory.confirm({1, 96}, at(9500)));
}
