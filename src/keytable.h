/** \file
 * What one agent incarnation knows of idempotency keys: the memory that answers a resend without running it again.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Cyclamenturn
{

enum class KeyState {
    /** A first attempt waits in the queue. */
    Queued,
    /** A resend waits for evidence that the key has not run. */
    GatheringEvidence,
    Running,
    /** Ran to its end; the answer may still be kept under `callId`. */
    Ended,
    /** Started, and nobody knows how it ended. */
    OutcomeUnknown,
    /** Another agent asked for this key: a first attempt that arrives later must not run here. */
    Tombstone,
};

const char *toString(KeyState state);
/** Throws UserError on an unknown name. */
KeyState keyStateFromString(const std::string &name);

/** What is known of one key. */
struct KeyRecord
{
    KeyState state = KeyState::Tombstone;
    TimePoint issuedAt;
    /** The call whose answer belongs to the key; empty for a tombstone. */
    std::string callId;

    bool operator==(const KeyRecord &other) const
    {
        return state == other.state && issuedAt == other.issuedAt && callId == other.callId;
    }
};

/**
 * The keys that this incarnation has met.
 *
 * Invariant: a key in state Running, Ended or Lost never goes back to a state from which it could start.
 */
class KeyTable
{
public:
    std::optional<KeyRecord> find(const std::string &key) const;

    /** Notes a key in state Queued or Gathering. Throws InternalError when it may have started. */
    void setWaiting(const std::string &key, KeyState state, const std::string &callId, TimePoint issuedAt);
    /** Throws InternalError unless the key was waiting. */
    void setRunning(const std::string &key);
    /** Moves a running key to Ended or Lost. */
    void setFinished(const std::string &key, KeyState state);
    /** Forgets a key that waited and never started. An agent that asked meanwhile was told that it was waiting. */
    void removeNotRun(const std::string &key);
    /** Leaves a tombstone unless the key is known. Returns the record as it was before, if any. */
    std::optional<KeyRecord> query(const std::string &key, TimePoint issuedAt);

    /** Forgets a running key of which it is proved that no byte reached the endpoint. */
    void removeNeverStarted(const std::string &key);

    /** Drops records issued before `horizon`, except those still in progress. */
    void expire(TimePoint issuedBefore);
    std::size_t size() const
    {
        return m_records.size();
    }

private:
    KeyRecord &requireRecord(const std::string &key);

    std::unordered_map<std::string, KeyRecord> m_records;
    /** Each record's key by its issue time, for expiry. */
    std::multimap<TimePoint, std::string> m_keysByIssueTime;
};

}
