/** \file
 * HTTP exchanges between an agent and its endpoint.
 */
#include "endpointrunner.h"

#include "clock.h"
#include "errors.h"
#include "httpexchange.h"
#include "jsoncodec.h"

namespace Cyclamenturn
{

namespace
{

constexpr int HTTP_OK = 200;
constexpr int HTTP_CONFLICT = 409;
/** The receive timeout is long because an order may load model weights. */
constexpr HttpTimeouts ORDER_TIMEOUTS{milliseconds(300), milliseconds(120000)};
constexpr HttpTimeouts MODEL_TIMEOUTS{milliseconds(300), milliseconds(5000)};
constexpr HttpTimeouts PLAIN_TIMEOUTS{milliseconds(300), milliseconds(10000)};
constexpr HttpTimeouts CANCEL_TIMEOUTS{milliseconds(200), milliseconds(500)};
const std::string EVENT_PREFIX = "data: ";
const std::string STREAM_END = "[DONE]";

bool mayStart(std::optional<TimePoint> startBefore)
{
    return !startBefore || currentTime() < *startBefore;
}

}

OrderResult sendEngineOrder(const Address &engine, const EngineOrder &order)
{
    Json::Value body;
    body["fence"] = Json::UInt64(order.fence);
    body["models"] = Json::Value(Json::arrayValue);
    for (const auto &model : order.models) {
        body["models"].append(model);
    }
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/orders";
    request.body = toJsonText(body);
    try {
        const int status = httpExchange(engine, request, ORDER_TIMEOUTS).status;
        if (status == HTTP_OK) {
            return OrderResult::Done;
        }
        return status == HTTP_CONFLICT ? OrderResult::Fenced : OrderResult::Failed;
    } catch (const std::runtime_error &) {
        return OrderResult::Failed;
    }
}

EndpointRunner::EndpointRunner(Address endpoint, RunRequest request, std::shared_ptr<ResponseBuffer> response)
    : m_endpoint(std::move(endpoint))
    , m_request(std::move(request))
    , m_response(std::move(response))
{
}

EndpointRunner::~EndpointRunner() = default;

RunEnd EndpointRunner::run(std::optional<TimePoint> startBefore)
{
    return m_request.kind == ServiceKind::Model ? runModel(startBefore) : runPlain(startBefore);
}

void EndpointRunner::stop(StopReason reason)
{
    m_stopReason = reason;
    HttpRequest cancelRequest;
    cancelRequest.method = "POST";
    cancelRequest.path = "/v1/cancel";
    Json::Value body;
    body["request_id"] = m_request.call.id;
    cancelRequest.body = toJsonText(body);
    try {
        httpExchange(m_endpoint, cancelRequest, CANCEL_TIMEOUTS);
    } catch (const std::runtime_error &) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_connection) {
            m_connection->interrupt();
        }
    }
}

std::string EndpointRunner::modelRequestBody() const
{
    Json::Value body = parseJson(m_request.body);
    body["stream"] = true;
    body["request_id"] = m_request.call.id;
    body["priority"] = m_request.call.tier;
    const std::size_t resumeFrom = m_response->pieceCount();
    if (resumeFrom > 0) {
        body["resume_from"] = Json::UInt64(resumeFrom);
        body["resume_text"] = body.get("resume_text", "").asString() + m_response->joinedPieces();
    }
    return toJsonText(body);
}

RunEnd EndpointRunner::interruptedRunEnd() const
{
    switch (m_stopReason.load()) {
    case StopReason::Preempt:
        return RunEnd::Preempted;
    case StopReason::Cancel:
        return RunEnd::Cancelled;
    case StopReason::None:
        break;
    }
    return RunEnd::EndpointCrashed;
}

RunEnd EndpointRunner::runModel(std::optional<TimePoint> startBefore)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = modelRequestBody();
    HttpConnection connection(m_endpoint, MODEL_TIMEOUTS);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connection = &connection;
    }
    RunEnd end = RunEnd::EndpointCrashed;
    try {
        connection.connect();
        if (!mayStart(startBefore)) {
            end = RunEnd::Expired;
        } else {
            const HttpResponse endpointResponse = connection.begin(request);
            m_response->setHead(ResponseHead{endpointResponse.status, endpointResponse.contentType});
            end = endpointResponse.status == HTTP_OK ? readTokens(connection) : RunEnd::EndpointErrored;
        }
    } catch (const ConnectionRefusedError &) {
        end = RunEnd::NeverStarted;
    } catch (const ExchangeBrokenError &) {
        end = interruptedRunEnd();
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_connection = nullptr;
    return end;
}

RunEnd EndpointRunner::readTokens(HttpConnection &connection)
{
    std::string line;
    std::string finishReason;
    while (connection.readLine(line)) {
        if (line.compare(0, EVENT_PREFIX.size(), EVENT_PREFIX) != 0) {
            continue;
        }
        if (handleEvent(line.substr(EVENT_PREFIX.size()), finishReason)) {
            const bool cancelled = finishReason == "cancelled";
            return cancelled ? interruptedRunEnd() : RunEnd::Completed;
        }
    }
    return interruptedRunEnd();
}

bool EndpointRunner::handleEvent(const std::string &data, std::string &finishReason)
{
    if (data.compare(0, STREAM_END.size(), STREAM_END) == 0) {
        return true;
    }
    try {
        const JsonObject event(parseJson(data));
        for (const auto &choice : event.array("choices")) {
            const JsonObject item(choice);
            if (item.has("delta") && item.raw()["delta"].isMember("content")) {
                m_response->append(item.raw()["delta"]["content"].asString());
            }
            if (item.has("finish_reason") && item.raw()["finish_reason"].isString()) {
                finishReason = item.text("finish_reason");
            }
        }
    } catch (const std::exception &error) {
        throw ExchangeBrokenError(std::string("malformed event in the engine's response: ") + error.what());
    }
    return false;
}

RunEnd EndpointRunner::runPlain(std::optional<TimePoint> startBefore)
{
    HttpRequest request;
    request.method = m_request.method;
    request.path = m_request.path;
    request.body = m_request.body;
    request.contentType = m_request.contentType;
    if (m_request.call.key) {
        request.headers["Idempotency-Key"] = m_request.call.key->value;
    }
    HttpConnection connection(m_endpoint, PLAIN_TIMEOUTS);
    try {
        connection.connect();
        if (!mayStart(startBefore)) {
            return RunEnd::Expired;
        }
        HttpResponse endpointResponse = connection.exchange(request);
        m_response->setHead(ResponseHead{endpointResponse.status, endpointResponse.contentType});
        m_response->append(std::move(endpointResponse.body));
        return RunEnd::Completed;
    } catch (const ConnectionRefusedError &) {
        return RunEnd::NeverStarted;
    } catch (const ExchangeBrokenError &) {
        return interruptedRunEnd();
    }
}

}
