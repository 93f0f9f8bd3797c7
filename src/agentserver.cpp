/** \file
 * Handling of the HTTP requests that entries send to an agent.
 */
#include "agentserver.h"

#include "adminhandler.h"
#include "agentloop.h"
#include "clock.h"
#include "configurationservice.h"
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
/**
 * A keep-alive frame is sent after this time without another frame, so that the entry can distinguish a slow response
 * from a broken connection.
 */
constexpr Duration KEEP_ALIVE_INTERVAL = milliseconds(500);
/** Used until the agent has a configuration. */
constexpr std::size_t DEFAULT_BODY_LIMIT_BYTES = 1 << 20;
/** Allowance for the text generated so far, which the entry adds to the caller's body when it resumes a generation. */
constexpr std::size_t RESUME_OVERHEAD_BYTES = 1 << 20;
/** Maximum time to wait for the agent core to look up a key. */
constexpr Duration KEY_QUERY_TIMEOUT = milliseconds(250);
/** Longer responses are not sent to other agents. */
constexpr std::size_t MAX_SHARED_RESPONSE_BYTES = 64 << 10;

}

AgentServer::AgentServer(const Settings &settings, std::shared_ptr<AgentCalls> calls, std::shared_ptr<AgentLoop> loop,
    std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<AdminHandler> adminHandler)
    : m_settings(settings)
    , m_calls(std::move(calls))
    , m_loop(std::move(loop))
    , m_configuration(std::move(configuration))
    , m_adminHandler(std::move(adminHandler))
{
    m_adminHandler->setReadinessCheck([this] { return m_loop->isReady(); });
    m_adminHandler->addMethod("key_query", [this](const Json::Value &parameters) { return queryKey(parameters); });
    m_adminHandler->addMethod("process_status", [this](const Json::Value &) { return status(); });
}

AgentServer::~AgentServer() = default;

void AgentServer::start()
{
    m_listener = std::make_unique<ThreadedHttpServer>(
        m_settings.listen, m_settings.threads, [this](ServerExchange &exchange) { handle(exchange); },
        m_adminHandler->clientResources(m_settings.memoryMegabytes, m_settings.descriptors));
}

void AgentServer::stop()
{
    m_listener->stopAccepting();
    m_listener.reset();
}

void AgentServer::drain(Duration timeout)
{
    m_shuttingDown = true;
    m_listener->waitIdle(timeout);
}

void AgentServer::handle(ServerExchange &exchange)
{
    if (m_adminHandler->handle(exchange) || !m_adminHandler->authorize(exchange)) {
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

void AgentServer::handleHandshake(ServerExchange &exchange)
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
    if (m_shuttingDown) {
        // After a refused handshake the entry does not send the call here, but tries another agent.
        exchange.reply(HTTP_UNAVAILABLE, "{\"error\":\"leaving\"}");
        return;
    }
    exchange.expectFollowUp();
    exchange.reply(HTTP_OK, toJsonText(m_loop->statusReport().toJson()));
}

void AgentServer::handleNewCall(ServerExchange &exchange)
{
    const auto configuration = m_configuration->current();
    const std::size_t limit = configuration ? configuration->limits().bodyLimitBytes : DEFAULT_BODY_LIMIT_BYTES;
    auto body = exchange.readBody(limit + RESUME_OVERHEAD_BYTES);
    if (!body) {
        exchange.reply(HTTP_TOO_LARGE, "{\"error\":\"body\"}");
        return;
    }
    try {
        const CallHeader header = CallHeader::decode(exchange.header("X-Call"));
        m_configuration->handleRemoteRevision(header.from, header.revision);
        streamResponse(exchange, accept(header, std::move(*body)), header.piecesDelivered);
    } catch (const UserError &error) {
        Json::Value out;
        out["error"] = error.what();
        exchange.reply(HTTP_BAD_REQUEST, toJsonText(out));
    }
}

std::shared_ptr<ResponseBuffer> AgentServer::accept(const CallHeader &header, std::string body)
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
    call.response = std::make_shared<ResponseBuffer>(header.piecesDelivered);
    call.offeredAt = currentTime();
    if (!m_calls->add(header.call.id, call)) {
        return m_calls->response(header.call.id);
    }
    if (!m_loop->offer(CallOffered{header.call, header.incarnation, header.storeReachable, header.crashes})) {
        call.response->finish(Outcome::notRun(RefusalReason::RingFull), currentTime());
    }
    return call.response;
}

void AgentServer::handleResume(ServerExchange &exchange, const std::string &callId)
{
    const auto response = m_calls->response(callId);
    std::size_t firstPiece = 0;
    try {
        firstPiece = std::stoull(exchange.query("from"));
    } catch (const std::exception &) {
        exchange.reply(HTTP_BAD_REQUEST, "{\"error\":\"from\"}");
        return;
    }
    if (!response) {
        exchange.reply(HTTP_NOT_FOUND, "{\"error\":\"call\"}");
        return;
    }
    streamResponse(exchange, response, firstPiece);
}

void AgentServer::handleCancel(ServerExchange &exchange, const std::string &callId)
{
    m_loop->report(CallCancelled{callId});
    exchange.reply(HTTP_OK, "{}");
}

void AgentServer::streamResponse(
    ServerExchange &exchange, const std::shared_ptr<ResponseBuffer> &response, std::size_t firstPiece)
{
    response->attachReader();
    try {
        sendFrames(exchange.beginStream(HTTP_OK, "application/x-ndjson"), *response, firstPiece);
    } catch (const std::exception &) {
        response->detachReader(currentTime());
        throw;
    }
    response->detachReader(currentTime());
}

void AgentServer::sendFrames(std::ostream &out, ResponseBuffer &response, std::size_t firstPiece)
{
    bool headSent = false;
    std::size_t nextPiece = firstPiece;
    while (out.good()) {
        const ResponseUpdate update = response.read(nextPiece, headSent, KEEP_ALIVE_INTERVAL);
        std::string text;
        if (update.head) {
            headSent = true;
            text += encodeFrame(HeadFrame{*update.head});
        }
        for (const auto &piece : update.pieces) {
            text += encodeFrame(PieceFrame{nextPiece, piece});
            ++nextPiece;
        }
        if (update.end) {
            text += encodeFrame(EndFrame{*update.end, m_loop->statusReport()});
        } else if (text.empty()) {
            text = encodeFrame(KeepAliveFrame{m_loop->statusReport()});
        }
        out << text << std::flush;
        if (update.end) {
            return;
        }
    }
}

Json::Value AgentServer::queryKey(const Json::Value &parameters)
{
    const JsonObject in(parameters);
    const TimePoint issuedAt{Duration(in.integer("issued_us"))};
    auto promise = std::make_shared<std::promise<std::optional<KeyRecord>>>();
    auto future = promise->get_future();
    const bool queued = m_loop->queryKey(
        in.text("key"), issuedAt, [promise](const std::optional<KeyRecord> &record) { promise->set_value(record); });
    if (!queued || future.wait_for(KEY_QUERY_TIMEOUT) != std::future_status::ready) {
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
    const auto response = m_calls->response(record->callId);
    if (record->state == KeyState::Ended && response && response->head()) {
        const std::string body = response->joinedPieces();
        if (body.size() <= MAX_SHARED_RESPONSE_BYTES) {
            out["status"] = response->head()->status;
            out["type"] = response->head()->contentType;
            out["body"] = toBase64(body);
        }
    }
    return out;
}

Json::Value AgentServer::status()
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
    out["figures"] = m_loop->statusReport().toJson();
    return out;
}

}
