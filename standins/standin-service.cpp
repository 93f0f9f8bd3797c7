/** \file
 * Stand-in for a plain service. It counts executions by idempotency key, so that GET /runs shows double executions.
 * POST /control injects faults: "slow_factor" (multiplies the processing time), "crash_ms" (connections are reset
 * and refused for this time), "stall_ms" (no response is sent for this time), "lose_answers" (number of requests with
 * an idempotency key that take effect without a response).
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

constexpr std::size_t MAX_BODY_BYTES = 2 << 20;
constexpr Duration POLL_INTERVAL = milliseconds(20);
constexpr int THREAD_COUNT = 256;
constexpr std::int64_t PERMILLE = 1000;

class PlainService
{
public:
    PlainService(std::string name, Duration workTime)
        : m_name(std::move(name))
        , m_workTime(workTime)
    {
    }

    void handle(ServerExchange &exchange)
    {
        if (exchange.path() == "/control") {
            handleControl(exchange);
        } else if (exchange.path() == "/runs") {
            handleRuns(exchange);
        } else {
            handleRequest(exchange);
        }
    }

    /** End of the current or last crash, during which connections are refused. */
    TimePoint crashedUntil()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_crashedUntil;
    }

private:
    void handleRequest(ServerExchange &exchange)
    {
        const std::string body = exchange.readBody(MAX_BODY_BYTES).value_or("");
        const std::string key = exchange.header("Idempotency-Key");
        bool loseResponse = false;
        Duration workTime{};
        TimePoint stalledUntil;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_requests;
            if (!key.empty()) {
                ++m_runs[key];
                loseResponse = m_responsesToLose > 0;
                m_responsesToLose -= loseResponse ? 1 : 0;
            }
            workTime = m_workTime * m_slowdownPermille / PERMILLE;
            stalledUntil = m_stalledUntil;
        }
        const TimePoint end = std::max(currentTime() + workTime, stalledUntil);
        while (currentTime() < end) {
            if (crashedUntil() > currentTime()) {
                exchange.abort();
                return;
            }
            std::this_thread::sleep_for(std::min(POLL_INTERVAL, end - currentTime()));
        }
        if (loseResponse) {
            exchange.abort();
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
        const JsonObject in(parseJson(exchange.readBody(MAX_BODY_BYTES).value_or("{}")));
        const TimePoint now = currentTime();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_slowdownPermille = static_cast<std::int64_t>(in.number("slow_factor", 1) * PERMILLE);
            m_responsesToLose = in.integer("lose_answers", m_responsesToLose);
            m_stalledUntil = now + milliseconds(in.integer("stall_ms", 0));
            m_crashedUntil = now + milliseconds(in.integer("crash_ms", 0));
        }
        exchange.reply(200, "{}");
    }

    std::string m_name;
    Duration m_workTime;
    std::mutex m_mutex;
    /** Executions by idempotency key. */
    std::map<std::string, int> m_runs;
    std::uint64_t m_requests = 0;
    std::int64_t m_slowdownPermille = PERMILLE;
    std::int64_t m_responsesToLose = 0;
    TimePoint m_stalledUntil;
    TimePoint m_crashedUntil;
};

}

int main(int argc, char **argv)
{
    installSignalHandlers();
    startLogging();
    const Options options(argc, argv, {{"listen", "127.0.0.1:7900"}, {"name", "service"}, {"work-ms", "20"}});
    PlainService service(options.text("name"), milliseconds(options.number("work-ms")));
    const auto handler = [&](ServerExchange &exchange) {
        service.handle(exchange);
    };
    auto listener = std::make_unique<ThreadedHttpServer>(options.address("listen"), THREAD_COUNT, handler);
    while (!isStopRequested()) {
        const bool crashed = service.crashedUntil() > currentTime();
        if (crashed && listener) {
            listener.reset();
        } else if (!crashed && !listener) {
            listener = std::make_unique<ThreadedHttpServer>(options.address("listen"), THREAD_COUNT, handler);
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    std::_Exit(0);
}
