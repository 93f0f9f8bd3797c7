/** \file
 * Crash reports in JSON, as exchanged between entries and agents.
 */
#pragma once

#include "crashreport.h"

#include <json/json.h>
#include <vector>

namespace Cyclamenturn
{

Json::Value crashReportsToJson(const std::vector<CrashReport> &reports);
/** Reads an array written by crashReportsToJson(). Throws UserError. */
std::vector<CrashReport> crashReportsFromJson(const Json::Value &array);

}
