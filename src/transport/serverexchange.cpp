/** \file
 * One request and its answer, between a handler's thread and the network thread.
 */
#include "serverexchange.h"

#include <Poco/URI.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <streambuf>

namespace Cyclamenturn
{

namespace
{

constexpr int INTERNAL_ERROR = 500;
/** A handler waits while this much of its answer hasn't been taken by the far end: some hundred events of a stream. */
constexpr std::size_t BACKLOG_LIMIT_BYTES = 256 << 10;
/** How long a caller may take to accept what is sent. */
constexpr Duration SEND_TIMEOUT = milliseconds(10000);

}

/**
 * The connection with what both threads know of it. The network thread alone touches the connection; the handler sees
 * the rest under the mutex.
 */
class ServerExchange::Channel : public std::enable_shared_from_this<ServerExchange::Channel>
{
public:
    Channel(LoopInbox &inbox, HttpServerConnectionPtr connection)
        : m_inbox(inbox)
        , m_connection(std::move(connection))
    {
    }

    /** Call on the network thread. */
    void observe()
    {
        m_connection->setLeftHandler([self = shared_from_this()] { self->connectionLost(); });
    }

    /** Runs `action` on the network thread unless the connection is gone by then. */
    void post(std::function<void(HttpServerConnection &)> action)
    {
        m_inbox.post([self = shared_from_this(), action = std::move(action)] {
            if (!self->isGone()) {
                action(*self->m_connection);
            }
        });
    }

    void beginStream(HttpResponseHead head)
    {
        post([self = shared_from_this(), head = std::move(head)](HttpServerConnection &connection) {
            connection.setDrainedHandler([self] { self->setBacklog(0); });
            connection.beginStream(head);
        });
    }

    /** Sends a chunk; false when the far end is gone or doesn't take what is sent. */
    bool sendPiece(std::string piece)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const auto hasRoom = [this] {
            return m_gone || m_backlogBytes < BACKLOG_LIMIT_BYTES;
        };
        if (!m_changed.wait_for(lock, std::chrono::microseconds(SEND_TIMEOUT.count()), hasRoom)) {
            lock.unlock();
            post([](HttpServerConnection &connection) { connection.abort(); });
            return false;
        }
        if (m_gone) {
            return false;
        }
        m_backlogBytes += piece.size();
        lock.unlock();
        post([self = shared_from_this(), piece = std::move(piece)](HttpServerConnection &connection) {
            connection.sendPiece(piece);
            if (connection.pendingOutput() == 0) {
                self->setBacklog(0);
            }
        });
        return true;
    }

    bool isGone() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_gone;
    }

private:
    void connectionLost()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_gone = true;
        }
        m_changed.notify_all();
    }

    void setBacklog(std::size_t bytes)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_backlogBytes = bytes;
        }
        m_changed.notify_all();
    }

    LoopInbox &m_inbox;
    HttpServerConnectionPtr m_connection;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_gone = false;
    /** Upper bound of the bytes handed over that the far end hasn't taken. */
    std::size_t m_backlogBytes = 0;
};

/** Collects what is written and sends it as one chunk at each flush. */
class ServerExchange::PieceBuffer : public std::streambuf
{
public:
    explicit PieceBuffer(std::shared_ptr<Channel> channel)
        : m_channel(std::move(channel))
    {
    }

protected:
    int_type overflow(int_type character) override
    {
        if (character != traits_type::eof()) {
            m_text.push_back(traits_type::to_char_type(character));
        }
        return traits_type::not_eof(character);
    }
    std::streamsize xsputn(const char *text, std::streamsize count) override
    {
        m_text.append(text, static_cast<std::size_t>(count));
        return count;
    }
    int sync() override
    {
        std::string piece;
        piece.swap(m_text);
        return piece.empty() || m_channel->sendPiece(std::move(piece)) ? 0 : -1;
    }

private:
    std::shared_ptr<Channel> m_channel;
    std::string m_text;
};

ServerExchange::ServerExchange(LoopInbox &inbox, HttpServerConnectionPtr connection, ReceivedRequest request)
    : m_request(std::move(request))
    , m_channel(std::make_shared<Channel>(inbox, std::move(connection)))
{
    m_channel->observe();
    const std::string &target = m_request.head.target;
    const auto mark = target.find('?');
    m_path = target.substr(0, mark);
    m_query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
}

ServerExchange::~ServerExchange() = default;

std::string ServerExchange::query(const std::string &name) const
{
    Poco::URI uri;
    uri.setRawQuery(m_query);
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return "";
}

std::string ServerExchange::header(const std::string &name) const
{
    const std::string *value = m_request.head.fields.find(name);
    return value == nullptr ? std::string() : *value;
}

std::optional<std::string> ServerExchange::readBody(std::size_t limit)
{
    if (m_request.body.size() > limit) {
        return std::nullopt;
    }
    return std::move(m_request.body);
}

void ServerExchange::setHeader(const std::string &name, const std::string &value)
{
    m_fields.remove(name);
    m_fields.add(name, value);
}

HttpResponseHead ServerExchange::responseHead(int status, const std::string &contentType)
{
    m_answered = true;
    setHeader("Content-Type", contentType);
    return {status, "", std::move(m_fields)};
}

void ServerExchange::reply(int status, const std::string &body, const std::string &contentType)
{
    m_channel->post([head = responseHead(status, contentType), body](
                        HttpServerConnection &connection) { connection.sendAnswer(head, body); });
}

std::ostream &ServerExchange::beginStream(int status, const std::string &contentType)
{
    m_channel->beginStream(responseHead(status, contentType));
    m_buffer = std::make_unique<PieceBuffer>(m_channel);
    m_stream = std::make_unique<std::ostream>(m_buffer.get());
    return *m_stream;
}

void ServerExchange::drop()
{
    m_answered = true;
    m_channel->post([](HttpServerConnection &connection) { connection.abort(); });
}

void ServerExchange::finish()
{
    if (!m_answered) {
        reply(INTERNAL_ERROR, "{\"error\":\"internal\"}");
        return;
    }
    if (m_stream) {
        m_stream->flush();
        m_channel->post([](HttpServerConnection &connection) { connection.endStream(); });
    }
}

bool ServerExchange::peerClosed() const
{
    return m_channel->isGone();
}

}
