/** \file
 * Calls to the platform's store over HTTP.
 */
#include "storecall.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** The store is one network round trip away, so this is ample for a handshake, yet shorter than the wait for the
 * retransmission of a lost packet. */
constexpr Duration CONNECT_TIMEOUT = milliseconds(500);
/** A value in the store has at most one megabyte and a page about as much, which base64 and JSON make larger. */
constexpr std::size_t MAX_RESPONSE_BYTES = 4194304;
constexpr std::size_t MAX_HEADER_BYTES = 16384;
/** Decoders append a few bytes to the body. */
constexpr std::size_t DECODER_BYTES = 64;

}

StoreCall::StoreCall(EventLoop &loop, const StoreCodec &codec, const Address &address)
    : m_loop(loop)
    , m_codec(codec)
    , m_address(address)
{
}

StoreCall::~StoreCall()
{
    m_loop.cancel(m_timeout);
}

void StoreCall::begin(const StoreRequest &request, Duration timeout, ResponseHandler responseHandler)
{
    cancel();
    m_responseHandler = std::move(responseHandler);
    m_response = {};
    if (!m_connection || m_connection->isUnusable()) {
        m_connection = std::make_unique<HttpClientConnection>(
            m_loop, m_address, HttpLimits{MAX_HEADER_BYTES, MAX_RESPONSE_BYTES}, CONNECT_TIMEOUT);
    }
    HttpRequestHead headWithHost = request.head;
    headWithHost.fields.add("Host", toString(m_address));
    m_timeout = m_loop.callAfter(timeout, [this] { timeOut(); });
    m_connection->send(headWithHost, request.body, this);
}

void StoreCall::cancel()
{
    m_loop.cancel(m_timeout);
    if (m_responseHandler) {
        m_responseHandler = nullptr;
        m_connection.reset();
    }
}

bool StoreCall::matchesRequest(const HttpResponseHead &, bool)
{
    return true;
}

void StoreCall::headReceived(const HttpResponseHead &head)
{
    m_response.status = head.status;
    m_response.era = m_codec.decodeEra(head);
    long long length = 0;
    const std::string *text = head.fields.find("Content-Length");
    if (text != nullptr && parseDecimal(*text, length)) {
        m_response.body.reserve(std::min(static_cast<std::size_t>(length), MAX_RESPONSE_BYTES) + DECODER_BYTES);
    }
}

void StoreCall::bodyReceived(std::string piece)
{
    m_response.body += piece;
}

void StoreCall::exchangeDone(bool isReusable)
{
    if (!isReusable) {
        m_connection.reset();
    }
    finish();
}

void StoreCall::exchangeFailed(ExchangeFailure)
{
    m_connection.reset();
    m_response = {};
    finish();
}

void StoreCall::timeOut()
{
    m_response = {};
    m_response.isLate = m_connection->isConnected();
    m_connection.reset();
    finish();
}

void StoreCall::finish()
{
    m_loop.cancel(m_timeout);
    const ResponseHandler responseHandler = std::move(m_responseHandler);
    m_responseHandler = nullptr;
    StoreResponse response = std::move(m_response);
    m_response = {};
    if (responseHandler) {
        responseHandler(std::move(response));
    }
}

}
