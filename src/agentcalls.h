/** \file
 * The calls that one agent holds: request, answer and run of each, found by the id of the call.
 */
#pragma once

#include "answerbuffer.h"
#include "enginerunner.h"

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
    std::shared_ptr<AnswerBuffer> answer;
    /** Set while the endpoint works on the call. */
    std::shared_ptr<EngineRunner> runner;
    TimePoint offeredAt;
};

/** Safe for use by several threads. */
class AgentCalls
{
public:
    /** How long an answer without an idempotency key is kept after its end. */
    static constexpr Duration ANSWER_RETENTION = milliseconds(30000);
    /** How long a call that nobody reads goes on. */
    static constexpr Duration UNREAD_TIMEOUT = milliseconds(3000);

    /** Returns false when the id is known already. */
    bool add(const std::string &callId, const AgentCall &call);
    /** Null when there is no such call. */
    std::shared_ptr<AnswerBuffer> answer(const std::string &callId) const;
    std::shared_ptr<EngineRunner> runner(const std::string &callId) const;
    void setRunner(const std::string &callId, std::shared_ptr<EngineRunner> runner);
    RunRequest request(const std::string &callId) const;
    /** Drops the run and the request's body of a finished call; its answer stays. */
    void release(const std::string &callId);

    /** Drops answers past their retention. Returns the ids of unfinished calls that nobody has read for too long. */
    std::vector<std::string> sweep(TimePoint now, Duration keyRetention);
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, AgentCall> m_calls;
};

}
