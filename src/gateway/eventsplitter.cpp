/** \file
 * Splitting of an event stream at its empty lines.
 */
#include "eventsplitter.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Length of the longest end of an event, without its last byte. */
constexpr std::size_t PARTIAL_END_BYTES = 3;

/** Returns the position after the first empty line that ends after `from`, or npos. */
std::size_t endOfEvent(const std::string &text, std::size_t from)
{
    const std::size_t lfEnd = text.find("\n\n", from);
    const std::size_t crlfEnd = text.find("\r\n\r\n", from);
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
    for (std::size_t end = endOfEvent(m_rest, m_searchedBytes); end != std::string::npos; end = endOfEvent(m_rest, 0)) {
        out.push_back(m_rest.substr(0, end));
        m_rest.erase(0, end);
    }
    m_searchedBytes = m_rest.size() - std::min(m_rest.size(), PARTIAL_END_BYTES);
    return out;
}

}
