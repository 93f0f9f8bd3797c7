/** \file
 * Stand-in of a model engine: chat completions with server-sent events, slots with continuous batching, a limited
 * prefix cache, priorities, cancel, resume at a token, a lagging load report, KV export and import, and orders with
 * fencing numbers. The text of an answer depends only on its request, so that a resumed answer can be checked.
 *
 * A request may say how long its answer is ("x_tokens") and that it crashes the engine ("x_poison"); a router doesn't
 * read these. Faults on command: POST /control with any of "slow_factor", "stall_ms", "crash_ms".
 */
#include "clock.h"
#include "errors.h"
#include "eventlog.h"
#include "jsoncodec.h"
#include "options.h"
#include "rendezvoushash.h"
#include "transport/serverexchange.h"
#include "transport/threadedhttpserver.h"

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

using namespace Cyclamenturn;

namespace
{

constexpr std::size_t MOST_BODY_BYTES = 4 << 20;
constexpr Duration POLL_INTERVAL = milliseconds(20);
constexpr int THREADS = 300;
constexpr std::int64_t MILLI = 1000;
constexpr std::uint64_t LEAST_TOKENS = 20;
constexpr std::uint64_t TOKEN_SPREAD = 100;
constexpr std::size_t PREFIX_BYTES = 512;

/** Remembers the prefixes used last. */
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t size)
        : m_size(size)
    {
    }

    /** Notes a use. Returns true when the prefix was there. */
    bool use(std::uint64_t prefix)
    {
        const auto it = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
        const bool hit = it != m_prefixes.end();
        if (hit) {
            m_prefixes.erase(it);
        }
        m_prefixes.push_front(prefix);
        if (m_prefixes.size() > m_size) {
            m_prefixes.pop_back();
        }
        return hit;
    }

    void clear()
    {
        m_prefixes.clear();
    }

private:
    std::size_t m_size;
    std::list<std::uint64_t> m_prefixes;
};

struct Generation
{
    std::string id;
    std::uint64_t seed = 0;
    std::uint64_t tokens = 0;
    std::uint64_t from = 0;
    int priority = 0;
    bool poison = false;
    std::uint64_t prefix = 0;
};

class Engine
{
public:
    explicit Engine(const Options &options)
        : m_slots(static_cast<std::size_t>(options.number("slots")))
        , m_tokenTime(options.number("token-us"))
        , m_prefillTime(milliseconds(options.number("prefill-ms")))
        , m_loadLag(milliseconds(options.number("load-lag-ms")))
        , m_checksFencing(options.number("checks-fencing") != 0)
        , m_cache(static_cast<std::size_t>(options.number("cache")))
    {
    }

    void handle(ServerExchange &exchange);

    TimePoint crashedUntil()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_crashedUntil;
    }
    void restart()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_cache.clear();
        m_cancelled.clear();
        m_active.clear();
        m_waiting.clear();
    }

private:
    void handleChat(ServerExchange &exchange);
    void handleCancel(ServerExchange &exchange);
    void handleLoad(ServerExchange &exchange);
    void handleKv(ServerExchange &exchange);
    void handleOrder(ServerExchange &exchange);
    void handleControl(ServerExchange &exchange);
    void handleStats(ServerExchange &exchange);
    Generation readGeneration(const std::string &body) const;
    bool enter(const Generation &generation);
    void leave(const Generation &generation);
    void generate(ServerExchange &exchange, const Generation &generation);
    bool pause(const Generation &generation, Duration time);
    bool isCancelled(const std::string &id);
    bool isCrashed();
    void noteLoad();

    std::size_t m_slots;
    Duration m_tokenTime;
    Duration m_prefillTime;
    Duration m_loadLag;
    bool m_checksFencing;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    PrefixCache m_cache;
    std::set<std::string> m_active;
    /** Priority and order of arrival of the generations that wait for a slot. */
    std::set<std::pair<int, std::uint64_t>> m_waiting;
    std::uint64_t m_arrivals = 0;
    std::set<std::string> m_cancelled;
    std::deque<std::pair<TimePoint, std::size_t>> m_loads;
    std::set<std::string> m_models;
    std::uint64_t m_fence = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_cacheHits = 0;
    std::uint64_t m_crashes = 0;
    std::int64_t m_slowMilli = MILLI;
    TimePoint m_stalledUntil;
    TimePoint m_crashedUntil;
};

