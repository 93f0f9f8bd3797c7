/** \file
 * Selects the lines of a gateway's log that explain one request: the lines of the request itself, and the changes of
 * the gateway's known state (configuration, endpoints, store, peers, settings) shortly before the end of the request.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/**
 * Returns the lines in the order of the log, or no lines if none belongs to that request. Lines that aren't log events
 * are left out.
 */
std::vector<std::string> explainRequest(std::istream &log, const std::string &requestId);

}
