/** \file
 * Implements the line diff with the dtl library.
 */
#include "linediff.h"

#include <dtl/dtl.hpp>
#include <sstream>
#include <vector>

namespace Cyclamenturn
{

namespace
{

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        out.push_back(line);
    }
    return out;
}

}

std::string lineDiff(const std::string &before, const std::string &after)
{
    dtl::Diff<std::string> diff(linesOf(before), linesOf(after));
    diff.onHuge();
    diff.compose();
    diff.composeUnifiedHunks();
    std::ostringstream out;
    diff.printUnifiedFormat(out);
    return out.str();
}

}
