/** \file
 * Datagrams by which the holder of the usage duty asks for counts, and gateways send theirs to the holder and to
 * backups.
 */
#pragma once

#include "usagequery.h"
#include "usagestatement.h"

#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

std::string encodeUsageQuery(const UsageQuery &query);
/** Encodes a statement as one datagram, or several when its counts don't fit into one. Teams with names that are too
 * long for a datagram are left out. */
std::vector<std::string> encodeUsageCounts(const UsageStatement &statement);
/** Decode a message. They return nothing if the bytes aren't exactly one valid message of the kind. */
std::optional<UsageQuery> decodeUsageQuery(const std::string &bytes);
std::optional<UsageStatement> decodeUsageCounts(const std::string &bytes);

}
