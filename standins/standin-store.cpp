/** \file
 * Stand-in of the platform's key-value service: compare-and-swap, leases, prefix reads, watches as blocking reads, and
 * rate limits. Faults on command: POST /control with any of "outage" (true: connections are dropped), "slow_ms",
 * "lose_answers" (count of writes that take effect and are not answered), "silence_watches" (true: watches never
 * return), "save" (true: remember all values), "set_back" (true: go back to the remembered values).
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

constexpr std::size_t MOST_VALUE_BYTES = 1 << 20;
constexpr int THREADS = 400;
constexpr Duration SILENCE = milliseconds(600000);
constexpr Duration SILENCE_STEP = milliseconds(100);

/** Allows a number of calls in each second. */
class RateLimit
{
public:
    explicit RateLimit(std::int64_t perSecond)
        : m_perSecond(perSecond)
    {
    }

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

struct Entry
{
    std::uint64_t version = 0;
    std::string value;
    std::optional<TimePoint> expiresAt;
};

class Store
{
public:
    Store(std::int64_t readsPerSecond, std::int64_t writesPerSecond)
        : m_reads(readsPerSecond)
        , m_writes(writesPerSecond)
    {
    }

    void handle(ServerExchange &exchange);

private:
    void handleControl(ServerExchange &exchange);
    void handleRead(ServerExchange &exchange, const std::string &key);
    void handlePrefix(ServerExchange &exchange);
    void handleWrite(ServerExchange &exchange, const std::string &key);
    bool watchSilently(ServerExchange &exchange, bool isWatch);
    bool applyFaults(ServerExchange &exchange, bool isWrite);
    void expire();
    static Json::Value toJson(const std::string &key, const Entry &entry);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Entry> m_saved;
    /** Never goes back, so that versions stay unique after "set_back". */
    std::uint64_t m_nextVersion = 1;
    RateLimit m_reads;
    RateLimit m_writes;
    bool m_outage = false;
    Duration m_slow{};
    std::int64_t m_loseAnswers = 0;
    bool m_silentWatches = false;
    std::uint64_t m_readCount = 0;
    std::uint64_t m_writeCount = 0;
};

Json::Value Store::toJson(const std::string &key, const Entry &entry)
{
    Json::Value out;
    out["key"] = key;
    out["version"] = Json::UInt64(entry.version);
    out["value"] = entry.value;
    return out;
}

void Store::expire()
{
    const TimePoint now = currentTime();
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const bool expired = it->second.expiresAt && *it->second.expiresAt <= now;
        it = expired ? m_entries.erase(it) : std::next(it);
    }
}

bool Store::applyFaults(ServerExchange &exchange, bool isWrite)
{
    Duration slow{};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_outage) {
            exchange.drop();
            return false;
        }
        ++(isWrite ? m_writeCount : m_readCount);
        if (!(isWrite ? m_writes : m_reads).allow(currentTime())) {
            exchange.reply(429, "{\"error\":\"rate\"}");
            return false;
        }
        slow = m_slow;
    }
    std::this_thread::sleep_for(slow);
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

bool Store::watchSilently(ServerExchange &exchange, bool isWatch)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!isWatch || !m_silentWatches) {
            return false;
        }
    }
    for (Duration waited{}; waited < SILENCE && !exchange.peerClosed() && !isSignalled(); waited += SILENCE_STEP) {
        std::this_thread::sleep_for(SILENCE_STEP);
    }
    exchange.drop();
    return true;
}

void Store::handleRead(ServerExchange &exchange, const std::string &key)
{
    const std::string seen = exchange.query("seen");
    const std::string wait = exchange.query("wait_ms");
    if (watchSilently(exchange, !seen.empty())) {
        return;
    }
    std::unique_lock<std::mutex> lock(m_mutex);
    if (!seen.empty()) {
        const std::uint64_t seenVersion = std::stoull(seen);
        m_changed.wait_for(lock, milliseconds(std::stoll(wait)), [&] {
            const auto it = m_entries.find(key);
            return m_outage || m_silentWatches || isSignalled()
                || (it != m_entries.end() && it->second.version != seenVersion);
        });
        if (m_outage) {
            exchange.drop();
            return;
        }
        if (m_silentWatches) {
            lock.unlock();
            watchSilently(exchange, true);
            return;
        }
        const auto it = m_entries.find(key);
        if (it != m_entries.end() && it->second.version == seenVersion) {
            lock.unlock();
            exchange.reply(304, "");
            return;
        }
    }
    expire();
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
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
        expire();
        for (auto it = m_entries.lower_bound(prefix); it != m_entries.end(); ++it) {
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
    const auto body = exchange.readBody(MOST_VALUE_BYTES);
    if (!body) {
        exchange.reply(413, "{\"error\":\"value\"}");
        return;
    }
    const std::string expect = exchange.query("expect");
    const std::string ttl = exchange.query("ttl_ms");
    std::unique_lock<std::mutex> lock(m_mutex);
    expire();
    const auto it = m_entries.find(key);
    const std::uint64_t present = it == m_entries.end() ? 0 : it->second.version;
    if (!expect.empty() && std::stoull(expect) != present) {
        lock.unlock();
        exchange.reply(409, "{\"version\":" + std::to_string(present) + "}");
        return;
    }
    std::uint64_t version = 0;
    if (exchange.method() == "DELETE") {
        m_entries.erase(key);
    } else {
        version = m_nextVersion++;
        Entry entry{version, *body, std::nullopt};
        if (!ttl.empty()) {
            entry.expiresAt = currentTime() + milliseconds(std::stoll(ttl));
        }
        m_entries[key] = entry;
    }
    const bool lose = m_loseAnswers > 0;
    m_loseAnswers -= lose ? 1 : 0;
    lock.unlock();
    m_changed.notify_all();
    if (lose) {
        exchange.drop();
        return;
    }
    exchange.reply(200, "{\"version\":" + std::to_string(version) + "}");
}

void Store::handleControl(ServerExchange &exchange)
{
    const auto body = exchange.readBody(MOST_VALUE_BYTES);
    const JsonObject in(parseJson(body && !body->empty() ? *body : "{}"));
    Json::Value out;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_outage = in.boolean("outage", m_outage);
        m_slow = milliseconds(in.integer("slow_ms", toMilliseconds(m_slow)));
        m_loseAnswers = in.integer("lose_answers", m_loseAnswers);
        m_silentWatches = in.boolean("silence_watches", m_silentWatches);
        if (in.boolean("save", false)) {
            m_saved = m_entries;
        }
        if (in.boolean("set_back", false)) {
            m_entries = m_saved;
            for (auto &[key, entry] : m_entries) {
                entry.version = m_nextVersion++;
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
    prepareSignals();
    startLogging();
    const Options options(
        argc, argv, {{"listen", "127.0.0.1:7700"}, {"reads-per-second", "2000"}, {"writes-per-second", "400"}});
    Store store(options.number("reads-per-second"), options.number("writes-per-second"));
    ThreadedHttpServer listener(
        options.address("listen"), THREADS, [&](ServerExchange &exchange) { store.handle(exchange); });
    waitForSignal();
    std::_Exit(0);
}
