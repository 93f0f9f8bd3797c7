/** \file
 * Definitions shared by all kinds of datagrams between gateways.
 */
#pragma once

#include "timepoint.h"

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>

#include <cstdint>
#include <string>

namespace Cyclamenturn
{

/** The first byte of a datagram. A changed format needs a new value; those of earlier formats aren't used again. */
enum class DatagramKind : std::uint8_t {
    Digest = 19,
    PermitQuestion = 4,
    PermitAnswer = 5,
    LimitNotice = 6,
    PartEvidence = 7,
    EndpointListUpdate = 8,
    StreamNote = 9,
    StreamQuestion = 10,
    StreamAnswer = 11,
    StreamOriginsQuestion = 13,
    StreamOrigins = 14,
    StopNotice = 15,
    UnlistedIncarnation = 16,
    UsageQuery = 17,
    UsageCounts = 18,
};

/** Size of the largest datagram that is sent or received. */
constexpr std::size_t MAX_DATAGRAM_BYTES = 2048;

/** The age of a time, as it is written in datagrams. */
Poco::UInt32 ageMs(TimePoint at, TimePoint now);

/** Reads a length-prefixed text. Returns false when it is truncated or longer than any valid text, since the length
 * comes from an untrusted sender. */
bool readText(Poco::BinaryReader &in, std::string &text);

}
