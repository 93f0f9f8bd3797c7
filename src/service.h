/** \file
 * The interface of the services that make up a process, such as the HTTP server, the event loop and the metrics. They
 * are unrelated to the services to which calls are routed (see ServiceSpec).
 */
#pragma once

namespace Cyclamenturn
{

/** A service of a process. A ServiceDirectory starts its services in the order of their registration. */
class Service
{
public:
    virtual ~Service() = default;

    /** Starts the service's threads. Other services may be looked up in the directory from then on. */
    virtual void start() = 0;
    /** Stops and joins the threads. Services are stopped in the reverse order of start(). */
    virtual void stop() = 0;
};

}
