/** \file
 * Structured logging: one event per line with key=value fields, written by an asynchronous logger that never blocks
 * the caller. Keys, secrets and prompt text must not be logged.
 */
#pragma once

#include <cstddef>
#include <string>

namespace Cyclamenturn
{

/**
 * Collects the fields of one event and writes the line on destruction.
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

/** Starts the thread that writes log lines to standard output. */
void startLogging();
/** Writes the remaining lines and joins the thread. */
void stopLogging();
/** The number of lines dropped so far because standard output was too slow. */
std::size_t droppedLogLines();

}
