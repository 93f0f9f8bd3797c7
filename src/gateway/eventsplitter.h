/** \file
 * Cuts the bytes of an event stream into whole events, so that a stream that breaks off can go on after its last one.
 */
#pragma once

#include <string>
#include <vector>

namespace Cyclamenturn
{

class EventSplitter
{
public:
    /** Takes bytes as they come and returns the events that they complete, each with its empty line. */
    std::vector<std::string> add(const std::string &piece);
    /** Bytes behind the last whole event. */
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
