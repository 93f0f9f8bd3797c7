/** \file
 * Splitting of an event stream at its empty lines.
 */
#include "eventsplitter.h"

namespace Cyclamenturn
{

namespace
{

/** Returns the position after the first empty line, or npos. */
std::size_t endOfEvent(const std::string &text)
{
    const std::size_t lfEnd = text.find("\n\n");
    const std::size_t crlfEnd = text.find("\r\n\r\n");
    if (crlfEnd < lfEnd) {
        return crlfEnd + 4;
    }
    return lfEnd == std::string::npos ? lfEnd : lfEnd + 2;
}

}

std::vector<std::string> EventSplitter::add(const std::string &piece)
{
    m_rest += piece;
    std::vector<std::string> out;
    for (std::size_t end = endOfEvent(m_rest); end != std::string::npos; end = endOfEvent(m_rest)) {
        out.push_back(m_rest.substr(0, end));
        m_rest.erase(0, end);
    }
    return out;
}

}
