/** \file
 * Callers' requests at an entry.
 */
#include "entrydoor.h"

#include "clock.h"
#include "configurationservice.h"
#include "controlpages.h"
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
/** Longer than any wait of the core; only a broken invariant leaves a mailbox empty so long. */
constexpr Duration ACTION_TIMEOUT = milliseconds(60000);

}

EntryDoor::EntryDoor(const Settings &settings, std::shared_ptr<EntryLoop> loop,
    std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<FleetKey> fleetKey,
    std::shared_ptr<ControlPages> pages, std::shared_ptr<Metrics> metrics)
    : m_settings(settings)
    , m_loop(std::move(loop))
    , m_configuration(std::move(configuration))
    , m_fleetKey(std::move(fleetKey))
    , m_pages(std::move(pages))
    , m_metrics(std::move(metrics))
    , m_incarnation(static_cast<std::uint64_t>(currentTime().time_since_epoch().count()))
{
    m_pages->setReadiness([this] { return !m_leaving && m_configuration->revision() > 0; });
    m_pages->addMethod("process_status", [this](const Json::Value &) { return status(); });
}

EntryDoor::~EntryDoor() = default;

void EntryDoor::start()
{
    m_listener = std::make_unique<ThreadedHttpServer>(
        m_settings.listen, m_settings.threads, [this](ServerExchange &exchange) { handle(exchange); });
}

void EntryDoor::stop()
{
    m_listener.reset();
}

void EntryDoor::announceLeaving()
{
    m_leaving = true;
}

bool EntryDoor::drain(Duration timeout)
{
    m_listener->stopAccepting();
    return m_listener->waitIdle(timeout);
}

std::string EntryDoor::nextId()
{
    return m_settings.name + "-" + std::to_string(m_incarnation) + "-" + std::to_string(++m_nextId);
}