void Engine::handle(ServerExchange &exchange)
{
    const std::string &path = exchange.path();
    if (isCrashed()) {
        exchange.drop();
    } else if (path == "/v1/chat/completions") {
        handleChat(exchange);
    } else if (path == "/v1/cancel") {
        handleCancel(exchange);
    } else if (path == "/v1/load") {
        handleLoad(exchange);
    } else if (path == "/v1/kv/export" || path == "/v1/kv/import") {
        handleKv(exchange);
    } else if (path == "/v1/orders") {
        handleOrder(exchange);
    } else if (path == "/control") {
        handleControl(exchange);
    } else if (path == "/stats") {
        handleStats(exchange);
    } else {
        exchange.reply(404, "{\"error\":\"path\"}");
    }
}

Generation Engine::readGeneration(const std::string &body) const
{
    const JsonObject in(parseJson(body));
    Generation out;
    out.id = in.text("request_id");
    const std::string prompt = toJsonText(in.array("messages"));
    out.seed = contentHash(prompt);
    out.prefix = contentHash(prompt.substr(0, PREFIX_BYTES));
    const auto fallback = static_cast<std::int64_t>(LEAST_TOKENS + out.seed % TOKEN_SPREAD);
    out.tokens = static_cast<std::uint64_t>(in.integer("x_tokens", fallback));
    out.from = static_cast<std::uint64_t>(in.integer("resume_from", 0));
    out.priority = static_cast<int>(in.integer("priority", 0));
    out.poison = in.boolean("x_poison", false);
    return out;
}

void Engine::handleChat(ServerExchange &exchange)
{
    const auto body = exchange.readBody(MOST_BODY_BYTES);
    try {
        const Generation generation = readGeneration(body.value_or(""));
        if (!enter(generation)) {
            exchange.drop();
            return;
        }
        generate(exchange, generation);
        leave(generation);
    } catch (const UserError &error) {
        exchange.reply(400, "{\"error\":\"request\"}");
    }
}

bool Engine::enter(const Generation &generation)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto ticket = std::make_pair(generation.priority, m_arrivals++);
    m_waiting.insert(ticket);
    m_changed.wait(lock, [&] {
        const bool mine = !m_waiting.empty() && *m_waiting.begin() == ticket && m_active.size() < m_slots;
        return mine || m_cancelled.count(generation.id) > 0 || m_crashedUntil > currentTime() || isSignalled();
    });
    m_waiting.erase(ticket);
    if (m_crashedUntil > currentTime()) {
        return false;
    }
    m_active.insert(generation.id);
    ++m_runs;
    noteLoad();
    return true;
}

void Engine::leave(const Generation &generation)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_active.erase(generation.id);
        m_cancelled.erase(generation.id);
        noteLoad();
    }
    m_changed.notify_all();
}

void Engine::noteLoad()
{
    m_loads.emplace_back(currentTime(), m_active.size() + m_waiting.size());
    while (m_loads.size() > 1 && m_loads[1].first + m_loadLag <= currentTime()) {
        m_loads.pop_front();
    }
}

bool Engine::isCancelled(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_cancelled.count(id) > 0;
}

bool Engine::isCrashed()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_crashedUntil > currentTime();
}

bool Engine::pause(const Generation &generation, Duration time)
{
    TimePoint end = currentTime() + time;
    while (currentTime() < end) {
        std::this_thread::sleep_for(std::min(POLL_INTERVAL, end - currentTime()));
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            end = std::max(end, m_stalledUntil);
        }
        if (isCrashed() || isCancelled(generation.id)) {
            return false;
        }
    }
    return !isCrashed() && !isCancelled(generation.id);
}

void Engine::generate(ServerExchange &exchange, const Generation &generation)
{
    bool hit = false;
    std::int64_t slow = MILLI;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        hit = m_cache.use(generation.prefix);
        m_cacheHits += hit ? 1 : 0;
        slow = m_slowMilli;
    }
    constexpr int HIT_SPEEDUP = 4;
    bool running = pause(generation, m_prefillTime * slow / MILLI / (hit ? HIT_SPEEDUP : 1));
    if (running && generation.poison) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_crashedUntil = currentTime() + milliseconds(1000);
        ++m_crashes;
        running = false;
    }
    if (isCrashed()) {
        m_changed.notify_all();
        exchange.drop();
        return;
    }
    std::ostream &out = exchange.beginStream(200, "text/event-stream");
    for (std::uint64_t i = generation.from; running && i < generation.tokens && out.good(); ++i) {
        Json::Value event;
        event["id"] = generation.id;
        event["choices"][0]["index"] = 0;
        event["choices"][0]["delta"]["content"]
            = std::to_string(contentHash(std::to_string(i), generation.seed) % 100000) + " ";
        out << "data: " << toJsonText(event) << "\n\n" << std::flush;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_tokens;
            slow = m_slowMilli;
        }
        running = i + 1 == generation.tokens || pause(generation, m_tokenTime * slow / MILLI);
    }
    if (isCrashed()) {
        exchange.drop();
        return;
    }
    Json::Value event;
    event["id"] = generation.id;
    event["choices"][0]["index"] = 0;
    event["choices"][0]["delta"] = Json::Value(Json::objectValue);
    event["choices"][0]["finish_reason"] = running ? "stop" : "cancelled";
    out << "data: " << toJsonText(event) << "\n\ndata: [DONE]\n\n" << std::flush;
}

