/** \file
 * Scheduling and codec of journal writes.
 */
#include "runjournal.h"

#include "errors.h"
#include "jsoncodec.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Maximum number of keys in the head before they move to a segment. It keeps a write of the head below 2 KB. */
constexpr std::size_t HEAD_KEY_LIMIT = 64;
/** Hexadecimal digits of a 64-bit hash. */
constexpr int HASH_DIGITS = 16;

std::string toHexadecimal(std::uint64_t value)
{
    static const char DIGITS[] = "0123456789abcdef";
    std::string out(HASH_DIGITS, '0');
    for (int i = HASH_DIGITS - 1; i >= 0; --i) {
        out[static_cast<std::size_t>(i)] = DIGITS[value & 15];
        value >>= 4;
    }
    return out;
}

Json::Value encodeKeys(const std::vector<std::uint64_t> &keys)
{
    Json::Value out(Json::arrayValue);
    for (const auto key : keys) {
        out.append(toHexadecimal(key));
    }
    return out;
}

std::vector<std::uint64_t> decodeKeys(const Json::Value &value)
{
    std::vector<std::uint64_t> out;
    for (const auto &item : value) {
        if (!item.isString() || item.asString().size() != HASH_DIGITS
            || item.asString().find_first_not_of("0123456789abcdef") != std::string::npos) {
            throw UserError("invalid key hash in journal: expected 16 hexadecimal digits");
        }
        out.push_back(std::stoull(item.asString(), nullptr, 16));
    }
    return out;
}

}

std::string JournalHead::encode() const
{
    Json::Value out;
    out["service"] = service;
    out["endpoint"] = endpoint;
    out["vm"] = vm;
    out["incarnation"] = Json::UInt64(incarnation);
    out["watermark_us"] = Json::Int64(watermark.time_since_epoch().count());
    out["closed"] = closed;
    if (terminatedBy) {
        out["dead_by_us"] = Json::Int64(terminatedBy->time_since_epoch().count());
    }
    out["started"] = encodeKeys(startedKeys);
    out["segments"] = Json::Value(Json::arrayValue);
    for (const auto &segment : segments) {
        Json::Value item;
        item["number"] = Json::UInt64(segment.number);
        item["first_us"] = Json::Int64(segment.firstIssuedAt.time_since_epoch().count());
        item["last_us"] = Json::Int64(segment.lastIssuedAt.time_since_epoch().count());
        out["segments"].append(item);
    }
    return toJsonText(out);
}

JournalHead JournalHead::decode(const std::string &text)
{
    const JsonObject in(parseJson(text));
    JournalHead out;
    out.service = in.text("service");
    out.endpoint = in.text("endpoint");
    out.vm = in.text("vm");
    out.incarnation = static_cast<std::uint64_t>(in.integer("incarnation"));
    out.watermark = TimePoint(Duration(in.integer("watermark_us")));
    out.closed = in.boolean("closed");
    if (in.has("dead_by_us")) {
        out.terminatedBy = TimePoint(Duration(in.integer("dead_by_us")));
    }
    out.startedKeys = decodeKeys(in.array("started"));
    for (const auto &item : in.array("segments")) {
        const JsonObject segment(item);
        out.segments.push_back({static_cast<std::uint64_t>(segment.integer("number")),
            TimePoint(Duration(segment.integer("first_us"))), TimePoint(Duration(segment.integer("last_us")))});
    }
    return out;
}

std::string encodeSegment(const std::vector<std::uint64_t> &keys)
{
    return toJsonText(encodeKeys(keys));
}

std::vector<std::uint64_t> decodeSegment(const std::string &text)
{
    const Json::Value value = parseJson(text);
    if (!value.isArray()) {
        throw UserError("invalid journal segment: expected a JSON array");
    }
    return decodeKeys(value);
}

std::string headPrefix(const std::string &service)
{
    return "heads/" + service + "/";
}

