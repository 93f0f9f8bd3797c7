/** \file
 * The write-behind journal of one agent incarnation in the store. It lists the idempotency keys that have started and
 * the time up to which the list is complete. First attempts never wait for a journal write. A resend reads the journals
 * to prove that its key has not run.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** Reference to a segment: a part of the key list that has moved from the head to a value of its own. */
struct JournalSegmentRef
{
    std::uint64_t number = 0;
    TimePoint firstIssuedAt;
    TimePoint lastIssuedAt;
};

/** The main value of a journal in the store. It also registers the incarnation. */
struct JournalHead
{
    std::string service;
    std::string endpoint;
    std::string vm;
    /** Start time of the process in microseconds since the epoch; a larger number is a newer incarnation. */
    std::uint64_t incarnation = 0;
    /** The head and its segments list every key that started up to this time. */
    TimePoint watermark;
    /** True after a graceful stop; no key starts after it. */
    bool closed = false;
    /** Set by the successor that seals this journal: the time by which the process of this incarnation has ended. */
    std::optional<TimePoint> terminatedBy;
    /** Hashes of the started keys that are not in a segment. */
    std::vector<std::uint64_t> startedKeys;
    std::vector<JournalSegmentRef> segments;

    /** JSON codec for the store. decode() throws UserError on malformed text. */
    std::string encode() const;
    static JournalHead decode(const std::string &text);
};

/** JSON codec for the keys of one segment. decodeSegment() throws UserError on malformed text. */
std::string encodeSegment(const std::vector<std::uint64_t> &keys);
std::vector<std::uint64_t> decodeSegment(const std::string &text);

/** Store keys of a journal. Example of a head's key: "heads/desk/desk-1/1700000000000000". */
std::string headPrefix(const std::string &service);
std::string headKey(const JournalHead &head);
std::string segmentKey(const JournalHead &head, std::uint64_t number);

/** One write of the journal. The segment, if there is one, is written before the head. */
struct JournalWrite
{
    JournalHead head;
    std::optional<std::uint64_t> segmentNumber;
    std::vector<std::uint64_t> segmentKeys;
    /** Segments past the retention time, to be deleted after the head has been written. */
    std::vector<std::uint64_t> expiredSegments;
};

/**
 * Collects started keys and decides when to write them.
 *
 * Invariant: the watermark of a write is the time of takeWrite(), and the write lists every key recorded before it.
 */
class RunJournal
{
public:
    explicit RunJournal(const JournalHead &identity);

    /**
     * \param interval minimum time between writes while there are new keys or a failed write
     * \param idleInterval minimum time between writes that only advance the watermark
     * \param retention time after the latest issue time of its keys for which a segment is kept
     */
    void setIntervals(Duration interval, Duration idleInterval, Duration retention);

    void recordStarted(std::uint64_t keyHash, TimePoint issuedAt);
    /** Marks the journal as closed and makes the write that stores this due. */
    void markClosed();
    /** Makes a write due immediately. */
    void requestWrite();

    /** Returns the write that is due, if any. At most one write is in flight. */
    std::optional<JournalWrite> takeWrite(TimePoint now);
    void writeSucceeded(TimePoint now);
    void writeFailed(TimePoint now);

    bool isClosedInStore() const
    {
        return m_closedInStore;
    }
    TimePoint storedWatermark() const
    {
        return m_storedWatermark;
    }
    std::uint64_t writes() const
    {
        return m_writes;
    }

private:
    struct StartedKey
    {
        std::uint64_t keyHash;
        TimePoint issuedAt;
    };

    bool isDue(TimePoint now) const;
    void rollSegment(JournalWrite &write);
    void dropExpired(JournalWrite &write, TimePoint now);

    JournalHead m_head;
    Duration m_interval{};
    Duration m_idleInterval{};
    Duration m_retention{};
    std::vector<StartedKey> m_startedKeys;
    std::uint64_t m_nextSegment = 0;
    std::optional<JournalWrite> m_writeInFlight;
    /** The last failed write. Its segment is included in the next write, so that it is not lost. */
    std::optional<JournalWrite> m_failedWrite;
    /** Time of the last write or of its result; empty if a write is due immediately. */
    std::optional<TimePoint> m_lastAttempt;
    TimePoint m_storedWatermark;
    /** True if the journal has changes that are neither stored nor part of the write in flight. */
    bool m_dirty = true;
    bool m_closedInStore = false;
    std::uint64_t m_writes = 0;
};

}
