/** \file
 * State transitions, queries and expiry of idempotency key records.
 */
#include "keytable.h"

#include "errors.h"

#include <array>
#include <utility>

namespace Cyclamenturn
{

namespace
{

const std::array<std::pair<KeyState, const char *>, 6> STATE_NAMES = {{
    {KeyState::Queued, "queued"},
    {KeyState::GatheringEvidence, "gathering"},
    {KeyState::Running, "running"},
    {KeyState::Ended, "ended"},
    {KeyState::OutcomeUnknown, "lost"},
    {KeyState::Tombstone, "tombstone"},
}};

bool mayHaveStarted(KeyState state)
{
    return state == KeyState::Running || state == KeyState::Ended || state == KeyState::OutcomeUnknown;
}

bool isInProgress(KeyState state)
{
    return state == KeyState::Queued || state == KeyState::GatheringEvidence || state == KeyState::Running;
}

}

const char *toString(KeyState state)
{
    for (const auto &[known, name] : STATE_NAMES) {
        if (known == state) {
            return name;
        }
    }
    throw InternalError("key state without a name: add it to STATE_NAMES");
}

KeyState keyStateFromString(const std::string &name)
{
    for (const auto &[state, known] : STATE_NAMES) {
        if (name == known) {
            return state;
        }
    }
    throw UserError("unknown key state '" + name + "': both ends must run compatible versions");
}

std::optional<KeyRecord> KeyTable::find(const std::string &key) const
{
    const auto it = m_records.find(key);
    if (it == m_records.end()) {
        return std::nullopt;
    }
    return it->second;
}

KeyRecord &KeyTable::requireRecord(const std::string &key)
{
    const auto it = m_records.find(key);
    if (it == m_records.end()) {
        throw InternalError("idempotency key has no record in the key table");
    }
    return it->second;
}

void KeyTable::setWaiting(const std::string &key, KeyState state, const std::string &callId, TimePoint issuedAt)
{
    const auto it = m_records.find(key);
    if (it == m_records.end()) {
        m_keysByIssueTime.emplace(issuedAt, key);
    } else if (mayHaveStarted(it->second.state)) {
        throw InternalError("cannot mark an idempotency key as waiting: its call may have started");
    }
    m_records[key] = KeyRecord{state, issuedAt, callId};
}

void KeyTable::setRunning(const std::string &key)
{
    KeyRecord &record = requireRecord(key);
    if (record.state != KeyState::Queued && record.state != KeyState::GatheringEvidence) {
        throw InternalError("cannot mark an idempotency key as running: it is not waiting");
    }
    record.state = KeyState::Running;
}

void KeyTable::setFinished(const std::string &key, KeyState state)
{
    KeyRecord &record = requireRecord(key);
    if (record.state != KeyState::Running) {
        throw InternalError("cannot mark an idempotency key as finished: it is not running");
    }
    record.state = state;
}

void KeyTable::removeWaiting(const std::string &key)
{
    if (mayHaveStarted(requireRecord(key).state)) {
        throw InternalError("cannot remove an idempotency key as waiting: its call may have started");
    }
    m_records.erase(key);
}

void KeyTable::removeNeverStarted(const std::string &key)
{
    if (requireRecord(key).state != KeyState::Running) {
        throw InternalError("cannot remove an idempotency key as never started: it is not marked as running");
    }
    m_records.erase(key);
}

std::optional<KeyRecord> KeyTable::query(const std::string &key, TimePoint issuedAt)
{
    auto known = find(key);
    if (!known) {
        m_keysByIssueTime.emplace(issuedAt, key);
        m_records[key] = KeyRecord{KeyState::Tombstone, issuedAt, ""};
    }
    return known;
}

void KeyTable::expire(TimePoint issuedBefore)
{
    auto it = m_keysByIssueTime.begin();
    while (it != m_keysByIssueTime.end() && it->first < issuedBefore) {
        const auto record = m_records.find(it->second);
        const bool current = record != m_records.end() && record->second.issuedAt == it->first;
        if (current && isInProgress(record->second.state)) {
            ++it;
            continue;
        }
        if (current) {
            m_records.erase(record);
        }
        it = m_keysByIssueTime.erase(it);
    }
}

}
