/** \file
 * The answer to one caller.
 */
#include "calleranswer.h"

#include <algorithm>

namespace Cyclamenturn
{

CallerAnswer::CallerAnswer(HttpServerConnectionPtr connection, TimePoint askedAt)
    : m_connection(std::move(connection))
    , m_askedAt(askedAt)
{
}

void CallerAnswer::setLeftHandler(std::function<void()> handler)
{
    m_connection->setLeftHandler(std::move(handler));
}

void CallerAnswer::send(HttpResponseHead head, const std::string &body)
{
    m_connection->setLeftHandler(nullptr);
    m_connection->sendAnswer(std::move(head), body);
}

void CallerAnswer::sendEvent(const HttpResponseHead &head, const std::string &event, TimePoint now)
{
    if (m_events == 0) {
        m_firstEventAfter = now - m_askedAt;
        m_connection->beginStream({head.status, head.reason, endToEndFields(head.fields)});
    } else {
        m_longestPause = std::max(m_longestPause, Duration(now - m_lastEventAt));
    }
    m_lastEventAt = now;
    ++m_events;
    m_connection->sendPiece(event);
}

void CallerAnswer::endStream()
{
    m_connection->endStream();
}

void CallerAnswer::cut()
{
    m_connection->setLeftHandler(nullptr);
    m_connection->abort();
}

}
