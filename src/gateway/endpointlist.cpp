/** \file
 * Copy of the endpoint list, and serialization of its updates.
 */
#include "endpointlist.h"

#include "peerdatagram.h"
#include "rendezvoushash.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace Cyclamenturn
{

namespace
{

/** Counts are written as one byte. */
constexpr std::size_t MAX_ITEMS = 255;

void write(Poco::BinaryWriter &out, const EndpointRecord &record)
{
    out << record.id << record.service << record.address.host << static_cast<Poco::UInt16>(record.address.port)
        << record.failureDomain << record.version << Poco::Int32(record.slots) << record.isLeaving
        << Poco::Int64(record.startedAtMs);
}

bool read(Poco::BinaryReader &in, EndpointRecord &record)
{
    Poco::UInt16 port = 0;
    Poco::Int32 slots = 0;
    Poco::Int64 startedAtMs = 0;
    if (!readText(in, record.id) || !readText(in, record.service) || !readText(in, record.address.host)) {
        return false;
    }
    in >> port;
    if (!readText(in, record.failureDomain) || !readText(in, record.version)) {
        return false;
    }
    in >> slots >> record.isLeaving >> startedAtMs;
    record.address.port = port;
    record.slots = slots;
    record.startedAtMs = startedAtMs;
    return in.good();
}

std::uint64_t hashOfRecord(const EndpointRecord &record)
{
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    write(out, record);
    out.flush();
    return contentHash(stream.str());
}

}

bool EndpointList::isEqualTo(const std::vector<EndpointRecord> &list) const
{
    return list.size() == m_entries.size() && std::all_of(list.begin(), list.end(), [this](const auto &record) {
        const auto known = m_entries.find(record.id);
        return known != m_entries.end() && known->second.record == record;
    });
}

void EndpointList::set(const EndpointRecord &record, TimePoint now)
{
    Entry &entry = m_entries[record.id];
    if (entry.record == record) {
        return;
    }
    m_hash ^= entry.hash;
    entry = {record, now, hashOfRecord(record)};
    m_hash ^= entry.hash;
    m_removed.erase(record.id);
    ++m_generation;
}

void EndpointList::remove(const std::string &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    m_hash ^= found->second.hash;
    m_entries.erase(found);
    m_removed[id] = now;
    ++m_generation;
}

void EndpointList::expireRemovals(TimePoint now)
{
    for (auto it = m_removed.begin(); it != m_removed.end();) {
        it = now - it->second >= CHANGE_RETENTION ? m_removed.erase(it) : std::next(it);
    }
}

void EndpointList::replace(const std::vector<EndpointRecord> &list, const StoreRevision &revision, TimePoint now)
{
    if (revision.era == m_revision.era && revision < m_revision) {
        return;
    }
    const bool isFirst = m_revision == StoreRevision() && m_entries.empty();
    m_revision = revision;
    expireRemovals(now);
    if (isEqualTo(list)) {
        return;
    }
    std::set<std::string> missing;
    for (const auto &[id, entry] : m_entries) {
        missing.insert(id);
    }
    // The others have read the list, too, or know from the hash that they have to.
    const TimePoint changedAt = isFirst ? TimePoint() : now;
    for (const auto &record : list) {
        set(record, changedAt);
        missing.erase(record.id);
    }
    for (const auto &id : missing) {
        remove(id, now);
    }
}

std::uint64_t EndpointList::hashAfter(const EndpointListUpdate &update) const
{
    // An entry may be removed and listed again in the same update.
    std::map<std::string, std::uint64_t> hashes;
    for (const auto &id : update.removed) {
        hashes[id] = 0;
    }
    for (const auto &record : update.changed) {
        hashes[record.id] = hashOfRecord(record);
    }
    std::uint64_t out = m_hash;
    for (const auto &[id, hash] : hashes) {
        const auto known = m_entries.find(id);
        out ^= hash ^ (known == m_entries.end() ? 0 : known->second.hash);
    }
    return out;
}

bool EndpointList::merge(const EndpointListUpdate &update, TimePoint now)
{
    const bool isOutdated = update.revision < m_revision || m_revision == StoreRevision();
    if (isOutdated || hashAfter(update) != update.hash) {
        return false;
    }
    for (const auto &id : update.removed) {
        const bool isListed = std::any_of(
            update.changed.begin(), update.changed.end(), [&id](const auto &record) { return record.id == id; });
        if (!isListed) {
            remove(id, now);
        }
    }
    for (const auto &record : update.changed) {
        set(record, now);
    }
    expireRemovals(now);
    m_revision = update.revision;
    return true;
}

EndpointListUpdate EndpointList::recentChanges(TimePoint now) const
{
    EndpointListUpdate out;
    out.revision = m_revision;
    out.hash = m_hash;
    for (const auto &[id, entry] : m_entries) {
        if (now - entry.changedAt < CHANGE_RETENTION) {
            out.changed.push_back(entry.record);
        }
    }
    for (const auto &[id, removedAt] : m_removed) {
        if (now - removedAt < CHANGE_RETENTION) {
            out.removed.push_back(id);
        }
    }
    return out;
}

std::vector<EndpointRecord> EndpointList::records() const
{
    std::vector<EndpointRecord> out;
    out.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        out.push_back(entry.record);
    }
    return out;
}

std::optional<std::string> encodeListUpdate(const EndpointListUpdate &update)
{
    if (update.changed.size() > MAX_ITEMS || update.removed.size() > MAX_ITEMS) {
        return std::nullopt;
    }
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    out << static_cast<Poco::UInt8>(DatagramKind::EndpointListUpdate) << Poco::UInt64(update.revision.revision)
        << Poco::UInt64(update.hash) << static_cast<Poco::UInt8>(update.changed.size());
    for (const auto &record : update.changed) {
        write(out, record);
    }
    out << static_cast<Poco::UInt8>(update.removed.size());
    for (const auto &id : update.removed) {
        out << id;
    }
    out << Poco::UInt64(update.revision.era);
    out.flush();
    std::string bytes = stream.str();
    return bytes.size() > MAX_DATAGRAM_BYTES ? std::nullopt : std::optional<std::string>(std::move(bytes));
}

std::optional<EndpointListUpdate> decodeListUpdate(const std::string &bytes)
{
    std::istringstream stream(bytes);
    Poco::BinaryReader in(stream, Poco::BinaryReader::NETWORK_BYTE_ORDER);
    Poco::UInt8 kind = 0;
    Poco::UInt64 revision = 0;
    Poco::UInt64 hash = 0;
    Poco::UInt8 count = 0;
    in >> kind >> revision >> hash >> count;
    if (!in.good() || kind != static_cast<Poco::UInt8>(DatagramKind::EndpointListUpdate)) {
        return std::nullopt;
    }
    EndpointListUpdate out;
    out.hash = hash;
    for (int i = 0; i < count; ++i) {
        EndpointRecord record;
        if (!read(in, record)) {
            return std::nullopt;
        }
        out.changed.push_back(std::move(record));
    }
    count = 0;
    in >> count;
    for (int i = 0; i < count; ++i) {
        std::string id;
        if (!readText(in, id)) {
            return std::nullopt;
        }
        out.removed.push_back(std::move(id));
    }
    Poco::UInt64 era = 0;
    in >> era;
    out.revision = {era, revision};
    if (!in.good()) {
        return std::nullopt;
    }
    return out;
}

}
