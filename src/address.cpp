/** \file
 * Parsing and formatting of addresses.
 */
#include "address.h"

#include "errors.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>

namespace Cyclamenturn
{

namespace
{

constexpr int MAX_PORT = 65535;

}

std::string toString(const Address &address)
{
    return address.host + ":" + std::to_string(address.port);
}

Address addressFromString(const std::string &text)
{
    const auto colon = text.rfind(':');
    Address out;
    Poco::Net::IPAddress ip;
    const bool readable = colon != std::string::npos && Poco::Net::IPAddress::tryParse(text.substr(0, colon), ip)
        && Poco::NumberParser::tryParse(text.substr(colon + 1), out.port);
    if (!readable || out.port < 1 || out.port > MAX_PORT) {
        throw UserError("'" + text + "' must be an IP number and a port, for example 127.0.0.1:8080");
    }
    out.host = text.substr(0, colon);
    return out;
}

}
