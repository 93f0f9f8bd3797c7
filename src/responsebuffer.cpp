/** \file
 * The buffer for one response.
 */
#include "responsebuffer.h"

namespace Cyclamenturn
{

ResponseBuffer::ResponseBuffer(std::size_t firstPiece)
    : m_firstPiece(firstPiece)
{
}

void ResponseBuffer::setHead(const ResponseHead &head)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_head = head;
    }
    m_changed.notify_all();
}

void ResponseBuffer::append(std::string piece)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_pieces.push_back(std::move(piece));
    }
    m_changed.notify_all();
}

void ResponseBuffer::finish(const Outcome &outcome, TimePoint now)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_end) {
            return;
        }
        m_end = ResponseEnd{outcome, m_firstPiece + m_pieces.size()};
        m_endedAt = now;
    }
    m_changed.notify_all();
}

ResponseUpdate ResponseBuffer::read(std::size_t from, bool headKnown, Duration timeout)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto hasUpdate = [&] {
        const bool hasPieces = m_firstPiece + m_pieces.size() > from;
        return m_end.has_value() || hasPieces || (!headKnown && m_head);
    };
    m_changed.wait_for(lock, timeout, hasUpdate);
    ResponseUpdate update;
    if (!headKnown) {
        update.head = m_head;
    }
    const std::size_t start = from > m_firstPiece ? from - m_firstPiece : 0;
    for (std::size_t i = start; i < m_pieces.size(); ++i) {
        update.pieces.push_back(m_pieces[i]);
    }
    update.end = m_end;
    return update;
}

std::size_t ResponseBuffer::pieceCount() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_firstPiece + m_pieces.size();
}

std::string ResponseBuffer::joinedPieces() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string out;
    for (const auto &piece : m_pieces) {
        out += piece;
    }
    return out;
}

std::optional<ResponseEnd> ResponseBuffer::end() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_end;
}

std::optional<TimePoint> ResponseBuffer::endedAt() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_endedAt;
}

std::optional<ResponseHead> ResponseBuffer::head() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_head;
}

void ResponseBuffer::attachReader()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_readers;
    m_unreadSince.reset();
}

void ResponseBuffer::detachReader(TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (--m_readers == 0) {
        m_unreadSince = now;
    }
}

std::optional<TimePoint> ResponseBuffer::unreadSince() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_unreadSince;
}

}
