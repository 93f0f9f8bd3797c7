/** \file
 * Handling of callers' requests at an entry.
 */
#include "entryserver.h"

#include "adminhandler.h"
#include "clock.h"
#include "configurationservice.h"
#include "errors.h"
#include "eventlog.h"
#include "fleetkey.h"
#include "jsoncodec.h"
#include "metrics.h"
#include "transport/serverexchange.h"
#include "transport/threadedhttpserver.h"

namespace Cyclamenturn
{

namespace
{

constexpr int HTTP_NOT_FOUND = 404;
const std::string CHAT_PATH = "/v1/chat/completions";
const std::string SERVICE_PATH = "/svc/";
/** Longer than any delay of the core. A mailbox that stays empty for this long indicates a broken invariant. */
constexpr Duration ACTION_TIMEOUT = milliseconds(60000);

}

EntryServer::EntryServer(const Settings &settings, std::shared_ptr<EntryLoop> loop,
    std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<FleetKey> fleetKey,
    std::shared_ptr<AdminHandler> adminHandler, std::shared_ptr<Metrics> metrics)
    : m_settings(settings)
    , m_loop(std::move(loop))
    , m_configuration(std::move(configuration))
    , m_fleetKey(std::move(fleetKey))
    , m_adminHandler(std::move(adminHandler))
    , m_metrics(std::move(metrics))
    , m_incarnation(static_cast<std::uint64_t>(currentTime().time_since_epoch().count()))
{
    m_adminHandler->setReadinessCheck([this] { return !m_shuttingDown && m_configuration->revision() > 0; });
    m_adminHandler->addMethod("process_status", [this](const Json::Value &) { return status(); });
}

EntryServer::~EntryServer() = default;

void EntryServer::start()
{
    m_listener = std::make_unique<ThreadedHttpServer>(
        m_settings.listen, m_settings.threads, [this](ServerExchange &exchange) { handle(exchange); },
        m_adminHandler->clientResources(m_settings.memoryMegabytes, m_settings.descriptors));
}

void EntryServer::stop()
{
    m_listener.reset();
}

void EntryServer::announceShutdown()
{
    m_shuttingDown = true;
}

bool EntryServer::drain(Duration timeout)
{
    m_listener->stopAccepting();
    return m_listener->waitIdle(timeout);
}

std::string EntryServer::nextId()
{
    return m_settings.name + "-" + std::to_string(m_incarnation) + "-" + std::to_string(++m_nextId);
}

void EntryServer::handle(ServerExchange &exchange)
{
    if (m_adminHandler->handle(exchange)) {
        return;
    }
    const std::string &path = exchange.path();
    if (path == CHAT_PATH) {
        handleCall(exchange, "");
    } else if (path.compare(0, SERVICE_PATH.size(), SERVICE_PATH) == 0) {
        const std::string rest = path.substr(SERVICE_PATH.size());
        handleCall(exchange, rest.substr(0, rest.find('/')));
    } else {
        exchange.reply(HTTP_NOT_FOUND, "{\"error\":{\"type\":\"not_run\",\"reason\":\"unknown_service\"}}");
    }
}

void EntryServer::handleCall(ServerExchange &exchange, const std::string &service)
{
    RequestContext context{Call(), CallerRequest(), exchange.contentType(), ServiceKind::Plain, PlainReply(), "", 0,
        currentTime(), false, false};
    CallerRequest &request = context.request;
    request.id = nextId();
    request.keyHash = sha256Hex(bearerToken(exchange.header("Authorization")));
    request.className = exchange.header("X-Class");
    request.service = service;
    request.method = exchange.method();
    request.path = exchange.uri();
    request.idempotencyKey = exchange.header("Idempotency-Key");
    request.issuedAt = exchange.header("X-Issued-At");
    request.attempt = exchange.header("X-Attempt");

    const auto configuration = m_configuration->current();
    if (!configuration) {
        refuse(exchange, request, Outcome::notRun(RefusalReason::NoConfiguration, milliseconds(1000)));
        return;
    }
    auto body = exchange.readBody(configuration->limits().bodyLimitBytes);
    if (!body) {
        refuse(exchange, request, Outcome::notRun(RefusalReason::BodyTooLarge));
        return;
    }
    request.body = std::move(*body);
    const auto admitted = admitCall(*configuration, request, currentTime());
    if (const auto *refusal = std::get_if<Outcome>(&admitted)) {
        refuse(exchange, request, *refusal);
        return;
    }
    context.call = std::get<Call>(admitted);
    context.kind = configuration->findService(context.call.service)->kind;
    try {
        context.reply = makeReply(request, context.kind);
    } catch (const UserError &) {
        refuse(exchange, request, Outcome::notRun(RefusalReason::BadRequest));
        return;
    }
    if (!service.empty()) {
        request.path = exchange.uri().substr(SERVICE_PATH.size() + service.size());
        request.path = request.path.empty() ? "/" : request.path;
    }
    serve(exchange, context);
}

CallerReply EntryServer::makeReply(const CallerRequest &request, ServiceKind kind) const
{
    if (kind == ServiceKind::Plain) {
        return PlainReply();
    }
    const JsonObject body(parseJson(request.body));
    body.array("messages");
    const bool streams = body.boolean("stream", false);
    return streams ? CallerReply(ChatStreamReply(request.id)) : CallerReply(ChatObjectReply(request.id));
}

void EntryServer::refuse(ServerExchange &exchange, const CallerRequest &request, const Outcome &outcome)
{
    // When a resend is refused here, the first attempt with its key may still have run, so the outcome is unknown.
    const bool resend = !request.idempotencyKey.empty() && request.attempt != "0";
    const bool unknownTeam = outcome.reason() == RefusalReason::UnknownTeam;
    const Outcome reportedOutcome
        = resend && !unknownTeam ? Outcome::unknown(outcome.reason(), outcome.retryAfter()) : outcome;
    m_metrics->count("cyclamenturn_calls_total",
        {{"class", "none"}, {"outcome", toString(reportedOutcome.kind())},
            {"reason", toString(reportedOutcome.reason())}});
    LogEvent("call_refused").field("call", request.id).field("reason", toString(reportedOutcome.reason()));
    exchange.setHeader("X-Request-Id", request.id);
    replyWithError(exchange, reportedOutcome);
}

void EntryServer::serve(ServerExchange &exchange, RequestContext &context)
{
    const std::string callId = context.call.id;
    exchange.setHeader("X-Request-Id", callId);
    const auto mailbox = m_loop->admit(context.call);
    if (!mailbox) {
        refuse(exchange, context.request, Outcome::notRun(RefusalReason::RingFull, milliseconds(200)));
        return;
    }
    while (const auto action = mailbox->pop(ACTION_TIMEOUT)) {
        if (const auto *finishAction = std::get_if<FinishRequest>(&*action)) {
            finish(exchange, context, finishAction->outcome);
            break;
        }
        if (const auto *wait = std::get_if<WaitForRetry>(&*action)) {
            std::this_thread::sleep_for(wait->delay);
            m_loop->report(RetryDue{callId});
        } else if (const auto *send = std::get_if<SendAttempt>(&*action)) {
            m_loop->report(runAttempt(exchange, context, *send));
        }
    }
    m_loop->closeMailbox(callId);
}

AttemptEnded EntryServer::runAttempt(ServerExchange &exchange, RequestContext &context, const SendAttempt &action)
{
    CallHeader header;
    header.call = context.call;
    header.method = context.request.method;
    header.path = context.request.path;
    header.contentType = context.contentType;
    header.incarnation = action.incarnation;
    header.piecesDelivered = context.deliveredPieces;
    header.from = m_settings.advertised;
    header.revision = m_configuration->revision();
    header.storeReachable = m_configuration->isStoreReachable(currentTime());
    header.crashes = action.crashes;
    if (context.kind == ServiceKind::Plain) {
        // Plain responses reach the caller only when complete, so a new attempt starts from the beginning.
        context.reply = PlainReply();
        header.piecesDelivered = 0;
    }
    const Address agent{action.host, action.port};
    AgentAttempt agentAttempt(agent, m_fleetKey, header, requestBody(context), makeSink(exchange, context, agent));
    const AttemptResult result = agentAttempt.run(action.handshake);
    context.deliveredPieces = agentAttempt.piecesDelivered();
    return AttemptEnded{context.call.id, action.endpoint, result};
}

std::string EntryServer::requestBody(const RequestContext &context) const
{
    if (context.deliveredPieces == 0 || context.kind == ServiceKind::Plain) {
        return context.request.body;
    }
    Json::Value body = parseJson(context.request.body);
    body["resume_text"] = context.deliveredText;
    return toJsonText(body);
}

AttemptSink EntryServer::makeSink(ServerExchange &exchange, RequestContext &context, const Address &agent)
{
    AttemptSink sink;
    sink.onHead = [&](const ResponseHead &head) {
        return std::visit([&](auto &reply) { return reply.handleHead(exchange, head); }, context.reply);
    };
    sink.onPiece = [&](const std::string &text) {
        if (!context.firstPieceSeen) {
            context.firstPieceSeen = true;
            m_metrics->observe("cyclamenturn_first_byte_seconds", {{"class", context.call.className}},
                currentTime() - context.arrivedAt);
        }
        if (context.kind == ServiceKind::Model) {
            context.deliveredText += text;
        }
        const bool sent = std::visit([&](auto &reply) { return reply.handlePiece(exchange, text); }, context.reply);
        context.callerDisconnected = context.callerDisconnected || !sent;
        return sent || !context.call.idempotent;
    };
    sink.onKeepAlive = [&] {
        context.callerDisconnected = context.callerDisconnected || exchange.isDisconnected();
        return !context.callerDisconnected || !context.call.idempotent;
    };
    sink.onStatus = [this, agent](const AgentStatus &agentStatus) {
        m_configuration->handleRemoteRevision(agent, agentStatus.revision);
        m_loop->report(AgentReportReceived{agentStatus});
    };
    return sink;
}

void EntryServer::finish(ServerExchange &exchange, RequestContext &context, const Outcome &outcome)
{
    const Duration elapsed = currentTime() - context.arrivedAt;
    const std::string &className = context.call.className;
    m_metrics->count("cyclamenturn_calls_total",
        {{"class", className}, {"outcome", toString(outcome.kind())}, {"reason", toString(outcome.reason())}});
    m_metrics->observe("cyclamenturn_call_seconds", {{"class", className}}, elapsed);
    LogEvent("call_finished")
        .field("call", context.call.id)
        .field("class", className)
        .field("team", context.call.team)
        .field("outcome", toString(outcome.kind()))
        .field("reason", toString(outcome.reason()))
        .field("pieces", static_cast<long long>(context.deliveredPieces))
        .field("elapsed_ms", static_cast<long long>(toMilliseconds(elapsed)));
    std::visit([&](auto &reply) { reply.finish(exchange, outcome); }, context.reply);
}

Json::Value EntryServer::status()
{
    Json::Value out;
    out["role"] = "entry";
    out["name"] = m_settings.name;
    out["vm"] = m_settings.vm;
    out["failure_domain"] = m_settings.failureDomain;
    out["version"] = CYCLAMENTURN_VERSION;
    out["revision"] = Json::UInt64(m_configuration->revision());
    out["invalid_revision"] = Json::UInt64(m_configuration->invalidRevision());
    out["invalid_reason"] = m_configuration->invalidReason();
    out["ready"] = !m_shuttingDown && m_configuration->revision() > 0;
    out["endpoints"] = m_loop->endpointsStatus();
    return out;
}

}
