/** \file
 * Load of an event loop, and the names of the kinds of work in logs and metrics.
 */
#include "loopload.h"

#include <utility>

namespace Cyclamenturn
{

const char *toString(WorkKind kind)
{
    switch (kind) {
    case WorkKind::ClientClose:
        return "client_close";
    case WorkKind::Response:
        return "response";
    case WorkKind::Message:
        return "message";
    case WorkKind::NewRequest:
        return "new_request";
    case WorkKind::Timer:
        return "timer";
    case WorkKind::Background:
        return "background";
    }
    return "unknown";
}

LoopLoad LoopLoad::take()
{
    LoopLoad next;
    next.m_turn = m_turn;
    return std::exchange(*this, next);
}

}
