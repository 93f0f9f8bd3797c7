/** \file
 * The response to one call at its agent. It is stored in numbered pieces, so that a reader can resume on a new
 * connection at the piece where the previous connection broke.
 */
#pragma once

#include "outcome.h"
#include "timepoint.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** HTTP status and content type of a response, set when the endpoint starts to respond. */
struct ResponseHead
{
    int status = 200;
    std::string contentType;
};

/** The explicit end of a response. Without it, a response is incomplete. */
struct ResponseEnd
{
    Outcome outcome;
    /** The number of pieces of the whole response, including those generated at other endpoints. */
    std::size_t pieces = 0;
};

/** The result of one read: the parts of a response that the reader does not have yet, as far as available. */
struct ResponseUpdate
{
    std::optional<ResponseHead> head;
    /** The pieces from the requested number on. */
    std::vector<std::string> pieces;
    std::optional<ResponseEnd> end;
};

/**
 * Buffer for one response, with one writer and any number of readers. All functions are thread-safe.
 *
 * A piece is the text of one event in a model's response, normally one token, or the whole body of a plain response.
 */
class ResponseBuffer
{
public:
    /** \param firstPiece number of the first piece to be stored; earlier ones were generated at another endpoint */
    explicit ResponseBuffer(std::size_t firstPiece);

    void setHead(const ResponseHead &head);
    void append(std::string piece);
    /** Ends the response. Has no effect if it has already ended. */
    void finish(const Outcome &outcome, TimePoint now);

    /**
     * Waits at most `timeout` for pieces from number `from` on, the head or the end, and returns what is available.
     * \param headKnown whether the reader already has the head
     */
    ResponseUpdate read(std::size_t from, bool headKnown, Duration timeout);

    /** Number of pieces so far, including those generated at other endpoints. */
    std::size_t pieceCount() const;
    /** Returns the concatenation of all pieces in this buffer. */
    std::string joinedPieces() const;
    std::optional<ResponseEnd> end() const;
    std::optional<TimePoint> endedAt() const;
    std::optional<ResponseHead> head() const;

    /** Count the current readers, so that a call can be cancelled when its response has none. */
    void attachReader();
    void detachReader(TimePoint now);
    /** The time at which the last reader detached; empty while there is a reader, and before the first one. */
    std::optional<TimePoint> unreadSince() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_firstPiece;
    std::optional<ResponseHead> m_head;
    std::vector<std::string> m_pieces;
    std::optional<ResponseEnd> m_end;
    std::optional<TimePoint> m_endedAt;
    int m_readers = 0;
    std::optional<TimePoint> m_unreadSince;
};

}