void EntryDoor::handle(ServerExchange &exchange)
{
    if (m_pages->handle(exchange)) {
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

void EntryDoor::handleCall(ServerExchange &exchange, const std::string &service)
{
    Progress progress{Call(), CallerRequest(), exchange.contentType(), ServiceKind::Plain, PlainReply(), "", 0,
        currentTime(), false, false};
    CallerRequest &request = progress.request;
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
    progress.call = std::get<Call>(admitted);
    progress.kind = configuration->findService(progress.call.service)->kind;
    try {
        progress.reply = makeReply(request, progress.kind);
    } catch (const UserError &) {
        refuse(exchange, request, Outcome::notRun(RefusalReason::BadRequest));
        return;
    }
    if (!service.empty()) {
        request.path = exchange.uri().substr(SERVICE_PATH.size() + service.size());
        request.path = request.path.empty() ? "/" : request.path;
    }
    serve(exchange, progress);
}

CallerReply EntryDoor::makeReply(const CallerRequest &request, ServiceKind kind) const
{
    if (kind == ServiceKind::Plain) {
        return PlainReply();
    }
    const JsonObject body(parseJson(request.body));
    body.array("messages");
    const bool streams = body.boolean("stream", false);
    return streams ? CallerReply(ChatStreamReply(request.id)) : CallerReply(ChatWholeReply(request.id));
}

void EntryDoor::refuse(ServerExchange &exchange, const CallerRequest &request, const Outcome &outcome)
{
    // A resend that is refused here says nothing of the first attempt under its key.
    const bool resend = !request.idempotencyKey.empty() && request.attempt != "0";
    const bool malformed = outcome.reason() == RefusalReason::UnknownTeam;
    const Outcome told = resend && !malformed ? Outcome::unknown(outcome.reason(), outcome.retryAfter()) : outcome;
    m_metrics->count("cyclamenturn_calls_total",
        {{"class", "none"}, {"outcome", toString(told.kind())}, {"reason", toString(told.reason())}});
    LogEvent("call_refused").field("call", request.id).field("reason", toString(told.reason()));
    exchange.setHeader("X-Request-Id", request.id);
    replyWithError(exchange, told);
}

void EntryDoor::serve(ServerExchange &exchange, Progress &progress)
{
    const std::string callId = progress.call.id;
    exchange.setHeader("X-Request-Id", callId);
    const auto mailbox = m_loop->admit(progress.call);
    if (!mailbox) {
        refuse(exchange, progress.request, Outcome::notRun(RefusalReason::RingFull, milliseconds(200)));
        return;
    }
    while (const auto action = mailbox->pop(ACTION_TIMEOUT)) {
        if (const auto *finishAction = std::get_if<FinishRequest>(&*action)) {
            finish(exchange, progress, finishAction->outcome);
            break;
        }
        if (const auto *wait = std::get_if<WaitForRetry>(&*action)) {
            std::this_thread::sleep_for(wait->delay);
            m_loop->report(RetryDue{callId});
        } else if (const auto *send = std::get_if<SendAttempt>(&*action)) {
            m_loop->report(attempt(exchange, progress, *send));
        }
    }
    m_loop->closeMailbox(callId);
}

AttemptEnded EntryDoor::attempt(ServerExchange &exchange, Progress &progress, const SendAttempt &action)
{
    CallHeader header;
    header.call = progress.call;
    header.method = progress.request.method;
    header.path = progress.request.path;
    header.contentType = progress.contentType;
    header.incarnation = action.incarnation;
    header.piecesDelivered = progress.pieces;
    header.from = m_settings.advertised;
    header.revision = m_configuration->revision();
    header.storeReachable = m_configuration->isStoreReachable(currentTime());
    header.crashes = action.crashes;
    if (progress.kind == ServiceKind::Plain) {
        // Only a whole plain answer is passed on, so a new attempt starts a new one.
        progress.reply = PlainReply();
        header.piecesDelivered = 0;
    }
    const Address agent{action.host, action.port};
    AgentLink link(agent, m_fleetKey, header, bodyFor(progress), makeSink(exchange, progress, agent));
    const AttemptResult result = link.run(action.handshake);
    progress.pieces = link.piecesDelivered();
    return AttemptEnded{progress.call.id, action.endpoint, result};
}

std::string EntryDoor::bodyFor(const Progress &progress) const
{
    if (progress.pieces == 0 || progress.kind == ServiceKind::Plain) {
        return progress.request.body;
    }
    Json::Value body = parseJson(progress.request.body);
    body["resume_text"] = progress.delivered;
    return toJsonText(body);
}

AttemptSink EntryDoor::makeSink(ServerExchange &exchange, Progress &progress, const Address &agent)
{
    AttemptSink sink;
    sink.onHead = [&](const AnswerHead &head) {
        return std::visit([&](auto &reply) { return reply.head(exchange, head); }, progress.reply);
    };
    sink.onPiece = [&](const std::string &text) {
        if (!progress.firstPieceSeen) {
            progress.firstPieceSeen = true;
            m_metrics->observe("cyclamenturn_first_byte_seconds", {{"class", progress.call.className}},
                currentTime() - progress.arrivedAt);
        }
        if (progress.kind == ServiceKind::Model) {
            progress.delivered += text;
        }
        const bool sent = std::visit([&](auto &reply) { return reply.piece(exchange, text); }, progress.reply);
        progress.callerGone = progress.callerGone || !sent;
        return sent || !progress.call.idempotent;
    };
    sink.onBeat = [&] {
        progress.callerGone = progress.callerGone || exchange.peerClosed();
        return !progress.callerGone || !progress.call.idempotent;
    };
    sink.onFigures = [this, agent](const AgentStatus &figures) {
        m_configuration->handleRemoteRevision(agent, figures.revision);
        m_loop->report(AgentReportReceived{figures});
    };
    return sink;
}

void EntryDoor::finish(ServerExchange &exchange, Progress &progress, const Outcome &outcome)
{
    const Duration elapsed = currentTime() - progress.arrivedAt;
    const std::string &className = progress.call.className;
    m_metrics->count("cyclamenturn_calls_total",
        {{"class", className}, {"outcome", toString(outcome.kind())}, {"reason", toString(outcome.reason())}});
    m_metrics->observe("cyclamenturn_call_seconds", {{"class", className}}, elapsed);
    LogEvent("call_finished")
        .field("call", progress.call.id)
        .field("class", className)
        .field("team", progress.call.team)
        .field("outcome", toString(outcome.kind()))
        .field("reason", toString(outcome.reason()))
        .field("pieces", static_cast<long long>(progress.pieces))
        .field("elapsed_ms", static_cast<long long>(toMilliseconds(elapsed)));
    std::visit([&](auto &reply) { reply.finish(exchange, outcome); }, progress.reply);
}

Json::Value EntryDoor::status()
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
    out["ready"] = !m_leaving && m_configuration->revision() > 0;
    out["endpoints"] = m_loop->endpointsStatus();
    return out;
}

}
