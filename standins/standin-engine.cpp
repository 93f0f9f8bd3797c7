/** \file
 * Stand-in for a model engine: chat completions as server-sent events, slots with continuous batching, a prefix cache
 * of limited size, priorities, cancellation, resuming at a given token, a delayed load report, KV export and import,
 * and orders with fencing numbers that set the loaded models. The text of a response depends only on its request, so
 * that a resumed response can be checked.
 *
 * A request may set the length of its response ("x_tokens") and may crash the engine ("x_poison"); routers don't read
 * these fields. POST /control injects faults: "slow_factor" (multiplies prefill and token times), "stall_ms" (running
 * requests make no progress for this time), "crash_ms" (connections are reset and refused for this time), "load_lag_ms"
 * (age of the load that is reported).
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

constexpr std::size_t MAX_BODY_BYTES = 4 << 20;
constexpr Duration POLL_INTERVAL = milliseconds(20);
constexpr int THREAD_COUNT = 300;
constexpr std::int64_t PERMILLE = 1000;
/** Responses of requests without "x_tokens" have this many tokens and up to DEFAULT_TOKEN_RANGE - 1 more. */
constexpr std::uint64_t MIN_DEFAULT_TOKENS = 20;
constexpr std::uint64_t DEFAULT_TOKEN_RANGE = 100;
/** Prompts that are equal in their first PREFIX_BYTES share an item of the prefix cache. */
constexpr std::size_t PREFIX_BYTES = 512;

/** LRU cache of prefix hashes. */
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /** Makes `prefix` the most recently used one, evicting the oldest if needed. Returns true on a cache hit. */
    bool use(std::uint64_t prefix)
    {
        const auto it = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
        const bool hit = it != m_prefixes.end();
        if (hit) {
            m_prefixes.erase(it);
        }
        m_prefixes.push_front(prefix);
        if (m_prefixes.size() > m_capacity) {
            m_prefixes.pop_back();
        }
        return hit;
    }

    void clear()
    {
        m_prefixes.clear();
    }

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_prefixes;
};

/** One chat completion request. */
struct Generation
{
    std::string id;
    std::uint64_t seed = 0;
    std::uint64_t tokens = 0;
    /** Index of the first token to send; greater than 0 when a response is resumed. */
    std::uint64_t firstToken = 0;
    /** Lower numbers are served first. */
    int priority = 0;
    /** The request crashes the engine. */
    bool poison = false;
    /** Hash of the beginning of the prompt. */
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

    /** End of the current or last crash, during which connections are refused. */
    TimePoint crashedUntil()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_crashedUntil;
    }
    /** Discards what an engine loses in a crash: cache, cancellations, running and waiting requests. */
    void clearVolatileState()
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
    /**
     * Waits for a free slot, by priority and then in order of arrival. A cancellation or a stop request ends the wait
     * early. Returns false when the engine has crashed.
     */
    bool acquireSlot(const Generation &generation);
    void releaseSlot(const Generation &generation);
    /** Streams the response to `exchange`. */
    void generate(ServerExchange &exchange, const Generation &generation);
    /**
     * Sleeps for `time`, and at least until the end of a stall. Returns false when the engine has crashed or the
     * request was cancelled.
     */
    bool sleepUnlessInterrupted(const Generation &generation, Duration time);
    bool isCancelled(const std::string &id);
    bool isCrashed();
    void recordLoad();

    std::size_t m_slots;
    Duration m_tokenTime;
    Duration m_prefillTime;
    Duration m_loadLag;
    bool m_checksFencing;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    PrefixCache m_cache;
    std::set<std::string> m_active;
    /** Priority and arrival number of the requests that wait for a slot. */
    std::set<std::pair<int, std::uint64_t>> m_waiting;
    std::uint64_t m_arrivals = 0;
    std::set<std::string> m_cancelled;
    /**
     * Number of running and waiting requests over time. /v1/load reports the first item, the latest one that is at
     * least m_loadLag old.
     */
    std::deque<std::pair<TimePoint, std::size_t>> m_loadHistory;
    std::set<std::string> m_models;
    /** Highest fencing number of the orders received. */
    std::uint64_t m_highestFence = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_cacheHits = 0;
    std::uint64_t m_crashes = 0;
    std::int64_t m_slowdownPermille = PERMILLE;
    TimePoint m_stalledUntil;
    TimePoint m_crashedUntil;
};

void Engine::handle(ServerExchange &exchange)
{
    const std::string &path = exchange.path();
    if (isCrashed()) {
        exchange.abort();
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
    const auto defaultTokens = static_cast<std::int64_t>(MIN_DEFAULT_TOKENS + out.seed % DEFAULT_TOKEN_RANGE);
    out.tokens = static_cast<std::uint64_t>(in.integer("x_tokens", defaultTokens));
    out.firstToken = static_cast<std::uint64_t>(in.integer("resume_from", 0));
    out.priority = static_cast<int>(in.integer("priority", 0));
    out.poison = in.boolean("x_poison", false);
    return out;
}

void Engine::handleChat(ServerExchange &exchange)
{
    const auto body = exchange.readBody(MAX_BODY_BYTES);
    try {
        const Generation generation = readGeneration(body.value_or(""));
        if (!acquireSlot(generation)) {
            exchange.abort();
            return;
        }
        generate(exchange, generation);
        releaseSlot(generation);
    } catch (const UserError &error) {
        exchange.reply(400, "{\"error\":\"request\"}");
    }
}

bool Engine::acquireSlot(const Generation &generation)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto ticket = std::make_pair(generation.priority, m_arrivals++);
    m_waiting.insert(ticket);
    m_changed.wait(lock, [&] {
        const bool isNext = !m_waiting.empty() && *m_waiting.begin() == ticket && m_active.size() < m_slots;
        return isNext || m_cancelled.count(generation.id) > 0 || m_crashedUntil > currentTime() || isStopRequested();
    });
    m_waiting.erase(ticket);
    if (m_crashedUntil > currentTime()) {
        return false;
    }
    m_active.insert(generation.id);
    ++m_runs;
    recordLoad();
    return true;
}

