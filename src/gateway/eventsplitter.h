/** \file
 * Splits the bytes of an event stream into complete events, so that an interrupted stream can be resumed after its last
 * complete event.
 */
#pragma once

#include <string>
#include <vector>

namespace Cyclamenturn
{

class EventSplitter
{
public:
    /** Far above the size of any event. */
    static constexpr std::size_t MAX_EVENT_BYTES = 65536;

    /** Appends received bytes and returns the events completed by them, each with its terminating empty line. */
    std::vector<std::string> add(const std::string &piece);
    /** Bytes received after the last complete event. */
    const std::string &rest() const
    {
        return m_rest;
    }
    /** Whether more than MAX_EVENT_BYTES were received without the end of an event. */
    bool isTooLong() const
    {
        return m_rest.size() > MAX_EVENT_BYTES;
    }
    void clear()
    {
        m_rest.clear();
        m_searchedBytes = 0;
    }

private:
    std::string m_rest;
    /** Bytes at the front of m_rest that contain no end of an event. */
    std::size_t m_searchedBytes = 0;
};

}
