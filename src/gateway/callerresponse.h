/** \file
 * The response to one caller, either complete or as a stream of events. Measures the timing of the events for the log.
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

    /** `handler` is called once if the caller disconnects before its response is complete. */
    void setDisconnectHandler(std::function<void()> handler);

    /** Whether the caller has disconnected, by what the operating system knows now. */
    bool isClosedByCaller()
    {
        return m_connection->isClosedByClient();
    }
    /** Sends a complete response. */
    void send(HttpResponseHead head, const std::string &body);
    /** Forwards one event. The first one starts the stream with `head`. */
    void sendEvent(const HttpResponseHead &head, const std::string &event, TimePoint now);
    void endStream();
    /** Aborts the connection so that the caller can't mistake the response for a complete one. */
    void abortStream();

    /** Whether the head of a stream was sent. From then on the status can't be changed any more. */
    bool isStreamStarted() const
    {
        return m_events > 0;
    }
    int events() const
    {
        return m_events;
    }
    /** Time from the request to its first event; 0 before the first event. */
    Duration timeToFirstEvent() const
    {
        return m_timeToFirstEvent;
    }
    /** The time from the first event to the last one so far. */
    Duration eventSpan() const
    {
        return m_events > 0 ? Duration(m_lastEventAt - m_requestReceivedAt - m_timeToFirstEvent) : Duration();
    }
    /** The longest time between two successive events. */
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
