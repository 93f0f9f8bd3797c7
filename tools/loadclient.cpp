/** \file
 * Implements one caller of the load generator.
 */
#include "loadclient.h"

#include "clock.h"
#include "errors.h"
#include "httpexchange.h"
#include "jsoncodec.h"
#include "rendezvoushash.h"

#include <algorithm>
#include <thread>

namespace Cyclamenturn
{

namespace
{

constexpr Duration CONNECT_TIMEOUT = milliseconds(500);
/** Resends wait at least this long, also without "retry_after_ms" in the response. */
constexpr Duration MIN_RESEND_DELAY = milliseconds(20);
constexpr int HTTP_OK = 200;
constexpr int HTTP_LAST_SUCCESS = 299;
const std::string EVENT_PREFIX = "data: ";

/** One caller and its request in progress. */
class Caller
{
public:
    Caller(const LoadScenario &scenario, const PlannedRequest &request, TimePoint startedAt)
        : m_scenario(scenario)
        , m_request(request)
        , m_load(*request.load)
        , m_startedAt(startedAt)
        , m_issuedAt(currentTime())
    {
        m_result.load = request.load;
        m_result.start = request.start;
        if (m_load.sendsIdempotencyKey) {
            m_result.key = scenario.name + "-" + std::to_string(scenario.seed) + "-" + std::to_string(request.number)
                + "-" + std::to_string(startedAt.time_since_epoch().count());
        }
    }

    RequestResult run()
    {
        bool sawNotRun = false;
        bool sawOtherOutcome = false;
        for (int attempt = 0;; ++attempt) {
            sendAttempt(attempt);
            sawNotRun = sawNotRun || m_result.outcome == "not_run";
            sawOtherOutcome = sawOtherOutcome || m_result.outcome != "not_run";
            const bool mayResend = !m_result.complete && attempt < m_load.resends;
            const Duration resendDelay = std::max(MIN_RESEND_DELAY, m_retryAfter);
            if (!mayResend || currentTime() + resendDelay >= m_startedAt + m_load.deadline) {
                break;
            }
            ++m_result.resends;
            std::this_thread::sleep_for(resendDelay);
        }
        m_result.onlyNotRunOutcomes = sawNotRun && !sawOtherOutcome;
        m_result.total = currentTime() - m_startedAt;
        m_result.attained = m_result.complete && !m_result.wrong && m_result.total <= m_load.deadline;
        m_result.firstByteInTime = m_result.firstByte > Duration(0) && m_result.firstByte <= m_load.firstByteTarget;
        return m_result;
    }

private:
    HttpRequest makeRequest(int attempt) const
    {
        HttpRequest out;
        out.method = m_load.method;
        out.headers["Authorization"] = "Bearer " + m_load.teamKeys[m_request.team % m_load.teamKeys.size()];
        out.headers["X-Class"] = m_load.className;
        if (m_load.sendsIdempotencyKey) {
            out.headers["Idempotency-Key"] = m_result.key;
            out.headers["X-Issued-At"] = std::to_string(toMilliseconds(m_issuedAt));
            out.headers["X-Attempt"] = std::to_string(attempt);
        }
        if (!m_load.service.empty()) {
            out.path = "/svc/" + m_load.service + m_load.path;
            out.body = m_load.method == "GET" ? "" : "{\"marker\":\"" + marker() + "\"}";
            return out;
        }
        out.path = "/v1/chat/completions";
        Json::Value body;
        body["messages"] = messages();
        body["stream"] = m_load.streams;
        body["x_tokens"] = Json::UInt64(m_request.tokens);
        if (m_load.poison) {
            body["x_poison"] = true;
        }
        out.body = toJsonText(body);
        return out;
    }

    /** Text that identifies the request in its content and in the response of a plain service. */
    std::string marker() const
    {
        // All requests that crash engines have the same content.
        const std::uint64_t number = m_load.poison ? 0 : m_request.number;
        return m_load.className + "-" + std::to_string(m_scenario.seed) + "-" + std::to_string(number);
    }

    Json::Value messages() const
    {
        Json::Value out(Json::arrayValue);
        Json::Value system;
        system["role"] = "system";
        std::string text = "prefix " + std::to_string(m_request.prefix) + " ";
        text.resize(std::max(m_load.promptBytes, text.size()), 'x');
        system["content"] = text;
        Json::Value user;
        user["role"] = "user";
        user["content"] = marker();
        out.append(system);
        out.append(user);
        return out;
    }

