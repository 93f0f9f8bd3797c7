/** \file
 * The calls at one agent. The table maps the id of a call to its request, its response and its current run.
 */
#pragma once

#include "endpointrunner.h"
#include "responsebuffer.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** One call at an agent. */
struct AgentCall
{
    RunRequest request;
    std::shared_ptr<ResponseBuffer> response;
    /** Set while the call runs on the endpoint. */
    std::shared_ptr<EndpointRunner> runner;
    TimePoint offeredAt;
};

/** Table of calls by id. All functions are thread-safe. */
class AgentCalls
{
public:
    /** Time for which the response to a call without an idempotency key is kept after its end. */
    static constexpr Duration RESPONSE_RETENTION = milliseconds(30000);
    /** Time after which an unfinished call is cancelled when no reader is connected to its response. */
    static constexpr Duration UNREAD_TIMEOUT = milliseconds(3000);

    /** Adds a call. Returns false if the table already has a call with this id. */
    bool add(const std::string &callId, const AgentCall &call);
    /** Returns null if the call is not in the table. */
    std::shared_ptr<ResponseBuffer> response(const std::string &callId) const;
    /** Returns null if the call is not in the table or is not running. */
    std::shared_ptr<EndpointRunner> runner(const std::string &callId) const;
    void setRunner(const std::string &callId, std::shared_ptr<EndpointRunner> runner);
    /** Throws InternalError if the call is not in the table. */
    RunRequest request(const std::string &callId) const;
    /** Frees the run and the request body of a finished call and keeps its response. */
    void release(const std::string &callId);

    /**
     * Removes finished calls whose retention time has passed.
     * \returns the ids of unfinished calls that have had no reader for UNREAD_TIMEOUT
     */
    std::vector<std::string> sweep(TimePoint now, Duration keyRetention);
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, AgentCall> m_calls;
};

}
