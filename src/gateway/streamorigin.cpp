/** \file
 * Keys of streams and versions.
 */
#include "streamorigin.h"

#include "endpointdirectory.h"
#include "rendezvoushash.h"

#include <Poco/NumberFormatter.h>

namespace Cyclamenturn
{

namespace
{

constexpr int VERSION_TEXT_DIGITS = 16;

}

StreamKey streamKey(
    const std::string &attemptId, const std::string &callerKey, const std::string &host, std::string_view path)
{
    return contentHash(std::string(path), contentHash(host, contentHash(callerKey, contentHash(attemptId))));
}

ServiceKey serviceKey(const std::string &service)
{
    return contentHash(service);
}

VersionKey versionKey(const EndpointRecord &endpoint)
{
    return endpoint.isVersionKnown ? contentHash(endpoint.version, serviceKey(endpoint.service))
                                   : incarnationKey(endpoint);
}

std::string versionText(VersionKey version)
{
    return Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(version), VERSION_TEXT_DIGITS);
}

VersionKey incarnationKey(const EndpointRecord &endpoint)
{
    const std::string start = std::to_string(endpoint.startedAtMs);
    return contentHash(start, contentHash(endpoint.id, serviceKey(endpoint.service)));
}

}
