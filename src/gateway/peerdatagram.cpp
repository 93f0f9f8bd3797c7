/** \file
 * What all datagrams between gateways have in common.
 */
#include "peerdatagram.h"

namespace Cyclamenturn
{

namespace
{

/** Longer than any name, id or address. */
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
