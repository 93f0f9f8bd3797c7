/** \file
 * Asks an endpoint which incarnation it is, over the connection on which a stream is to begin or to go on there. The
 * list may still show the incarnation before, of another version, under the same id and address.
 */
#pragma once

#include "endpointconnection.h"
#include "endpointdirectory.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Cyclamenturn
{

class MessageCodec;

class IncarnationCheck : private ExchangeListener
{
public:
    enum class Result {
        /** The endpoint is the incarnation that it was taken for. */
        Same,
        /** It is another one. */
        Other,
        /** It states no incarnation. */
        NotStated,
        /** It can't be reached, or doesn't respond in time. */
        Failed,
    };
    /** Receives the result and the connection, which is null if the endpoint closes it. It can't be used for a request
     * after a check that has failed. May destroy the check. */
    using Handler = std::function<void(Result result, std::unique_ptr<EndpointConnection> connection)>;

    static constexpr Duration TIMEOUT = milliseconds(300);

    /** Sends the question. Calls `handler` once, from the event loop. */
    IncarnationCheck(EventLoop &loop, const MessageCodec &messages, EndpointRecord expected,
        std::unique_ptr<EndpointConnection> connection, Handler handler);
    ~IncarnationCheck() override;

    /** The incarnation that the endpoint was taken for. */
    const EndpointRecord &expected() const
    {
        return m_expected;
    }
    /** EndpointRecord::startedAtMs as stated; meaningful if the result is Same or Other. */
    std::int64_t statedStartMs() const
    {
        return m_statedStartMs;
    }
    /** Why no connection was established, if that is why the check has failed. */
    std::optional<ExchangeFailure> connectFailure() const
    {
        return m_connectFailure;
    }

private:
    bool matchesRequest(const HttpResponseHead &head, bool isFirst) override;
    void headReceived(const HttpResponseHead &head) override;
    void bodyReceived(std::string data) override;
    void exchangeDone(bool isReusable) override;
    void exchangeFailed(ExchangeFailure failure) override;
    Result judge();
    void finish(Result result);

    EventLoop &m_loop;
    const MessageCodec &m_messages;
    EndpointRecord m_expected;
    std::unique_ptr<EndpointConnection> m_connection;
    Handler m_handler;
    EventLoop::Timer m_timer;
    int m_status = 0;
    std::string m_body;
    std::int64_t m_statedStartMs = 0;
    std::optional<ExchangeFailure> m_connectFailure;
};

const char *toString(IncarnationCheck::Result result);

}
