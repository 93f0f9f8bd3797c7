/** \file
 * Serialization of usage messages by POCO's binary streams in network byte order.
 */
#include "usagemessages.h"

#include "peerdatagram.h"

#include <algorithm>
#include <limits>
#include <sstream>

namespace Cyclamenturn
{

namespace
{

/** As readText() accepts. */
constexpr std::size_t MAX_NAME_BYTES = 128;
/** Kind, incarnation, window, state, sum and number of entries. */
constexpr std::size_t FIXED_BYTES = 1 + 8 + 8 + 1 + 8 + 2;
/** Bytes of an entry besides the team's name: the name's length, which takes two bytes from 128 on, and the count. */
constexpr std::size_t ENTRY_BYTES = 2 + 4;

using Entries = std::vector<std::pair<std::string, Poco::UInt32>>;

Entries encodableEntries(const UsageCounts &counts)
{
    Entries out;
    for (const auto &[team, count] : counts.byTeam) {
        if (!team.empty() && team.size() <= MAX_NAME_BYTES) {
            out.emplace_back(team,
                static_cast<Poco::UInt32>(std::min<std::uint64_t>(count, std::numeric_limits<Poco::UInt32>::max())));
        }
    }
    return out;
}

std::string encodePart(
    const UsageStatement &statement, Poco::UInt64 total, Entries::const_iterator begin, Entries::const_iterator end)
{
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    out << static_cast<Poco::UInt8>(DatagramKind::UsageCounts) << statement.gateway
        << Poco::UInt64(statement.incarnation) << Poco::Int64(statement.counts.window)
        << static_cast<Poco::UInt8>(statement.state) << total << static_cast<Poco::UInt16>(end - begin);
    for (auto it = begin; it != end; ++it) {
        out << it->first << it->second;
    }
    out.flush();
    return stream.str();
}

/** Reads the kind and then the fields by `read`, which returns whether they are valid, up to the end of the bytes. */
template<typename Message, typename Read>
std::optional<Message> decode(const std::string &bytes, DatagramKind expected, Read read)
{
    std::istringstream stream(bytes);
    Poco::BinaryReader in(stream, Poco::BinaryReader::NETWORK_BYTE_ORDER);
    Poco::UInt8 kind = 0;
    in >> kind;
    Message out;
    if (kind != static_cast<Poco::UInt8>(expected) || !read(in, out) || !in.good()
        || stream.peek() != std::istringstream::traits_type::eof()) {
        return std::nullopt;
    }
    return out;
}

}

std::string encodeUsageQuery(const UsageQuery &query)
{
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    const std::size_t copies = std::min(query.copiesOf.size(), UsageQuery::MAX_COPIES);
    out << static_cast<Poco::UInt8>(DatagramKind::UsageQuery) << Poco::UInt64(query.fencingToken) << query.holder
        << Poco::Int64(query.first) << Poco::Int64(query.end) << Poco::UInt8(query.wantsAllCopies ? 1 : 0)
        << static_cast<Poco::UInt16>(copies);
    for (std::size_t i = 0; i < copies; ++i) {
        out << Poco::UInt32(query.copiesOf[i]);
    }
    out.flush();
    return stream.str();
}

std::optional<UsageQuery> decodeUsageQuery(const std::string &bytes)
{
    return decode<UsageQuery>(bytes, DatagramKind::UsageQuery, [](Poco::BinaryReader &in, UsageQuery &out) {
        Poco::UInt64 token = 0;
        Poco::Int64 first = 0;
        Poco::Int64 end = 0;
        Poco::UInt16 copies = 0;
        in >> token;
        if (!readText(in, out.holder) || out.holder.empty()) {
            return false;
        }
        // Reading a bool from a byte other than 0 and 1 is undefined.
        Poco::UInt8 wantsAllCopies = 0;
        in >> first >> end >> wantsAllCopies >> copies;
        const bool isRange = first >= 0 && first <= end && end - first <= UsageQuery::MAX_WINDOWS;
        if (!in.good() || !isRange || wantsAllCopies > 1 || copies > UsageQuery::MAX_COPIES) {
            return false;
        }
        for (Poco::UInt16 i = 0; i < copies; ++i) {
            Poco::UInt32 hash = 0;
            in >> hash;
            out.copiesOf.push_back(hash);
        }
        out.fencingToken = token;
        out.wantsAllCopies = wantsAllCopies == 1;
        out.first = first;
        out.end = end;
        return true;
    });
}

std::vector<std::string> encodeUsageCounts(const UsageStatement &statement)
{
    const Entries entries = encodableEntries(statement.counts);
    Poco::UInt64 total = statement.total;
    if (entries.size() != statement.counts.byTeam.size()) {
        // Otherwise the receiver would wait for the entries that are left out.
        std::uint64_t encodable = 0;
        for (const auto &[team, count] : entries) {
            encodable += count;
        }
        total -= requestsIn(statement.counts) - encodable;
    }
    std::vector<std::string> out;
    auto begin = entries.begin();
    do {
        std::size_t size = FIXED_BYTES + 2 + statement.gateway.size();
        auto end = begin;
        while (end != entries.end() && size + ENTRY_BYTES + end->first.size() <= MAX_DATAGRAM_BYTES) {
            size += ENTRY_BYTES + end->first.size();
            ++end;
        }
        out.push_back(encodePart(statement, total, begin, end));
        begin = end;
    } while (begin != entries.end());
    return out;
}

std::optional<UsageStatement> decodeUsageCounts(const std::string &bytes)
{
    return decode<UsageStatement>(bytes, DatagramKind::UsageCounts, [](Poco::BinaryReader &in, UsageStatement &out) {
        Poco::UInt64 incarnation = 0;
        Poco::Int64 window = 0;
        Poco::UInt8 state = 0;
        Poco::UInt64 total = 0;
        Poco::UInt16 entries = 0;
        if (!readText(in, out.gateway) || out.gateway.empty()) {
            return false;
        }
        in >> incarnation >> window >> state >> total >> entries;
        if (!in.good() || window < 0 || state > static_cast<Poco::UInt8>(UsageState::Stopped)) {
            return false;
        }
        for (Poco::UInt16 i = 0; i < entries; ++i) {
            std::string team;
            Poco::UInt32 count = 0;
            if (!readText(in, team) || team.empty()) {
                return false;
            }
            in >> count;
            if (!in.good() || count == 0 || !out.counts.byTeam.emplace(std::move(team), count).second) {
                return false;
            }
        }
        out.incarnation = incarnation;
        out.counts.window = window;
        out.state = static_cast<UsageState>(state);
        out.total = total;
        return true;
    });
}

}
