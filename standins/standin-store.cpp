/** \file
 * Stand-in for the platform's key-value service: compare-and-swap, leases, prefix reads, watches as blocking reads, and
 * rate limits. POST /control injects faults: "outage" (true: connections are reset), "slow_ms" (delay of every
 * response), "lose_answers" (number of writes that take effect without a response), "silence_watches" (true: watches
 * get no response), "save" (true: save all values), "set_back" (true: restore the saved values under new versions).
 */
#include "clock.h"
#include "errors.h"
#include "eventlog.h"
#include "jsoncodec.h"
#include "options.h"
#include "transport/serverexchange.h"
#include "transport/threadedhttpserver.h"

#include <Poco/URI.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

using namespace Cyclamenturn;

namespace
{

constexpr std::size_t MAX_VALUE_BYTES = 1 << 20;
constexpr int THREAD_COUNT = 400;
/** Maximum time for which a watch without a response is kept open before its connection is reset. */
constexpr Duration SUPPRESSED_WATCH_TIMEOUT = milliseconds(600000);
constexpr Duration SUPPRESSED_WATCH_POLL_INTERVAL = milliseconds(100);

/** Allows at most `perSecond` calls in each second of the clock. */
class RateLimit
{
public:
    explicit RateLimit(std::int64_t perSecond)
        : m_perSecond(perSecond)
    {
    }

    /** Counts a call. Returns false when it exceeds the limit. */
    bool allow(TimePoint now)
    {
        const std::int64_t second = toMilliseconds(now) / 1000;
        if (second != m_second) {
            m_second = second;
            m_used = 0;
        }
        return ++m_used <= m_perSecond;
    }

private:
    std::int64_t m_perSecond;
    std::int64_t m_second = 0;
    std::int64_t m_used = 0;
};

struct StoredValue
{
    std::uint64_t version = 0;
    std::string value;
    std::optional<TimePoint> expiresAt;
};

class Store
{
public:
    Store(std::int64_t readsPerSecond, std::int64_t writesPerSecond)
        : m_readLimit(readsPerSecond)
        , m_writeLimit(writesPerSecond)
    {
    }

    void handle(ServerExchange &exchange);

private:
    void handleControl(ServerExchange &exchange);
    void handleRead(ServerExchange &exchange, const std::string &key);
    void handlePrefix(ServerExchange &exchange);
    void handleWrite(ServerExchange &exchange, const std::string &key);
    /** While watches get no response, keeps a watch open, then resets its connection and returns true. */
    bool holdSuppressedWatch(ServerExchange &exchange, bool isWatch);
    /** Applies the outage, the rate limit and the delay. Returns false when it has ended the exchange. */
    bool applyFaults(ServerExchange &exchange, bool isWrite);
    void removeExpired();
    static Json::Value toJson(const std::string &key, const StoredValue &stored);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, StoredValue> m_values;
    std::map<std::string, StoredValue> m_savedValues;
    /** Never decreases, so that versions stay unique after "set_back". */
    std::uint64_t m_nextVersion = 1;
    RateLimit m_readLimit;
    RateLimit m_writeLimit;
    bool m_outage = false;
    Duration m_responseDelay{};
    std::int64_t m_responsesToLose = 0;
    bool m_suppressWatchResponses = false;
    std::uint64_t m_readCount = 0;
    std::uint64_t m_writeCount = 0;
};

Json::Value Store::toJson(const std::string &key, const StoredValue &stored)
{
    Json::Value out;
    out["key"] = key;
    out["version"] = Json::UInt64(stored.version);
    out["value"] = stored.value;
    return out;
}

void Store::removeExpired()
{
    const TimePoint now = currentTime();
    for (auto it = m_values.begin(); it != m_values.end();) {
        const bool expired = it->second.expiresAt && *it->second.expiresAt <= now;
        it = expired ? m_values.erase(it) : std::next(it);
    }
}

bool Store::applyFaults(ServerExchange &exchange, bool isWrite)
{
    Duration responseDelay{};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_outage) {
            exchange.abort();
            return false;
        }
        ++(isWrite ? m_writeCount : m_readCount);
        if (!(isWrite ? m_writeLimit : m_readLimit).allow(currentTime())) {
            exchange.reply(429, "{\"error\":\"rate\"}");
            return false;
        }
        responseDelay = m_responseDelay;
    }
    std::this_thread::sleep_for(responseDelay);
    return true;
}

void Store::handle(ServerExchange &exchange)
{
    const std::string prefix = "/kv/";
    const std::string &path = exchange.path();
    if (path == "/control") {
        handleControl(exchange);
        return;
    }
    const bool isWrite = exchange.method() == "PUT" || exchange.method() == "DELETE";
    if (!applyFaults(exchange, isWrite)) {
        return;
    }
    if (path == "/kv") {
        handlePrefix(exchange);
        return;
    }
    if (path.compare(0, prefix.size(), prefix) != 0) {
        exchange.reply(404, "{\"error\":\"path\"}");
        return;
    }
    std::string key;
    Poco::URI::decode(path.substr(prefix.size()), key);
    if (isWrite) {
        handleWrite(exchange, key);
    } else {
        handleRead(exchange, key);
    }
}

