/** \file
 * Decides which of the configurations that the store returns comes into force.
 *
 * Within one era of the store, revisions order its contents. Across a restoration only the operator's versions do: the
 * restored copy may hold an older version, which is no decision of the operator.
 */
#pragma once

#include "storerevision.h"
#include "timepoint.h"

#include <cstdint>
#include <optional>

namespace Cyclamenturn
{

class ConfigurationSelection
{
public:
    enum class Decision {
        Apply,
        /** Not newer than what the store returned before. */
        Ignore,
        /** An older version of a restored store: apply it if nothing newer comes within OLDER_VERSION_DELAY. */
        Defer,
    };

    /** After a restoration the operator writes again what was lost, which takes seconds. What the store still holds
     * after this time is the operator's word, although its version is lower. */
    static constexpr Duration OLDER_VERSION_DELAY = milliseconds(10000);

    /** Whether the store hasn't returned this revision of the configuration before. Responses of one connection arrive
     * in order, so a revision of another era is always a newer state. */
    bool isNew(const StoreRevision &revision) const;
    /** Records that the store returned a configuration that can't be decoded. */
    void noteUnreadable(const StoreRevision &revision);
    Decision offer(const StoreRevision &revision, std::uint64_t version, TimePoint now);
    /** Whether a deferred version is due. Records it as applied in that case. */
    bool takeDeferred(TimePoint now);
    /** Records that the store was exchanged for another one, whose revisions have nothing to do with earlier ones. */
    void forgetRevisions();

    /** The revision of the latest configuration that the store returned; nothing before the first one. */
    const std::optional<StoreRevision> &latestRevision() const
    {
        return m_latest;
    }
    /** The version in force; 0 before the first one. */
    std::uint64_t version() const
    {
        return m_version;
    }
    /** Whether the latest configuration couldn't be decoded, so that an older one is in force. */
    bool isLatestUnreadable() const
    {
        return m_isLatestUnreadable;
    }
    bool hasDeferred() const
    {
        return m_deferred.has_value();
    }

private:
    struct Deferred
    {
        std::uint64_t version = 0;
        TimePoint since;
    };

    std::optional<StoreRevision> m_latest;
    std::uint64_t m_version = 0;
    /** The era in which the store held the version in force; nothing if that store was exchanged. */
    std::optional<std::uint64_t> m_era;
    bool m_isLatestUnreadable = false;
    /** Set only while `m_version` is higher. */
    std::optional<Deferred> m_deferred;
};

}
