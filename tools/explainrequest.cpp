/** \file
 * The lines of a log that explain one request.
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

/** Belief that is older hardly explains a request; most last for less than five seconds. */
constexpr Duration BELIEF_WINDOW = milliseconds(10000);
constexpr std::array<const char *, 7> BELIEF_EVENTS{
    "configuration_", "endpoint_", "store_", "peer_", "settings_", "ready", "stopping"};

struct Line
{
    std::string text;
    TimePoint time;
    std::string event;
};

std::string field(const std::string &text, const std::string &name)
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

std::optional<Line> parseLine(const std::string &text)
{
    Poco::DateTime time;
    int zone = 0;
    const std::string stamp = field(text, "time");
    if (stamp.empty()
        || !Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, stamp, time, zone)) {
        return std::nullopt;
    }
    return Line{text, TimePoint(Duration(time.timestamp().epochMicroseconds())), field(text, "event")};
}

bool isBelief(const std::string &event)
{
    return std::any_of(BELIEF_EVENTS.begin(), BELIEF_EVENTS.end(),
        [&event](const char *prefix) { return event.rfind(prefix, 0) == 0; });
}

}

std::vector<std::string> explainRequest(std::istream &log, const std::string &requestId)
{
    std::vector<Line> kept;
    std::optional<TimePoint> ended;
    std::string text;
    while (std::getline(log, text)) {
        const auto line = parseLine(text);
        if (!line) {
            continue;
        }
        const bool isOwn = field(text, "request") == requestId;
        if (isOwn) {
            ended = line->time;
        }
        if (isOwn || isBelief(line->event)) {
            kept.push_back(*line);
        }
    }
    std::vector<std::string> out;
    for (const auto &line : kept) {
        const bool isOwn = field(line.text, "request") == requestId;
        if (isOwn || (ended && line.time <= *ended && line.time > *ended - BELIEF_WINDOW)) {
            out.push_back(line.text);
        }
    }
    return ended ? out : std::vector<std::string>();
}

}
