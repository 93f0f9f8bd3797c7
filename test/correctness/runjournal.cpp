/** \file
 * Tests of RunJournal: contents and times of writes, and no loss of keys when a write fails.
 */
#include "runjournal.h"
#include "fixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Cyclamenturn;

namespace
{

JournalHead identity()
{
    JournalHead head;
    head.service = "desk";
    head.endpoint = "desk-1";
    head.vm = "vm";
    head.incarnation = 7;
    return head;
}

RunJournal makeJournal()
{
    RunJournal journal(identity());
    journal.setIntervals(milliseconds(1000), milliseconds(5000), milliseconds(60000));
    return journal;
}

bool containsKey(const std::vector<std::uint64_t> &keys, std::uint64_t key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}

TEST_CASE("the first write is due immediately and registers the incarnation")
{
    RunJournal journal = makeJournal();
    const auto write = journal.takeWrite(at(0));
    REQUIRE(write);
    CHECK(write->head.watermark == at(0));
    CHECK_FALSE(journal.takeWrite(at(0)));
}

TEST_CASE("new keys are written after the interval, the watermark of an idle agent after the idle interval")
{
    RunJournal journal = makeJournal();
    journal.takeWrite(at(0));
    journal.writeSucceeded(at(5));
    CHECK_FALSE(journal.takeWrite(at(4000)));
    journal.recordStarted(11, at(4000));
    const auto write = journal.takeWrite(at(4001));
    REQUIRE(write);
    CHECK(containsKey(write->head.startedKeys, 11));
    journal.writeSucceeded(at(4002));
    CHECK_FALSE(journal.takeWrite(at(9000)));
    CHECK(journal.takeWrite(at(9002)));
}

TEST_CASE("the write after a failed one contains its keys and has a new watermark")
{
    RunJournal journal = makeJournal();
    journal.takeWrite(at(0));
    journal.writeSucceeded(at(0));
    journal.recordStarted(11, at(1500));
    journal.takeWrite(at(1500));
    journal.writeFailed(at(1600));
    CHECK(journal.storedWatermark() == at(0));
    journal.recordStarted(12, at(2000));
    const auto write = journal.takeWrite(at(2600));
    REQUIRE(write);
    CHECK(containsKey(write->head.startedKeys, 11));
    CHECK(containsKey(write->head.startedKeys, 12));
    CHECK(write->head.watermark == at(2600));
}

TEST_CASE("keys above the limit of the head move to a segment, and a failed write is repeated with its segment")
{
    RunJournal journal = makeJournal();
    journal.takeWrite(at(0));
    journal.writeSucceeded(at(0));
    for (std::uint64_t key = 1; key <= 100; ++key) {
        journal.recordStarted(key, at(1000));
    }
    const auto first = journal.takeWrite(at(1000));
    REQUIRE(first);
    REQUIRE(first->segmentNumber == std::uint64_t(0));
    CHECK(containsKey(first->segmentKeys, 1));
    CHECK(containsKey(first->segmentKeys, 100));
    CHECK(first->head.startedKeys.empty());
    journal.writeFailed(at(1100));
    const auto second = journal.takeWrite(at(2200));
    REQUIRE(second);
    CHECK(second->segmentNumber == std::uint64_t(0));
    CHECK(second->segmentKeys == first->segmentKeys);
    journal.writeSucceeded(at(2200));
    const auto last = journal.takeWrite(at(90000));
    REQUIRE(last);
    CHECK(last->expiredSegments == std::vector<std::uint64_t>{0});
}

TEST_CASE("the closing write follows a write in flight")
{
    RunJournal journal = makeJournal();
    journal.takeWrite(at(0));
    journal.markClosed();
    journal.writeSucceeded(at(10));
    CHECK_FALSE(journal.isClosedInStore());
    const auto write = journal.takeWrite(at(10));
    REQUIRE(write);
    CHECK(write->head.closed);
    journal.writeSucceeded(at(20));
    CHECK(journal.isClosedInStore());
    CHECK_FALSE(journal.takeWrite(at(60000)));
}

TEST_CASE("a journal head is unchanged after encoding and decoding")
{
    JournalHead head = identity();
    head.watermark = at(5);
    head.terminatedBy = at(9);
    head.startedKeys = {1, 0xffffffffffffffffULL};
    head.segments = {{3, at(1), at(2)}};
    const JournalHead decoded = JournalHead::decode(head.encode());
    CHECK(decoded.encode() == head.encode());
    CHECK(decoded.startedKeys == head.startedKeys);
    CHECK(decoded.terminatedBy == head.terminatedBy);
}
