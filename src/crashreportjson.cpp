/** \file
 * Crash reports in JSON.
 */
#include "crashreportjson.h"

#include "errors.h"
#include "jsoncodec.h"

namespace Cyclamenturn
{

Json::Value crashReportsToJson(const std::vector<CrashReport> &reports)
{
    Json::Value out(Json::arrayValue);
    for (const auto &report : reports) {
        Json::Value item;
        item["fingerprint"] = Json::UInt64(report.fingerprint);
        item["endpoint"] = report.endpoint;
        item["last_crash_us"] = Json::Int64(report.at.time_since_epoch().count());
        // Required by earlier versions, which exchange counts.
        item["crashes"] = 1;
        out.append(item);
    }
    return out;
}

std::vector<CrashReport> crashReportsFromJson(const Json::Value &array)
{
    std::vector<CrashReport> out;
    for (const auto &item : array) {
        const JsonObject report(item);
        const auto fingerprint = report.raw()["fingerprint"];
        if (!fingerprint.isUInt64()) {
            throw UserError("JSON member 'fingerprint' must be an unsigned integer");
        }
        out.push_back({fingerprint.asUInt64(), report.text("endpoint", ""),
            TimePoint(Duration(report.integer("last_crash_us")))});
    }
    return out;
}

}