bool Store::holdSuppressedWatch(ServerExchange &exchange, bool isWatch)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!isWatch || !m_suppressWatchResponses) {
            return false;
        }
    }
    for (Duration waited{}; waited < SUPPRESSED_WATCH_TIMEOUT && !exchange.isDisconnected() && !isStopRequested();
         waited += SUPPRESSED_WATCH_POLL_INTERVAL) {
        std::this_thread::sleep_for(SUPPRESSED_WATCH_POLL_INTERVAL);
    }
    exchange.abort();
    return true;
}

void Store::handleRead(ServerExchange &exchange, const std::string &key)
{
    const std::string seen = exchange.query("seen");
    const std::string wait = exchange.query("wait_ms");
    if (holdSuppressedWatch(exchange, !seen.empty())) {
        return;
    }
    std::unique_lock<std::mutex> lock(m_mutex);
    if (!seen.empty()) {
        const std::uint64_t seenVersion = std::stoull(seen);
        m_changed.wait_for(lock, milliseconds(std::stoll(wait)), [&] {
            const auto it = m_values.find(key);
            return m_outage || m_suppressWatchResponses || isStopRequested()
                || (it != m_values.end() && it->second.version != seenVersion);
        });
        if (m_outage) {
            exchange.abort();
            return;
        }
        if (m_suppressWatchResponses) {
            lock.unlock();
            holdSuppressedWatch(exchange, true);
            return;
        }
        const auto it = m_values.find(key);
        if (it != m_values.end() && it->second.version == seenVersion) {
            lock.unlock();
            exchange.reply(304, "");
            return;
        }
    }
    removeExpired();
    const auto it = m_values.find(key);
    if (it == m_values.end()) {
        lock.unlock();
        exchange.reply(404, "{\"error\":\"key\"}");
        return;
    }
    const std::string body = toJsonText(toJson(key, it->second));
    lock.unlock();
    exchange.reply(200, body);
}

void Store::handlePrefix(ServerExchange &exchange)
{
    const std::string prefix = exchange.query("prefix");
    Json::Value out;
    out["items"] = Json::Value(Json::arrayValue);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        removeExpired();
        for (auto it = m_values.lower_bound(prefix); it != m_values.end(); ++it) {
            if (it->first.compare(0, prefix.size(), prefix) != 0) {
                break;
            }
            out["items"].append(toJson(it->first, it->second));
        }
    }
    exchange.reply(200, toJsonText(out));
}

void Store::handleWrite(ServerExchange &exchange, const std::string &key)
{
    const auto body = exchange.readBody(MAX_VALUE_BYTES);
    if (!body) {
        exchange.reply(413, "{\"error\":\"value\"}");
        return;
    }
    const std::string expect = exchange.query("expect");
    const std::string ttl = exchange.query("ttl_ms");
    std::unique_lock<std::mutex> lock(m_mutex);
    removeExpired();
    const auto it = m_values.find(key);
    const std::uint64_t currentVersion = it == m_values.end() ? 0 : it->second.version;
    if (!expect.empty() && std::stoull(expect) != currentVersion) {
        lock.unlock();
        exchange.reply(409, "{\"version\":" + std::to_string(currentVersion) + "}");
        return;
    }
    std::uint64_t version = 0;
    if (exchange.method() == "DELETE") {
        m_values.erase(key);
    } else {
        version = m_nextVersion++;
        StoredValue stored{version, *body, std::nullopt};
        if (!ttl.empty()) {
            stored.expiresAt = currentTime() + milliseconds(std::stoll(ttl));
        }
        m_values[key] = stored;
    }
    const bool loseResponse = m_responsesToLose > 0;
    m_responsesToLose -= loseResponse ? 1 : 0;
    lock.unlock();
    m_changed.notify_all();
    if (loseResponse) {
        exchange.abort();
        return;
    }
    exchange.reply(200, "{\"version\":" + std::to_string(version) + "}");
}

void Store::handleControl(ServerExchange &exchange)
{
    const auto body = exchange.readBody(MAX_VALUE_BYTES);
    const JsonObject in(parseJson(body && !body->empty() ? *body : "{}"));
    Json::Value out;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_outage = in.boolean("outage", m_outage);
        m_responseDelay = milliseconds(in.integer("slow_ms", toMilliseconds(m_responseDelay)));
        m_responsesToLose = in.integer("lose_answers", m_responsesToLose);
        m_suppressWatchResponses = in.boolean("silence_watches", m_suppressWatchResponses);
        if (in.boolean("save", false)) {
            m_savedValues = m_values;
        }
        if (in.boolean("set_back", false)) {
            m_values = m_savedValues;
            for (auto &[key, stored] : m_values) {
                stored.version = m_nextVersion++;
            }
        }
        out["reads"] = Json::UInt64(m_readCount);
        out["writes"] = Json::UInt64(m_writeCount);
    }
    m_changed.notify_all();
    exchange.reply(200, toJsonText(out));
}

}

int main(int argc, char **argv)
{
    installSignalHandlers();
    startLogging();
    const Options options(
        argc, argv, {{"listen", "127.0.0.1:7700"}, {"reads-per-second", "2000"}, {"writes-per-second", "400"}});
    Store store(options.number("reads-per-second"), options.number("writes-per-second"));
    ThreadedHttpServer listener(
        options.address("listen"), THREAD_COUNT, [&](ServerExchange &exchange) { store.handle(exchange); });
    waitForStopSignal();
    std::_Exit(0);
}
