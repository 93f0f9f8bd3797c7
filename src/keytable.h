/** \file
 * The idempotency keys known to one agent incarnation. With these records it responds to a resend without a second run.
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

/** State of the call with an idempotency key. */
enum class KeyState {
    /** A first attempt is waiting in the queue. */
    Queued,
    /** A resend is waiting for evidence that no call with its key has run, or for its claim or its start. */
    GatheringEvidence,
    Running,
    /** The run is complete; its response may still be stored under `callId`. */
    Ended,
    /** The run started, but its result is not known. */
    OutcomeUnknown,
    /**
     * Another agent queried this key for a resend and received the response that there is no record of it. A first
     * attempt issued no later than the resend must therefore not run here.
     */
    Tombstone,
};

const char *toString(KeyState state);
/** Throws UserError on an unknown name. */
KeyState keyStateFromString(const std::string &name);

/** Record of one idempotency key. */
struct KeyRecord
{
    KeyState state = KeyState::Tombstone;
    TimePoint issuedAt;
    /** Id of the call with the key; empty for a tombstone. */
    std::string callId;

    bool operator==(const KeyRecord &other) const
    {
        return state == other.state && issuedAt == other.issuedAt && callId == other.callId;
    }
};

/**
 * Table of the idempotency keys that this incarnation has received in calls or queries.
 *
 * Invariant: a key in state Running, Ended or OutcomeUnknown never returns to a state from which it could start.
 */
class KeyTable
{
public:
    std::optional<KeyRecord> find(const std::string &key) const;

    /** Records a key in state Queued or GatheringEvidence. Throws InternalError if its call may have started. */
    void setWaiting(const std::string &key, KeyState state, const std::string &callId, TimePoint issuedAt);
    /** Sets the state of a waiting key to Running. Throws InternalError if the key is not waiting. */
    void setRunning(const std::string &key);
    /** Sets the state of a running key to Ended or OutcomeUnknown. Throws InternalError if the key is not running. */
    void setFinished(const std::string &key, KeyState state);
    /**
     * Removes a waiting key whose call never started. No tombstone is needed, because any agent that queried the key in
     * the meantime received a record in a waiting state. Throws InternalError if the call may have started.
     */
    void removeWaiting(const std::string &key);
    /** Returns the record of a key. If there is none, adds a tombstone and returns nothing. */
    std::optional<KeyRecord> query(const std::string &key, TimePoint issuedAt);

    /**
     * Removes a key in state Running when it is proved that no byte of its call reached the endpoint. Throws
     * InternalError if the key is not in state Running.
     */
    void removeNeverStarted(const std::string &key);

    /** Removes records issued before `issuedBefore`, except those still in progress. */
    void expire(TimePoint issuedBefore);
    std::size_t size() const
    {
        return m_records.size();
    }

private:
    KeyRecord &requireRecord(const std::string &key);

    std::unordered_map<std::string, KeyRecord> m_records;
    /** The keys of the records by issue time, for expiry. */
    std::multimap<TimePoint, std::string> m_keysByIssueTime;
};

}
