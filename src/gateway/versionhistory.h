/** \file
 * The software versions of each service that the list of endpoints has shown recently.
 */
#pragma once

#include "streammessages.h"
#include "streamorigin.h"
#include "timepoint.h"

#include <map>
#include <optional>
#include <vector>

namespace Cyclamenturn
{

class VersionHistory
{
public:
    /** The list may lag behind the endpoints by as much. A version is told of only if the list is this recent, and no
     * longer passed between its reads: an endpoint may come and go in between. */
    static constexpr Duration MAX_LIST_AGE = milliseconds(3000);

    /** How often an incarnation that isn't listed is noted while it serves. */
    static constexpr Duration UNLISTED_NOTE_INTERVAL = milliseconds(1000);

    /** Notes the endpoints that are listed from now on. */
    void update(const std::vector<EndpointRecord> &list, TimePoint now);
    /** Notes that an incarnation that isn't listed serves. Until it is, or for as long as streams are remembered, it
     * counts as a version of its own. Returns whether it is the first note of it for a while. */
    bool noteUnlisted(const UnlistedIncarnation &notice, TimePoint now);
    /** Notes that the list was read and is the same. */
    void confirm(TimePoint now);
    /**
     * The version of all endpoints of the service that were listed within `span`, which is StreamOrigins::RETENTION at
     * most; nothing if there were several, or if the list wasn't known for so long. A stream that began within that
     * time began at this version.
     */
    std::optional<VersionKey> soleVersion(ServiceKey service, Duration span, TimePoint now) const;

private:
    struct Listing
    {
        bool isListed = false;
        /** Unless it is listed now. */
        TimePoint listedUntil;
    };

    /** The start of the reads without a long gap in between. */
    std::optional<TimePoint> m_since;
    TimePoint m_readAt;
    /** By service and version. */
    std::map<ServiceKey, std::map<VersionKey, Listing>> m_listings;
};

}