    void sendAttempt(int attempt)
    {
        m_result.outcome = "connection";
        m_result.reason = "connection";
        m_retryAfter = Duration(0);
        m_content.clear();
        const std::size_t entry = (m_request.entry + static_cast<std::size_t>(attempt)) % m_scenario.entries.size();
        HttpConnection connection(m_scenario.entries[entry], HttpTimeouts{CONNECT_TIMEOUT, m_load.deadline * 2});
        try {
            const HttpResponse response = connection.begin(makeRequest(attempt));
            recordOutcome(response);
            const bool isStream = response.contentType.compare(0, 17, "text/event-stream") == 0;
            if (isStream) {
                readStream(connection);
            } else {
                readBody(connection, response);
            }
        } catch (const std::runtime_error &) {
            return;
        }
    }

    void recordOutcome(const HttpResponse &response)
    {
        const auto header = [&](const std::string &name) {
            const auto it = response.headers.find(name);
            return it == response.headers.end() ? std::string() : it->second;
        };
        if (!header("X-Outcome").empty()) {
            m_result.outcome = header("X-Outcome");
            m_result.reason = header("X-Reason");
        }
    }

    void readStream(HttpConnection &connection)
    {
        std::string line;
        while (connection.readLine(line)) {
            if (line.compare(0, EVENT_PREFIX.size(), EVENT_PREFIX) != 0) {
                continue;
            }
            const std::string data = line.substr(EVENT_PREFIX.size());
            if (data.compare(0, 6, "[DONE]") == 0) {
                m_result.complete = true;
                m_result.outcome = "served";
                m_result.reason = "none";
                break;
            }
            handleEvent(parseJson(data));
        }
        checkResponse();
    }

    void handleEvent(const Json::Value &event)
    {
        if (event.isMember("error")) {
            m_result.outcome = event["error"]["type"].asString();
            m_result.reason = event["error"]["reason"].asString();
            return;
        }
        const Json::Value &delta = event["choices"][0]["delta"];
        if (delta.isMember("content")) {
            recordFirstByte();
            m_content += delta["content"].asString();
        }
    }

    void recordFirstByte()
    {
        if (m_result.firstByte == Duration(0)) {
            m_result.firstByte = currentTime() - m_startedAt;
        }
    }

    /** Reads a response that isn't a stream of events. */
    void readBody(HttpConnection &connection, const HttpResponse &response)
    {
        const std::string body = connection.readBody();
        if (response.status < HTTP_OK || response.status > HTTP_LAST_SUCCESS) {
            const Json::Value error = parseJson(body)["error"];
            m_retryAfter = milliseconds(error.get("retry_after_ms", 0).asInt64());
            return;
        }
        recordFirstByte();
        m_result.complete = true;
        const Json::Value json = parseJson(body);
        if (m_load.service.empty()) {
            m_content = json["choices"][0]["message"]["content"].asString();
            checkResponse();
        } else if (m_load.method != "GET") {
            const bool isEchoed = json["echo"].asString().find(marker()) != std::string::npos;
            m_result.wrong = m_result.wrong || !isEchoed;
        }
    }

    /** Compares the content of a complete chat completion with the expected tokens. */
    void checkResponse()
    {
        if (!m_result.complete) {
            return;
        }
        const std::string text = toJsonText(messages());
        std::string expected;
        for (std::uint64_t i = 0; i < m_request.tokens; ++i) {
            expected += expectedToken(text, i);
        }
        m_result.wrong = m_content != expected;
        m_result.tokens = m_request.tokens;
    }

    const LoadScenario &m_scenario;
    const PlannedRequest &m_request;
    const LoadSpec &m_load;
    TimePoint m_startedAt;
    TimePoint m_issuedAt;
    RequestResult m_result;
    Duration m_retryAfter{};
    std::string m_content;
};

}

std::string expectedToken(const std::string &messages, std::uint64_t index)
{
    constexpr std::uint64_t TOKEN_RANGE = 100000;
    return std::to_string(contentHash(std::to_string(index), contentHash(messages)) % TOKEN_RANGE) + " ";
}

RequestResult runRequest(const LoadScenario &scenario, const PlannedRequest &request, TimePoint startedAt)
{
    return Caller(scenario, request, startedAt).run();
}

}
