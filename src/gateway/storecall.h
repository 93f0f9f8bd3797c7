/** \file
 * Calls to the platform's store or its API, one at a time over a persistent connection.
 */
#pragma once

#include "messagecodec.h"

#include "transport/httpclientconnection.h"

#include <functional>
#include <memory>
#include <string>

namespace Cyclamenturn
{

class StoreCall : private ExchangeListener
{
public:
    using ResponseHandler = std::function<void(StoreResponse &&response)>;

    StoreCall(EventLoop &loop, const StoreCodec &codec, const Address &address);
    ~StoreCall() override;

    /** Starts a call. A call still in progress is cancelled, and its handler isn't called. */
    void begin(const StoreRequest &request, Duration timeout, ResponseHandler responseHandler);
    void cancel();

private:
    bool matchesRequest(const HttpResponseHead &head, bool isFirst) override;
    void headReceived(const HttpResponseHead &head) override;
    void bodyReceived(std::string piece) override;
    void exchangeDone(bool isReusable) override;
    void exchangeFailed(ExchangeFailure failure) override;
    void timeOut();
    void finish();

    EventLoop &m_loop;
    const StoreCodec &m_codec;
    Address m_address;
    std::unique_ptr<HttpClientConnection> m_connection;
    EventLoop::Timer m_timeout;
    ResponseHandler m_responseHandler;
    /** The response received so far. */
    StoreResponse m_response;
};

}
