/** \file
 * Keys of streams and versions.
 */
#include "streamorigin.h"

#include "endpointdirectory.h"
#include "rendezvoushash.h"

namespace Cyclamenturn
{

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
    return contentHash(endpoint.version, serviceKey(endpoint.service));
}

}
