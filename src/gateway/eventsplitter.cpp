/** \file
 * Whole events out of a stream of bytes.
 */
#include "eventsplitter.h"

namespace Cyclamenturn
{

namespace
{

/** Returns the place behind the first empty line, or npos. */
std::size_t endOfEvent(const std::string &text)
{
    const std::size_t plain = text.find("\n\n");
    const std::size_t carriage = text.find("\r\n\r\n");
    if (carriage < plain) {
        return carriage + 4;
    }
    return plain == std::string::npos ? plain : plain + 2;
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
