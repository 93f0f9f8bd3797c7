/** \file
 * Thread-safe table of the calls at an agent.
 */
#include "agentcalls.h"

#include "errors.h"

namespace Cyclamenturn
{

bool AgentCalls::add(const std::string &callId, const AgentCall &call)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_calls.emplace(callId, call).second;
}

std::shared_ptr<ResponseBuffer> AgentCalls::response(const std::string &callId) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_calls.find(callId);
    return it == m_calls.end() ? nullptr : it->second.response;
}

std::shared_ptr<EndpointRunner> AgentCalls::runner(const std::string &callId) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_calls.find(callId);
    return it == m_calls.end() ? nullptr : it->second.runner;
}

void AgentCalls::setRunner(const std::string &callId, std::shared_ptr<EndpointRunner> runner)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_calls.find(callId);
    if (it != m_calls.end()) {
        it->second.runner = std::move(runner);
    }
}

RunRequest AgentCalls::request(const std::string &callId) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_calls.find(callId);
    if (it == m_calls.end()) {
        throw InternalError("cannot run a call that is not in the agent's call table");
    }
    return it->second.request;
}

void AgentCalls::release(const std::string &callId)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_calls.find(callId);
    if (it != m_calls.end()) {
        it->second.runner.reset();
        it->second.request.body = std::string();
    }
}

std::vector<std::string> AgentCalls::sweep(TimePoint now, Duration keyRetention)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> unread;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        const AgentCall &call = it->second;
        const Duration retention = call.request.call.key ? keyRetention : RESPONSE_RETENTION;
        const auto endedAt = call.response->endedAt();
        if (endedAt && now - *endedAt >= retention) {
            it = m_calls.erase(it);
            continue;
        }
        const auto unreadSince = call.response->unreadSince();
        if (!endedAt && unreadSince && now - *unreadSince >= UNREAD_TIMEOUT) {
            unread.push_back(it->first);
        }
        ++it;
    }
    return unread;
}

std::size_t AgentCalls::size() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_calls.size();
}

}