void Engine::releaseSlot(const Generation &generation)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_active.erase(generation.id);
        m_cancelled.erase(generation.id);
        recordLoad();
    }
    m_changed.notify_all();
}

void Engine::recordLoad()
{
    m_loadHistory.emplace_back(currentTime(), m_active.size() + m_waiting.size());
    while (m_loadHistory.size() > 1 && m_loadHistory[1].first + m_loadLag <= currentTime()) {
        m_loadHistory.pop_front();
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

bool Engine::sleepUnlessInterrupted(const Generation &generation, Duration time)
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
    std::int64_t slowdownPermille = PERMILLE;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        hit = m_cache.use(generation.prefix);
        m_cacheHits += hit ? 1 : 0;
        slowdownPermille = m_slowdownPermille;
    }
    // A hit in the prefix cache shortens the prefill by this factor.
    constexpr int HIT_SPEEDUP = 4;
    bool running
        = sleepUnlessInterrupted(generation, m_prefillTime * slowdownPermille / PERMILLE / (hit ? HIT_SPEEDUP : 1));
    if (running && generation.poison) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_crashedUntil = currentTime() + milliseconds(1000);
        ++m_crashes;
        running = false;
    }
    if (isCrashed()) {
        m_changed.notify_all();
        exchange.abort();
        return;
    }
    std::ostream &out = exchange.beginStream(200, "text/event-stream");
    for (std::uint64_t i = generation.firstToken; running && i < generation.tokens && out.good(); ++i) {
        Json::Value event;
        event["id"] = generation.id;
        event["choices"][0]["index"] = 0;
        event["choices"][0]["delta"]["content"]
            = std::to_string(contentHash(std::to_string(i), generation.seed) % 100000) + " ";
        out << "data: " << toJsonText(event) << "\n\n" << std::flush;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_tokens;
            slowdownPermille = m_slowdownPermille;
        }
        running = i + 1 == generation.tokens
            || sleepUnlessInterrupted(generation, m_tokenTime * slowdownPermille / PERMILLE);
    }
    if (isCrashed()) {
        exchange.abort();
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
    const std::string body = exchange.readBody(MAX_BODY_BYTES).value_or("{}");
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
        recordLoad();
        out["running"] = Json::UInt64(m_loadHistory.front().second);
        out["slots"] = Json::UInt64(m_slots);
        for (const auto &model : m_models) {
            out["models"].append(model);
        }
    }
    exchange.reply(200, toJsonText(out));
}

void Engine::handleKv(ServerExchange &exchange)
{
    const JsonObject in(parseJson(exchange.readBody(MAX_BODY_BYTES).value_or("{}")));
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
    const JsonObject in(parseJson(exchange.readBody(MAX_BODY_BYTES).value_or("{}")));
    const auto fence = static_cast<std::uint64_t>(in.integer("fence"));
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_checksFencing && fence < m_highestFence) {
            exchange.reply(409, "{\"error\":\"fence\"}");
            return;
        }
        m_highestFence = std::max(m_highestFence, fence);
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
    const JsonObject in(parseJson(exchange.readBody(MAX_BODY_BYTES).value_or("{}")));
    const TimePoint now = currentTime();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_slowdownPermille = static_cast<std::int64_t>(in.number("slow_factor", 1) * PERMILLE);
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
        out["fence"] = Json::UInt64(m_highestFence);
    }
    exchange.reply(200, toJsonText(out));
}

}

int main(int argc, char **argv)
{
    installSignalHandlers();
    startLogging();
    const Options options(argc, argv,
        {{"listen", "127.0.0.1:7800"}, {"slots", "8"}, {"token-us", "5000"}, {"prefill-ms", "20"}, {"cache", "64"},
            {"load-lag-ms", "500"}, {"checks-fencing", "1"}});
    Engine engine(options);
    const auto handler = [&](ServerExchange &exchange) {
        engine.handle(exchange);
    };
    auto listener = std::make_unique<ThreadedHttpServer>(options.address("listen"), THREAD_COUNT, handler);
    while (!isStopRequested()) {
        const bool crashed = engine.crashedUntil() > currentTime();
        if (crashed && listener) {
            listener.reset();
            engine.clearVolatileState();
        } else if (!crashed && !listener) {
            listener = std::make_unique<ThreadedHttpServer>(options.address("listen"), THREAD_COUNT, handler);
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    std::_Exit(0);
}
