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
    /** Appends received bytes and returns the events completed by them, each with its terminating empty line. */
    std::vector<std::string> add(const std::string &piece);
    /** Bytes received after the last complete event. */
    const std::string &rest() const
    {
        return m_rest;
    }
    void clear()
    {
        m_rest.clear();
    }

private:
    std::string m_rest;
};

}
