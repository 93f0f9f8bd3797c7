/** \file
 * Passes the response of a handler thread to the network thread.
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
/** A handler blocks while at least this much of its response is unsent: some hundred events of a stream. */
constexpr std::size_t BACKLOG_LIMIT_BYTES = 256 << 10;
/** How long a handler waits for a slow client before it aborts the connection. */
constexpr Duration SEND_TIMEOUT = milliseconds(10000);

}

/**
 * Shared by the handler thread and the network thread. Only the network thread uses the connection; the state that both
 * threads use is protected by the mutex.
 */
class ServerExchange::Channel : public std::enable_shared_from_this<ServerExchange::Channel>
{
public:
    Channel(CallbackQueue &callbackQueue, HttpServerConnectionPtr connection, RequestMemory::Hold requestMemory)
        : m_callbackQueue(callbackQueue)
        , m_connection(std::move(connection))
        , m_requestMemory(std::move(requestMemory))
    {
    }

    /** Must be called on the network thread. */
    void registerDisconnectHandler()
    {
        m_connection->setDisconnectHandler([self = shared_from_this()] { self->setDisconnected(); });
    }

    /** Runs `action` on the network thread, unless the connection has ended by then. */
    void post(std::function<void(HttpServerConnection &)> action)
    {
        m_callbackQueue.post([self = shared_from_this(), action = std::move(action)] {
            if (!self->isDisconnected()) {
                action(*self->m_connection);
            }
        });
    }

    /** Like post(), for an action that completes the response. The client may send its next request at once, which has
     * to find room. */
    void postLast(std::function<void(HttpServerConnection &)> action)
    {
        post([self = shared_from_this(), action = std::move(action)](HttpServerConnection &connection) {
            self->m_requestMemory = {};
            action(connection);
        });
    }

    void beginStream(HttpResponseHead head)
    {
        post([self = shared_from_this(), head = std::move(head)](HttpServerConnection &connection) {
            connection.setOutputDrainedHandler([self] { self->setBacklog(0); });
            connection.beginStream(head);
        });
    }

    /** Sends a chunk. Returns false if the connection has ended or the client does not read within SEND_TIMEOUT. */
    bool sendChunk(std::string chunk)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const auto hasRoom = [this] {
            return m_disconnected || m_backlogBytes < BACKLOG_LIMIT_BYTES;
        };
        if (!m_changed.wait_for(lock, std::chrono::microseconds(SEND_TIMEOUT.count()), hasRoom)) {
            lock.unlock();
            post([](HttpServerConnection &connection) { connection.abort(); });
            return false;
        }
        if (m_disconnected) {
            return false;
        }
        m_backlogBytes += chunk.size();
        lock.unlock();
        post([self = shared_from_this(), chunk = std::move(chunk)](HttpServerConnection &connection) {
            connection.sendChunk(chunk);
            if (connection.pendingOutput() == 0) {
                self->setBacklog(0);
            }
        });
        return true;
    }

    bool isDisconnected() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_disconnected;
    }

private:
    void setDisconnected()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_disconnected = true;
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

    CallbackQueue &m_callbackQueue;
    HttpServerConnectionPtr m_connection;
    /** Used by the network thread only. */
    RequestMemory::Hold m_requestMemory;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_disconnected = false;
    /** Upper bound of the number of unsent bytes that were passed to the network thread. */
    std::size_t m_backlogBytes = 0;
};

/** Stream buffer that sends the text written since the last flush as one chunk. */
class ServerExchange::ChunkBuffer : public std::streambuf
{
public:
    explicit ChunkBuffer(std::shared_ptr<Channel> channel)
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
        std::string chunk;
        chunk.swap(m_text);
        return chunk.empty() || m_channel->sendChunk(std::move(chunk)) ? 0 : -1;
    }

private:
    std::shared_ptr<Channel> m_channel;
    std::string m_text;
};

ServerExchange::ServerExchange(
    CallbackQueue &callbackQueue, HttpServerConnectionPtr connection, ReceivedRequest request)
    : m_request(std::move(request))
    , m_channel(std::make_shared<Channel>(callbackQueue, std::move(connection), std::move(m_request.hold)))
{
    m_channel->registerDisconnectHandler();
    const std::string &target = m_request.head.target;
    const auto queryStart = target.find('?');
    m_path = target.substr(0, queryStart);
    m_query = queryStart == std::string::npos ? std::string() : target.substr(queryStart + 1);
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
    m_responseStarted = true;
    setHeader("Content-Type", contentType);
    return {status, "", std::move(m_fields)};
}

void ServerExchange::reply(int status, const std::string &body, const std::string &contentType)
{
    m_channel->postLast([head = responseHead(status, contentType), body](
                            HttpServerConnection &connection) { connection.sendResponse(head, body); });
}

std::ostream &ServerExchange::beginStream(int status, const std::string &contentType)
{
    m_channel->beginStream(responseHead(status, contentType));
    m_buffer = std::make_unique<ChunkBuffer>(m_channel);
    m_stream = std::make_unique<std::ostream>(m_buffer.get());
    return *m_stream;
}

void ServerExchange::abort()
{
    m_responseStarted = true;
    m_channel->post([](HttpServerConnection &connection) { connection.abort(); });
}

void ServerExchange::finish()
{
    if (!m_responseStarted) {
        reply(INTERNAL_ERROR, "{\"error\":\"internal\"}");
        return;
    }
    if (m_stream) {
        m_stream->flush();
        m_channel->postLast([](HttpServerConnection &connection) { connection.endStream(); });
    }
}

bool ServerExchange::isDisconnected() const
{
    return m_channel->isDisconnected();
}

}
