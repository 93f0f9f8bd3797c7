/** \file
 * What all datagrams between gateways have in common.
 */
#pragma once

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>

#include <cstdint>
#include <string>

namespace Cyclamenturn
{

/** The first byte of a datagram. A changed form gets a new value. */
enum class DatagramKind : std::uint8_t {
    Digest = 1,
    EndpointListUpdate = 2,
};

/** The largest datagram that is sent or read. */
constexpr std::size_t MAX_DATAGRAM_BYTES = 2048;

/** Reads a text whose length comes from outside; one that is too long ends the reading. */
bool readText(Poco::BinaryReader &in, std::string &text);

}
