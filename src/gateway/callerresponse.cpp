/** \file
 * The response to one caller, sent over its connection.
 */
#include "callerresponse.h"

#include <algorithm>

namespace Cyclamenturn
{

CallerResponse::CallerResponse(HttpServerConnectionPtr connection, TimePoint requestReceivedAt)
    : m_connection(std::move(connection))
    , m_requestReceivedAt(requestReceivedAt)
{
}

void CallerResponse::setDisconnectHandler(std::function<void()> handler)
{
    m_connection->setDisconnectHandler(std::move(handler));
}

void CallerResponse::send(HttpResponseHead head, const std::string &body)
{
    m_connection->setDisconnectHandler(nullptr);
    m_connection->sendResponse(std::move(head), body);
}

void CallerResponse::sendEvent(const HttpResponseHead &head, const std::string &event, TimePoint now)
{
    if (m_events == 0) {
        m_timeToFirstEvent = now - m_requestReceivedAt;
        m_connection->beginStream({head.status, head.reason, endToEndFields(head.fields)});
    } else {
        m_longestEventGap = std::max(m_longestEventGap, Duration(now - m_lastEventAt));
    }
    m_lastEventAt = now;
    ++m_events;
    m_connection->sendChunk(event);
}

void CallerResponse::endStream()
{
    m_connection->endStream();
}

void CallerResponse::abortStream()
{
    m_connection->setDisconnectHandler(nullptr);
    m_connection->abort();
}

}
