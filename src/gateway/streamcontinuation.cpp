/** \file
 * Continuation of streams.
 */
#include "streamcontinuation.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

bool isNumber(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/** Removes zeros in front, so that of two numbers the longer text is the larger one. */
std::string significantDigits(const std::string &number)
{
    return number.substr(std::min(number.find_first_not_of('0'), number.size()));
}

bool isAfter(const std::string &id, const std::string &previous)
{
    if (!isNumber(id) || !isNumber(previous)) {
        return id != previous;
    }
    const std::string digits = significantDigits(id);
    const std::string previousDigits = significantDigits(previous);
    return digits.size() != previousDigits.size() ? digits.size() > previousDigits.size() : digits > previousDigits;
}

}

void StreamContinuation::begin(std::string lastEventId)
{
    m_lastEventId = std::move(lastEventId);
}

StreamContinuation::Verdict StreamContinuation::judge(const std::string &id)
{
    if (!isMissing()) {
        return Verdict::Belongs;
    }
    if (id.empty()) {
        return Verdict::Ignored;
    }
    if (!isAfter(id, m_lastEventId)) {
        return Verdict::Contradicts;
    }
    m_lastEventId.clear();
    return Verdict::Belongs;
}

}
