/** \file
 * The answer to one caller: whole, or a stream of events, with what on-call engineers want to know of its timing.
 */
#pragma once

#include "transport/httpserverconnection.h"

#include "timepoint.h"

#include <functional>
#include <string>

namespace Cyclamenturn
{

class CallerResponse
{
public:
    CallerResponse(HttpServerConnectionPtr connection, TimePoint requestReceivedAt);

    /** Called once when the caller is gone before its answer is complete. */
    void setDisconnectHandler(std::function<void()> handler);

    /** Sends a whole answer. */
    void send(HttpResponseHead head, const std::string &body);
    /** Passes on one event; the first one begins the stream with `head`. */
    void sendEvent(const HttpResponseHead &head, const std::string &event, TimePoint now);
    void endStream();
    /** Breaks the answer off so that it can't be taken for a whole one. */
    void abortStream();

    /** Whether the caller has got the head of a stream, which can't be taken back. */
    bool isStreamStarted() const
    {
        return m_events > 0;
    }
    int events() const
    {
        return m_events;
    }
    /** Time from the request to its first event; 0 while there is none. */
    Duration timeToFirstEvent() const
    {
        return m_timeToFirstEvent;
    }
    /** The longest time between two events. */
    Duration longestEventGap() const
    {
        return m_longestEventGap;
    }

private:
    HttpServerConnectionPtr m_connection;
    TimePoint m_requestReceivedAt;
    int m_events = 0;
    Duration m_timeToFirstEvent{};
    TimePoint m_lastEventAt;
    Duration m_longestEventGap{};
};

}
