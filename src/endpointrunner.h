/** \file
 * Runs calls at the endpoint of an agent: chat completions at a model engine, and HTTP requests at a plain service.
 */
#pragma once

#include "address.h"
#include "agentevents.h"
#include "responsebuffer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace Cyclamenturn
{

class HttpConnection;

/** The data of a call that is sent to the endpoint. */
struct RunRequest
{
    Call call;
    ServiceKind kind = ServiceKind::Plain;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
};

/** Sends an order to a model engine and waits for the response. */
OrderResult sendEngineOrder(const Address &engine, const EngineOrder &order);

/** Why another thread has stopped a run. */
enum class StopReason {
    None,
    Preempt,
    Cancel,
};

/**
 * One run of a call. run() blocks; stop() may be called from another thread.
 *
 * A run of a model call continues after the last token generated so far, so that a preempted call does not start over.
 */
class EndpointRunner
{
public:
    EndpointRunner(Address endpoint, RunRequest request, std::shared_ptr<ResponseBuffer> response);
    ~EndpointRunner();

    /**
     * Runs the call and returns how the run ended.
     * \param startBefore if set, the request is only sent before this time
     */
    RunEnd run(std::optional<TimePoint> startBefore);
    /** Asks the endpoint to cancel the run. If that fails, shuts down the connection of the run of a model call. */
    void stop(StopReason reason);

private:
    RunEnd runModel(std::optional<TimePoint> startBefore);
    RunEnd runPlain(std::optional<TimePoint> startBefore);
    RunEnd readTokens(HttpConnection &connection);
    /** Handles the data of one server-sent event. Returns true at the end of the stream. */
    bool handleEvent(const std::string &data, std::string &finishReason);
    std::string modelRequestBody() const;
    /** Returns the result of a run whose exchange ended early: the reason passed to stop(), otherwise a crash. */
    RunEnd interruptedRunEnd() const;

    Address m_endpoint;
    RunRequest m_request;
    std::shared_ptr<ResponseBuffer> m_response;
    std::atomic<StopReason> m_stopReason{StopReason::None};
    std::mutex m_mutex;
    /** The connection of the current run of a model call, otherwise null. Protected by m_mutex. */
    HttpConnection *m_connection = nullptr;
};

}
