/** \file
 * Selection of the log lines that explain one request.
 */
#include "explainrequest.h"

#include "timepoint.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <array>
#include <istream>
#include <optional>

namespace Cyclamenturn
{

namespace
{

/** Earlier changes of the known state hardly explain a request, since most requests last less than five seconds. */
constexpr Duration STATE_EVENT_WINDOW = milliseconds(10000);
/** Prefixes of the events that report a change of the gateway's known state. */
constexpr std::array<const char *, 7> STATE_EVENT_PREFIXES{
    "configuration_", "endpoint_", "store_", "peer_", "settings_", "ready", "stopping"};

struct LogLine
{
    std::string text;
    TimePoint time;
    std::string event;
};

/** Returns the value of the field `name` of a log line; empty when the line has no such field. */
std::string fieldValue(const std::string &text, const std::string &name)
{
    const std::string start = name + "=";
    std::size_t at = text.find(start);
    while (at != std::string::npos && at != 0 && text[at - 1] != ' ') {
        at = text.find(start, at + 1);
    }
    if (at == std::string::npos) {
        return {};
    }
    at += start.size();
    return text.substr(at, text.find(' ', at) - at);
}

/** Returns nothing for a line without a valid time. */
std::optional<LogLine> parseLine(const std::string &text)
{
    Poco::DateTime time;
    int zone = 0;
    const std::string timeText = fieldValue(text, "time");
    if (timeText.empty()
        || !Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, timeText, time, zone)) {
        return std::nullopt;
    }
    return LogLine{text, TimePoint(Duration(time.timestamp().epochMicroseconds())), fieldValue(text, "event")};
}

bool isStateEvent(const std::string &event)
{
    return std::any_of(STATE_EVENT_PREFIXES.begin(), STATE_EVENT_PREFIXES.end(),
        [&event](const char *prefix) { return event.rfind(prefix, 0) == 0; });
}

}

std::vector<std::string> explainRequest(std::istream &log, const std::string &requestId)
{
    std::vector<LogLine> candidates;
    std::optional<TimePoint> lastLineTime;
    std::string text;
    while (std::getline(log, text)) {
        const auto line = parseLine(text);
        if (!line) {
            continue;
        }
        const bool isOfRequest = fieldValue(text, "request") == requestId;
        if (isOfRequest) {
            lastLineTime = line->time;
        }
        if (isOfRequest || isStateEvent(line->event)) {
            candidates.push_back(*line);
        }
    }
    std::vector<std::string> out;
    for (const auto &line : candidates) {
        const bool isOfRequest = fieldValue(line.text, "request") == requestId;
        if (isOfRequest
            || (lastLineTime && line.time <= *lastLineTime && line.time > *lastLineTime - STATE_EVENT_WINDOW)) {
            out.push_back(line.text);
        }
    }
    return lastLineTime ? out : std::vector<std::string>();
}

}
