/** \file
 * A TCP address that consists of an IP number and a port.
 */
#pragma once

#include <string>
#include <tuple>

namespace Cyclamenturn
{

struct Address
{
    std::string host;
    int port = 0;

    bool operator==(const Address &other) const
    {
        return std::tie(host, port) == std::tie(other.host, other.port);
    }
    bool operator<(const Address &other) const
    {
        return std::tie(host, port) < std::tie(other.host, other.port);
    }
};

/** Formats an address as "host:port". */
std::string toString(const Address &address);

/** Parses "127.0.0.1:8080". Throws UserError unless the text is an IP number and a port from 1 to 65535. */
Address addressFromString(const std::string &text);

}
