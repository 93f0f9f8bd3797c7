/** \file
 * Picks out of a gateway's log what explains one request: its own lines, and what the process came to believe shortly
 * before its end.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** Returns the lines in their order; empty when the log has none of that request. Lines of other forms are left out. */
std::vector<std::string> explainRequest(std::istream &log, const std::string &requestId);

}
