/** \file
 * Structured logging with spdlog's asynchronous logger, whose bounded queue drops the oldest lines when it is full.
 */
#include "eventlog.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace Cyclamenturn
{

namespace
{

/** Maximum number of lines waiting to be written to standard output; about one minute of output of a busy gateway. */
constexpr std::size_t MAX_QUEUED_LINES = 8192;

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" =\"\n") != std::string::npos;
}

std::string quoted(const std::string &value)
{
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out + "\"";
}

}

LogEvent::LogEvent(const char *name, Level level)
    : m_level(level)
    , m_line(std::string("event=") + name)
{
}

LogEvent::~LogEvent()
{
    switch (m_level) {
    case Level::Info:
        spdlog::info(m_line);
        break;
    case Level::Warning:
        spdlog::warn(m_line);
        break;
    case Level::Error:
        spdlog::error(m_line);
        break;
    }
}

LogEvent &LogEvent::field(const char *name, const std::string &value)
{
    m_line += std::string(" ") + name + "=" + (needsQuotes(value) ? quoted(value) : value);
    return *this;
}

LogEvent &LogEvent::field(const char *name, const char *value)
{
    return field(name, std::string(value));
}

LogEvent &LogEvent::field(const char *name, long long value)
{
    return field(name, std::to_string(value));
}

void startLogging()
{
    spdlog::init_thread_pool(MAX_QUEUED_LINES, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_st>("cyclamenturn");
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void stopLogging()
{
    spdlog::shutdown();
}

std::size_t droppedLogLines()
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

}
