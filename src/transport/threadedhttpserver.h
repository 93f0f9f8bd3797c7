/** \file
 * An HTTP server whose handlers may block: one network thread reads and writes, a bounded pool of threads handles
 * requests. A connection without a request in progress holds no thread.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <functional>
#include <memory>

namespace Cyclamenturn
{

class ServerExchange;

/**
 * Example:
 *     ThreadedHttpServer server({"127.0.0.1", 8080}, 64, [](ServerExchange &exchange) { exchange.reply(200, "{}"); });
 */
class ThreadedHttpServer
{
public:
    using Handler = std::function<void(ServerExchange &)>;

    /** Listens at once. Throws UserError when the address is taken. */
    ThreadedHttpServer(const Address &address, int threads, Handler handler);
    /** Cuts off the exchanges in progress. */
    ~ThreadedHttpServer();

    /** Closes the door: no new connection is taken; exchanges in progress go on, each the last of its connection. */
    void stopAccepting();
    /** Waits at most `timeout` for the exchanges in progress and those announced by expectFollowUp(). Returns true when
     * none is left. */
    bool waitIdle(Duration timeout);

private:
    class Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

}