std::string headKey(const JournalHead &head)
{
    return headPrefix(head.service) + head.endpoint + "/" + std::to_string(head.incarnation);
}

std::string segmentKey(const JournalHead &head, std::uint64_t number)
{
    return "segments/" + head.service + "/" + head.endpoint + "/" + std::to_string(head.incarnation) + "/"
        + std::to_string(number);
}

RunJournal::RunJournal(const JournalHead &identity)
    : m_head(identity)
{
}

void RunJournal::setIntervals(Duration interval, Duration idleInterval, Duration retention)
{
    m_interval = interval;
    m_idleInterval = idleInterval;
    m_retention = retention;
}

void RunJournal::recordStarted(std::uint64_t keyHash, TimePoint issuedAt)
{
    m_startedKeys.push_back({keyHash, issuedAt});
    m_dirty = true;
}

void RunJournal::markClosed()
{
    m_head.closed = true;
    m_dirty = true;
    m_lastAttempt.reset();
}

bool RunJournal::isDue(TimePoint now) const
{
    if (m_writeInFlight || m_closedInStore) {
        return false;
    }
    if (!m_lastAttempt) {
        return true;
    }
    const Duration wait = m_dirty || m_failedWrite ? m_interval : m_idleInterval;
    return now - *m_lastAttempt >= wait;
}

void RunJournal::requestWrite()
{
    m_lastAttempt.reset();
}

std::optional<JournalWrite> RunJournal::takeWrite(TimePoint now)
{
    if (!isDue(now)) {
        return std::nullopt;
    }
    JournalWrite write;
    if (m_failedWrite) {
        write = *m_failedWrite;
        m_failedWrite.reset();
    }
    if (m_startedKeys.size() > HEAD_KEY_LIMIT && !write.segmentNumber) {
        rollSegment(write);
    }
    dropExpired(write, now);
    write.head = m_head;
    write.head.watermark = now;
    for (const auto &started : m_startedKeys) {
        write.head.startedKeys.push_back(started.keyHash);
    }
    m_dirty = false;
    m_lastAttempt = now;
    m_writeInFlight = write;
    return write;
}

void RunJournal::rollSegment(JournalWrite &write)
{
    const auto byIssue = [](const StartedKey &a, const StartedKey &b) {
        return a.issuedAt < b.issuedAt;
    };
    const auto [first, last] = std::minmax_element(m_startedKeys.begin(), m_startedKeys.end(), byIssue);
    m_head.segments.push_back({m_nextSegment, first->issuedAt, last->issuedAt});
    write.segmentNumber = m_nextSegment;
    ++m_nextSegment;
    for (const auto &started : m_startedKeys) {
        write.segmentKeys.push_back(started.keyHash);
    }
    m_startedKeys.clear();
}

void RunJournal::dropExpired(JournalWrite &write, TimePoint now)
{
    const TimePoint retentionStart = now - m_retention;
    auto &segments = m_head.segments;
    while (!segments.empty() && segments.front().lastIssuedAt < retentionStart) {
        write.expiredSegments.push_back(segments.front().number);
        segments.erase(segments.begin());
    }
}

void RunJournal::writeSucceeded(TimePoint now)
{
    if (!m_writeInFlight) {
        throw InternalError("received the result of a journal write while none is in flight");
    }
    m_storedWatermark = m_writeInFlight->head.watermark;
    m_closedInStore = m_writeInFlight->head.closed;
    m_writeInFlight.reset();
    m_lastAttempt = now;
    if (m_head.closed && !m_closedInStore) {
        m_lastAttempt.reset();
    }
    ++m_writes;
}

void RunJournal::writeFailed(TimePoint now)
{
    if (!m_writeInFlight) {
        throw InternalError("received the result of a journal write while none is in flight");
    }
    m_failedWrite = m_writeInFlight;
    m_writeInFlight.reset();
    m_lastAttempt = now;
    m_dirty = true;
}

}