void Engine::handleCancel(ServerExchange &exchange)
{
    const std::string body = exchange.readBody(MOST_BODY_BYTES).value_or("{}");
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::string id = JsonObject(parseJson(body)).text("request_id", "");
        if (m_active.count(id) > 0 || !m_waiting.empty()) {
            m_cancelled.insert(id);
        }
    }
    m_changed.notify_all();
    exchange.reply(200, "{}");
}

void Engine::handleLoad(ServerExchange &exchange)
{
    Json::Value out;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        noteLoad();
        out["running"] = Json::UInt64(m_loads.front().second);
        out["slots"] = Json::UInt64(m_slots);
        for (const auto &model : m_models) {
            out["models"].append(model);
        }
    }
    exchange.reply(200, toJsonText(out));
}

void Engine::handleKv(ServerExchange &exchange)
{
    const JsonObject in(parseJson(exchange.readBody(MOST_BODY_BYTES).value_or("{}")));
    const std::string prefix = in.text("prefix", "");
    Json::Value out;
    out["prefix"] = prefix;
    if (exchange.path() == "/v1/kv/import") {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_cache.use(contentHash(prefix));
    }
    exchange.reply(200, toJsonText(out));
}

void Engine::handleOrder(ServerExchange &exchange)
{
    const JsonObject in(parseJson(exchange.readBody(MOST_BODY_BYTES).value_or("{}")));
    const auto fence = static_cast<std::uint64_t>(in.integer("fence"));
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_checksFencing && fence < m_fence) {
            exchange.reply(409, "{\"error\":\"fence\"}");
            return;
        }
        m_fence = std::max(m_fence, fence);
        ++m_orders;
        m_models.clear();
        for (const auto &model : in.array("models")) {
            m_models.insert(model.asString());
        }
    }
    exchange.reply(200, "{}");
}

void Engine::handleControl(ServerExchange &exchange)
{
    const JsonObject in(parseJson(exchange.readBody(MOST_BODY_BYTES).value_or("{}")));
    const TimePoint now = currentTime();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_slowMilli = static_cast<std::int64_t>(in.number("slow_factor", 1) * MILLI);
        m_stalledUntil = now + milliseconds(in.integer("stall_ms", 0));
        m_crashedUntil = now + milliseconds(in.integer("crash_ms", 0));
        m_loadLag = milliseconds(in.integer("load_lag_ms", toMilliseconds(m_loadLag)));
    }
    m_changed.notify_all();
    exchange.reply(200, "{}");
}

void Engine::handleStats(ServerExchange &exchange)
{
    Json::Value out;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        out["tokens"] = Json::UInt64(m_tokens);
        out["runs"] = Json::UInt64(m_runs);
        out["cache_hits"] = Json::UInt64(m_cacheHits);
        out["crashes"] = Json::UInt64(m_crashes);
        out["orders"] = Json::UInt64(m_orders);
        out["fence"] = Json::UInt64(m_fence);
    }
    exchange.reply(200, toJsonText(out));
}

}

int main(int argc, char **argv)
{
    prepareSignals();
    startLogging();
    const Options options(argc, argv,
        {{"listen", "127.0.0.1:7800"}, {"slots", "8"}, {"token-us", "5000"}, {"prefill-ms", "20"}, {"cache", "64"},
            {"load-lag-ms", "500"}, {"checks-fencing", "1"}});
    Engine engine(options);
    const auto handler = [&](ServerExchange &exchange) {
        engine.handle(exchange);
    };
    auto listener = std::make_unique<ThreadedHttpServer>(options.address("listen"), THREADS, handler);
    while (!isSignalled()) {
        const bool crashed = engine.crashedUntil() > currentTime();
        if (crashed && listener) {
            listener.reset();
            engine.restart();
        } else if (!crashed && !listener) {
            listener = std::make_unique<ThreadedHttpServer>(options.address("listen"), THREADS, handler);
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    std::_Exit(0);
}
