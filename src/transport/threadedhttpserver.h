/** \file
 * HTTP server whose handlers may block. One network thread does all input and output, and a bounded pool of threads
 * runs the handlers. A connection without a request in progress uses no handler thread.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <functional>
#include <limits>
#include <memory>

namespace Cyclamenturn
{

class RequestMemory;
class ServerExchange;

/**
 * Example:
 *     ThreadedHttpServer server({"127.0.0.1", 8080}, 64, [](ServerExchange &exchange) { exchange.reply(200, "{}"); });
 */
class ThreadedHttpServer
{
public:
    using Handler = std::function<void(ServerExchange &)>;

    /** What clients may take; unlimited by default. */
    struct Resources
    {
        std::shared_ptr<RequestMemory> memory;
        std::size_t connections = std::numeric_limits<std::size_t>::max();
        /** Called on the network thread with the name of the limit that has closed a connection; may be empty. */
        std::function<void(const char *limit)> limitHandler;
    };

    /** Starts to listen and to handle requests. Throws UserError if it cannot listen on the address. */
    ThreadedHttpServer(const Address &address, int threads, Handler handler);
    ThreadedHttpServer(const Address &address, int threads, Handler handler, const Resources &resources);
    /** Aborts the exchanges in progress. */
    ~ThreadedHttpServer();

    /** Accepts no more connections. Exchanges in progress continue, and their connections are closed afterwards. */
    void stopAccepting();
    /**
     * Waits at most `timeout` for the exchanges in progress and for the requests that were announced by
     * ServerExchange::expectFollowUp(). Returns true if none is left.
     */
    bool waitIdle(Duration timeout);

private:
    class Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

}
