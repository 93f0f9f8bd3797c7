/** \file
 * The write-behind journal of one agent incarnation: which keys have started, and until when that list is complete.
 * First attempts never wait for it. A resend reads it to prove that a key has not run.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** A closed piece of a journal that moved out of the head. */
struct JournalSegmentRef
{
    std::uint64_t number = 0;
    TimePoint firstIssuedAt;
    TimePoint lastIssuedAt;
};

/** The journal's first value in the store. It also registers the incarnation. */
struct JournalHead
{
    std::string service;
    std::string endpoint;
    std::string vm;
    /** The start of the incarnation in microseconds; a later start is a newer incarnation. */
    std::uint64_t incarnation = 0;
    /** Every key that started up to this time is listed in the head or its segments. */
    TimePoint watermark;
    /** True after a graceful stop: nothing starts any more. */
    bool closed = false;
    /** Set by a successor that knows that this incarnation's process is gone. */
    std::optional<TimePoint> deadBy;
    /** Hashes of started keys that aren't in a segment yet. */
    std::vector<std::uint64_t> startedKeys;
    std::vector<JournalSegmentRef> segments;

    /** Codec for the store, JSON text. decode() throws UserError on text of another shape. */
    std::string encode() const;
    static JournalHead decode(const std::string &text);
};

/** The keys of one segment, as JSON text. decodeSegment() throws UserError. */
std::string encodeSegment(const std::vector<std::uint64_t> &keys);
std::vector<std::uint64_t> decodeSegment(const std::string &text);

/** The store keys of a journal. Example: "heads/desk/desk-1/1700000000000000". */
std::string headPrefix(const std::string &service);
std::string headKey(const JournalHead &head);
std::string segmentKey(const JournalHead &head, std::uint64_t number);

/** One write of the journal: the segment first, where there is one, and then the head. */
struct JournalWrite
{
    JournalHead head;
    std::optional<std::uint64_t> segmentNumber;
    std::vector<std::uint64_t> segmentKeys;
    /** Segments older than the retention time, to be deleted after the head is written. */
    std::vector<std::uint64_t> expiredSegments;
};

/**
 * Collects started keys and says when to write.
 *
 * Invariant: a write's watermark is the time of takeWrite(), and the write lists every key noted before it.
 */
class RunJournal
{
public:
    explicit RunJournal(const JournalHead &identity);

    void setIntervals(Duration interval, Duration idleInterval, Duration retention);

    void recordStarted(std::uint64_t keyHash, TimePoint issuedAt);
    void markClosed();
    /** Makes a write due at once. */
    void requestWrite();

    /** Returns the write that is due, or nothing. At most one write is in flight. */
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
    std::vector<StartedKey> m_started;
    std::uint64_t m_nextSegment = 0;
    std::optional<JournalWrite> m_inFlight;
    /** A failed write is repeated as a whole, so that no segment is lost. */
    std::optional<JournalWrite> m_failed;
    std::optional<TimePoint> m_lastAttempt;
    TimePoint m_storedWatermark;
    bool m_dirty = true;
    bool m_closedInStore = false;
    std::uint64_t m_writes = 0;
};

}
