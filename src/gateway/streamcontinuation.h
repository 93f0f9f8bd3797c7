/** \file
 * Tells which events of an endpoint's response continue a stream that another endpoint has begun. An endpoint that was
 * asked to go on after an event may answer with something else, for example with the text of an error.
 */
#pragma once

#include <string>

namespace Cyclamenturn
{

class StreamContinuation
{
public:
    enum class Verdict {
        /** The event is the next one of the stream, or a later one. */
        Belongs,
        /** It has no id and comes before the first event that continues the stream. */
        Ignored,
        /** It doesn't come after the last event: the endpoint has not gone on with the stream. */
        Contradicts,
    };

    /** Begins a response that is to go on after the event `lastEventId`; empty for a stream that begins anew. */
    void begin(std::string lastEventId);
    /** Judges the next event of the response by its id. */
    Verdict judge(const std::string &id);
    /** Whether nothing has continued the stream so far. */
    bool isMissing() const
    {
        return !m_lastEventId.empty();
    }

private:
    /** Empty as soon as an event has continued the stream. */
    std::string m_lastEventId;
};

}
