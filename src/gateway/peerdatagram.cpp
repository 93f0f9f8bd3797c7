/** \file
 * Decoding shared by all kinds of datagrams between gateways.
 */
#include "peerdatagram.h"

namespace Cyclamenturn
{

namespace
{

/** Limit above the length of any name, id or address. */
constexpr std::size_t MAX_TEXT_BYTES = 128;

}

bool readText(Poco::BinaryReader &in, std::string &text)
{
    Poco::UInt32 size = 0;
    in.read7BitEncoded(size);
    if (!in.good() || size > MAX_TEXT_BYTES) {
        return false;
    }
    in.readRaw(size, text);
    return in.good();
}

}
