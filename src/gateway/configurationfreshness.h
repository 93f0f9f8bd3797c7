/** \file
 * Decides whether a gateway may refuse what the configuration in force lacks, or whether the operator may have a newer
 * one by now.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>

namespace Cyclamenturn
{

/** Why the operator may have a newer configuration than the one in force at a gateway. */
enum class ConfigurationDoubt {
    None,
    /** Nobody has confirmed it with the store recently. */
    Unconfirmed,
    /** A live peer applies a newer version. */
    NewerAtPeer,
    /** The store has returned a newer one, which isn't decoded yet. */
    NewerInHand,
    /** The store's latest configuration can't be decoded. */
    Unreadable,
    /** The store was restored and holds an older version, so it may have lost a newer one, too. */
    OlderInStore,
};

/** What a gateway knows of the configuration. */
struct ConfigurationKnowledge
{
    /** The version in force; 0 before the first one. */
    std::uint64_t version = 0;
    /** When the store last confirmed its revision, to this gateway or to another one. */
    TimePoint confirmedAt;
    /** The highest version that live peers apply; 0 without peers. */
    std::uint64_t newestPeerVersion = 0;
    bool isDecoding = false;
    bool isLatestUnreadable = false;
    bool isOlderInStore = false;
};

/** `confirmationTimeout` is how long a confirmation is valid. */
ConfigurationDoubt doubtConfiguration(
    const ConfigurationKnowledge &knowledge, Duration confirmationTimeout, TimePoint now);

const char *toString(ConfigurationDoubt doubt);

}
