/** \file
 * The interface of the services that make up a process.
 */
#pragma once

namespace Cyclamenturn
{

/** A service of a process. A ServiceDirectory starts its services in the order of their registration. */
class Service
{
public:
    virtual ~Service() = default;

    /** Starts the service's threads. Other services may be looked up from here on. */
    virtual void start() = 0;
    /** Stops and joins the threads. Services are stopped in the reverse order of start(). */
    virtual void stop() = 0;
};

}
