/** \file
 * Stand-in of a plain service. It counts runs by idempotency key, so that a double run is visible: GET /runs. Faults on
 * command: POST /control with any of "slow_factor", "crash_ms" (drop everything and refuse connections for so long),
 * "stall_ms" (answer nothing for so long), "lose_answers" (count of runs that take effect and are not answered).
 */
#include "clock.h"
#include "eventlog.h"
#include "jsoncodec.h"
#include "options.h"
#include "transport/serverexchange.h"
#include "transport/threadedhttpserver.h"

#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

using namespace Cyclamenturn;

namespace
{

constexpr std::size_t MOST_BODY_BYTES = 2 << 20;
constexpr Duration POLL_INTERVAL = milliseconds(20);
constexpr int THREADS = 256;
constexpr std::int64_t MILLI = 1000;

class PlainService
{
public:
    PlainService(std::string name, Duration work)
        : m_name(std::move(name))
        , m_work(work)
    {
    }

    void handle(ServerExchange &exchange)
    {
        if (exchange.path() == "/control") {
            handleControl(exchange);
        } else if (exchange.path() == "/runs") {
            handleRuns(exchange);
        } else {
            handleWork(exchange);
        }
    }

    /** The time until which connections are refused. */
    TimePoint crashedUntil()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_crashedUntil;
    }

private:
    void handleWork(ServerExchange &exchange)
    {
        const std::string body = exchange.readBody(MOST_BODY_BYTES).value_or("");
        const std::string key = exchange.header("Idempotency-Key");
        bool lose = false;
        Duration wait{};
        TimePoint stalledUntil;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_requests;
            if (!key.empty()) {
                ++m_runs[key];
                lose = m_loseAnswers > 0;
                m_loseAnswers -= lose ? 1 : 0;
            }
            wait = m_work * m_slowMilli / MILLI;
            stalledUntil = m_stalledUntil;
        }
        const TimePoint end = std::max(currentTime() + wait, stalledUntil);
        while (currentTime() < end) {
            if (crashedUntil() > currentTime()) {
                exchange.drop();
                return;
            }
            std::this_thread::sleep_for(std::min(POLL_INTERVAL, end - currentTime()));
        }
        if (lose) {
            exchange.drop();
            return;
        }
        Json::Value out;
        out["by"] = m_name;
        out["method"] = exchange.method();
        out["path"] = exchange.uri();
        out["key"] = key;
        out["echo"] = body;
        exchange.reply(exchange.method() == "POST" ? 201 : 200, toJsonText(out));
    }

    void handleRuns(ServerExchange &exchange)
    {
        Json::Value out;
        const std::lock_guard<std::mutex> lock(m_mutex);
        out["requests"] = Json::UInt64(m_requests);
        out["runs"] = Json::Value(Json::objectValue);
        for (const auto &[key, count] : m_runs) {
            out["runs"][key] = count;
        }
        exchange.reply(200, toJsonText(out));
    }

    void handleControl(ServerExchange &exchange)
    {
        const JsonObject in(parseJson(exchange.readBody(MOST_BODY_BYTES).value_or("{}")));
        const TimePoint now = currentTime();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_slowMilli = static_cast<std::int64_t>(in.number("slow_factor", 1) * MILLI);
            m_loseAnswers = in.integer("lose_answers", m_loseAnswers);
            m_stalledUntil = now + milliseconds(in.integer("stall_ms", 0));
            m_crashedUntil = now + milliseconds(in.integer("crash_ms", 0));
        }
        exchange.reply(200, "{}");
    }

    std::string m_name;
    Duration m_work;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::uint64_t m_requests = 0;
    std::int64_t m_slowMilli = MILLI;
    std::int64_t m_loseAnswers = 0;
    TimePoint m_stalledUntil;
    TimePoint m_crashedUntil;
};

}

int main(int argc, char **argv)
{
    prepareSignals();
    startLogging();
    const Options options(argc, argv, {{"listen", "127.0.0.1:7900"}, {"name", "service"}, {"work-ms", "20"}});
    PlainService service(options.text("name"), milliseconds(options.number("work-ms")));
    const auto handler = [&](ServerExchange &exchange) {
        service.handle(exchange);
    };
    auto listener = std::make_unique<ThreadedHttpServer>(options.address("listen"), THREADS, handler);
    while (!isSignalled()) {
        const bool crashed = service.crashedUntil() > currentTime();
        if (crashed && listener) {
            listener.reset();
        } else if (!crashed && !listener) {
            listener = std::make_unique<ThreadedHttpServer>(options.address("listen"), THREADS, handler);
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    std::_Exit(0);
}
