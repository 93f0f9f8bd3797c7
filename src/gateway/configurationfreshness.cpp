/** \file
 * Assessment of the configuration in force.
 */
#include "configurationfreshness.h"

namespace Cyclamenturn
{

ConfigurationDoubt doubtConfiguration(
    const ConfigurationKnowledge &knowledge, Duration confirmationTimeout, TimePoint now)
{
    if (knowledge.isDecoding) {
        return ConfigurationDoubt::NewerInHand;
    }
    if (knowledge.isLatestUnreadable) {
        return ConfigurationDoubt::Unreadable;
    }
    if (knowledge.isOlderInStore) {
        return ConfigurationDoubt::OlderInStore;
    }
    if (knowledge.newestPeerVersion > knowledge.version) {
        return ConfigurationDoubt::NewerAtPeer;
    }
    return now - knowledge.confirmedAt >= confirmationTimeout ? ConfigurationDoubt::Unconfirmed
                                                              : ConfigurationDoubt::None;
}

const char *toString(ConfigurationDoubt doubt)
{
    switch (doubt) {
    case ConfigurationDoubt::None:
        return "none";
    case ConfigurationDoubt::Unconfirmed:
        return "unconfirmed";
    case ConfigurationDoubt::NewerAtPeer:
        return "newer_at_peer";
    case ConfigurationDoubt::NewerInHand:
        return "newer_in_hand";
    case ConfigurationDoubt::Unreadable:
        return "unreadable";
    case ConfigurationDoubt::OlderInStore:
        return "older_in_store";
    }
    return "none";
}

}
