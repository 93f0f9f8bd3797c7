/** \file
 * What a gateway's list of endpoints tells of the software versions of a service.
 */
#pragma once

#include "streamorigin.h"

#include <functional>
#include <optional>

namespace Cyclamenturn
{

class ListedVersions
{
public:
    virtual ~ListedVersions() = default;
    /** The version of all endpoints of the service that were listed within `span`; see VersionHistory. */
    virtual std::optional<VersionKey> soleVersion(ServiceKey service, Duration span) const = 0;
    /** Reads the list, and calls `handler` once with whether a read that began after this call has succeeded. */
    virtual void readList(std::function<void(bool isRead)> handler) = 0;
};

}
