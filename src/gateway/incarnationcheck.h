/** \file
 * Asks an endpoint which incarnation it is, over the connection on which a stream is to go on there. The list may still
 * show the incarnation before, of another version, under the same id and address.
 */
#pragma once

#include "endpointdirectory.h"

#include "transport/httpclientconnection.h"

#include <functional>
#include <memory>
#include <string>

namespace Cyclamenturn
{

class MessageCodec;

class IncarnationCheck : private ExchangeListener
{
public:
    enum class Result {
        /** The endpoint is the incarnation that the list shows. */
        Same,
        /** It is another one. */
        Other,
        /** It states no incarnation. */
        NotStated,
        /** It can't be reached, or doesn't respond in time. */
        Failed,
    };
    /** Receives the result and the connection, which can be used for a request unless the check has failed. May destroy
     * the check. */
    using Handler = std::function<void(Result result, std::unique_ptr<HttpClientConnection> connection)>;

    static constexpr Duration TIMEOUT = milliseconds(300);

    /** Sends the question. Calls `handler` once, from the event loop. */
    IncarnationCheck(EventLoop &loop, const MessageCodec &messages, EndpointRecord expected,
        std::unique_ptr<HttpClientConnection> connection, Handler handler);
    ~IncarnationCheck() override;

    const EndpointRecord &expected() const
    {
        return m_expected;
    }

private:
    bool matchesRequest(const HttpResponseHead &head, bool isFirst) override;
    void headReceived(const HttpResponseHead &head) override;
    void bodyReceived(std::string data) override;
    void exchangeDone(bool isReusable) override;
    void exchangeFailed(ExchangeFailure failure) override;
    Result judge() const;
    void finish(Result result);

    EventLoop &m_loop;
    const MessageCodec &m_messages;
    EndpointRecord m_expected;
    std::unique_ptr<HttpClientConnection> m_connection;
    Handler m_handler;
    EventLoop::Timer m_timer;
    int m_status = 0;
    std::string m_body;
};

const char *toString(IncarnationCheck::Result result);

}
