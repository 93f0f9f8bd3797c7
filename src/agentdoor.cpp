/** \file
 * Calls and answers between entries and an agent.
 */
#include "agentdoor.h"

#include "agentloop.h"
#include "clock.h"
#include "configurationservice.h"
#include "controlpages.h"
#include "errors.h"
#include "jsoncodec.h"
#include "transport/serverexchange.h"
#include "transport/threadedhttpserver.h"

#include <future>

namespace Cyclamenturn
{

namespace
{

constexpr int HTTP_OK = 200;
constexpr int HTTP_BAD_REQUEST = 400;
constexpr int HTTP_NOT_FOUND = 404;
constexpr int HTTP_TOO_LARGE = 413;
constexpr int HTTP_UNAVAILABLE = 503;
const std::string CALLS_PATH = "/v1/calls/";
constexpr Duration BEAT_INTERVAL = milliseconds(500);
constexpr std::size_t FALLBACK_BODY_LIMIT = 1 << 20;
/** Room for what the entry adds to a caller's body when a generation resumes. */
constexpr std::size_t RESUME_ROOM_BYTES = 1 << 20;
constexpr Duration KEY_QUERY_TIMEOUT = milliseconds(250);
/** Answers longer than this aren't handed to other agents. */
constexpr std::size_t MOST_SHARED_ANSWER_BYTES = 64 << 10;

}

AgentDoor::AgentDoor(const Settings &settings, std::shared_ptr<AgentCalls> calls, std::shared_ptr<AgentLoop> loop,
    std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<ControlPages> pages)
    : m_settings(settings)
    , m_calls(std::move(calls))
    , m_loop(std::move(loop))
    , m_configuration(std::move(configuration))
    , m_pages(std::move(pages))
{
    m_pages->setReadiness([this] { return m_loop->isReady(); });
    m_pages->addMethod("key_query", [this](const Json::Value &parameters) { return queryKey(parameters); });
    m_pages->addMethod("process_status", [this](const Json::Value &) { return status(); });
}

AgentDoor::~AgentDoor() = default;

void AgentDoor::start()
{
    m_listener = std::make_unique<ThreadedHttpServer>(
        m_settings.listen, m_settings.threads, [this](ServerExchange &exchange) { handle(exchange); });
}

void AgentDoor::stop()
{
    m_listener->stopAccepting();
    m_listener.reset();
}

void AgentDoor::waitIdle(Duration timeout)
{
    m_leaving = true;
    m_listener->waitIdle(timeout);
}

void AgentDoor::handle(ServerExchange &exchange)
{
    if (m_pages->handle(exchange) || !m_pages->authorize(exchange)) {
        return;
    }
    const std::string &path = exchange.path();
    const std::string &method = exchange.method();
    if (path == "/v1/handshake") {
        handleHandshake(exchange);
    } else if (path == "/v1/calls" && method == "POST") {
        handleNewCall(exchange);
    } else if (path.compare(0, CALLS_PATH.size(), CALLS_PATH) == 0 && method == "GET") {
        handleResume(exchange, path.substr(CALLS_PATH.size()));
    } else if (path.compare(0, CALLS_PATH.size(), CALLS_PATH) == 0 && method == "DELETE") {
        handleCancel(exchange, path.substr(CALLS_PATH.size()));
    } else {
        exchange.reply(HTTP_NOT_FOUND, "{\"error\":\"path\"}");
    }
}

void AgentDoor::handleHandshake(ServerExchange &exchange)
{
    const std::string from = exchange.header("X-From");
    const std::string revision = exchange.header("X-Revision");
    if (!from.empty() && !revision.empty()) {
        try {
            m_configuration->handleRemoteRevision(addressFromString(from), std::stoull(revision));
        } catch (const std::exception &) {
            exchange.reply(HTTP_BAD_REQUEST, "{\"error\":\"handshake\"}");
            return;
        }
    }
    if (m_leaving) {
        // Without this answer an entry sends nothing, and takes the call to another agent.
        exchange.reply(HTTP_UNAVAILABLE, "{\"error\":\"leaving\"}");
        return;
    }
    exchange.expectFollowUp();
    exchange.reply(HTTP_OK, toJsonText(m_loop->figures().toJson()));
}

void AgentDoor::handleNewCall(ServerExchange &exchange)
{
    const auto configuration = m_configuration->current();
    const std::size_t limit = configuration ? configuration->limits().bodyLimitBytes : FALLBACK_BODY_LIMIT;
    auto body = exchange.readBody(limit + RESUME_ROOM_BYTES);
    if (!body) {
        exchange.reply(HTTP_TOO_LARGE, "{\"error\":\"body\"}");
        return;
    }
    try {
        const CallHeader header = CallHeader::decode(exchange.header("X-Call"));
        m_configuration->handleRemoteRevision(header.from, header.revision);
        stream(exchange, accept(header, std::move(*body)), header.piecesDelivered);
    } catch (const UserError &error) {
        Json::Value out;
        out["error"] = error.what();
        exchange.reply(HTTP_BAD_REQUEST, toJsonText(out));
    }
}

std::shared_ptr<AnswerBuffer> AgentDoor::accept(const CallHeader &header, std::string body)
{
    const auto configuration = m_configuration->current();
    const ServiceSpec *service = configuration ? configuration->findService(header.call.service) : nullptr;
    AgentCall call;
    call.request.call = header.call;
    call.request.kind = service ? service->kind : ServiceKind::Plain;
    call.request.method = header.method;
    call.request.path = header.path;
    call.request.contentType = header.contentType;
    call.request.body = std::move(body);
    call.answer = std::make_shared<AnswerBuffer>(header.piecesDelivered);
    call.offeredAt = currentTime();
    if (!m_calls->add(header.call.id, call)) {
        return m_calls->answer(header.call.id);
    }
    if (!m_loop->offer(CallOffered{header.call, header.incarnation, header.storeReachable, header.crashes})) {
        call.answer->finish(Outcome::notRun(RefusalReason::RingFull), currentTime());
    }
    return call.answer;
}

void AgentDoor::handleResume(ServerExchange &exchange, const std::string &callId)
{
    const auto answer = m_calls->answer(callId);
    std::size_t from = 0;
    try {
        from = std::stoull(exchange.query("from"));
    } catch (const std::exception &) {
        exchange.reply(HTTP_BAD_REQUEST, "{\"error\":\"from\"}");
        return;
    }
    if (!answer) {
        exchange.reply(HTTP_NOT_FOUND, "{\"error\":\"call\"}");
        return;
    }
    stream(exchange, answer, from);
}

void AgentDoor::handleCancel(ServerExchange &exchange, const std::string &callId)
{
    m_loop->report(CallCancelled{callId});
    exchange.reply(HTTP_OK, "{}");
}

void AgentDoor::stream(ServerExchange &exchange, const std::shared_ptr<AnswerBuffer> &answer, std::size_t from)
{
    answer->attachReader();
    try {
        sendFrames(exchange.beginStream(HTTP_OK, "application/x-ndjson"), *answer, from);
    } catch (const std::exception &) {
        answer->detachReader(currentTime());
        throw;
    }
    answer->detachReader(currentTime());
}

void AgentDoor::sendFrames(std::ostream &out, AnswerBuffer &answer, std::size_t from)
{
    bool knowsHead = false;
    std::size_t next = from;
    while (out.good()) {
        const AnswerNews news = answer.read(next, knowsHead, BEAT_INTERVAL);
        std::string text;
        if (news.head) {
            knowsHead = true;
            text += encodeFrame(HeadFrame{*news.head});
        }
        for (const auto &piece : news.pieces) {
            text += encodeFrame(PieceFrame{next, piece});
            ++next;
        }
        if (news.end) {
            text += encodeFrame(EndFrame{*news.end, m_loop->figures()});
        } else if (text.empty()) {
            text = encodeFrame(HeartbeatFrame{m_loop->figures()});
        }
        out << text << std::flush;
        if (news.end) {
            return;
        }
    }
}

Json::Value AgentDoor::queryKey(const Json::Value &parameters)
{
    const JsonObject in(parameters);
    const TimePoint issuedAt{Duration(in.integer("issued_us"))};
    auto promise = std::make_shared<std::promise<std::optional<KeyRecord>>>();
    auto future = promise->get_future();
    const bool asked = m_loop->queryKey(
        in.text("key"), issuedAt, [promise](const std::optional<KeyRecord> &record) { promise->set_value(record); });
    if (!asked || future.wait_for(KEY_QUERY_TIMEOUT) != std::future_status::ready) {
        throw UserError("the agent is too busy to look up a key; ask again");
    }
    Json::Value out;
    out["endpoint"] = m_loop->identity().endpoint;
    out["incarnation"] = Json::UInt64(m_loop->identity().incarnation);
    const auto record = future.get();
    if (!record) {
        return out;
    }
    out["state"] = toString(record->state);
    const auto answer = m_calls->answer(record->callId);
    if (record->state == KeyState::Ended && answer && answer->head()) {
        const std::string body = answer->joined();
        if (body.size() <= MOST_SHARED_ANSWER_BYTES) {
            out["status"] = answer->head()->status;
            out["type"] = answer->head()->contentType;
            out["body"] = toBase64(body);
        }
    }
    return out;
}

Json::Value AgentDoor::status()
{
    Json::Value out;
    out["role"] = "agent";
    out["name"] = m_settings.name;
    out["vm"] = m_settings.vm;
    out["failure_domain"] = m_settings.failureDomain;
    out["version"] = CYCLAMENTURN_VERSION;
    out["revision"] = Json::UInt64(m_configuration->revision());
    out["invalid_revision"] = Json::UInt64(m_configuration->invalidRevision());
    out["invalid_reason"] = m_configuration->invalidReason();
    out["ready"] = m_loop->isReady();
    out["figures"] = m_loop->figures().toJson();
    return out;
}

}
