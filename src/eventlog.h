/** \file
 * Structured logs: one event a line, with key=value fields, through an asynchronous logger that never blocks
 * its caller. Keys, secrets and prompt text never go in.
 */
#pragma once

#include <cstddef>
#include <string>

namespace Cyclamenturn
{

/**
 * Collects one event and writes it when it goes out of scope.
 *
 * Example: `LogEvent("call_finished").field("call", id).field("outcome", "served");`
 */
class LogEvent
{
public:
    enum class Level {
        Info,
        Warning,
        Error,
    };

    explicit LogEvent(const char *name, Level level = Level::Info);
    ~LogEvent();
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    LogEvent &field(const char *name, const std::string &value);
    LogEvent &field(const char *name, const char *value);
    LogEvent &field(const char *name, long long value);

private:
    Level m_level;
    std::string m_line;
};

/** Starts the thread that writes lines to standard output. */
void startLogging();
/** Writes what is left and joins the thread. */
void stopLogging();
/** Lines lost so far because standard output took them too slowly. */
std::size_t droppedLogLines();

}
