/** \file
 * Runs a function in a thread of a Poco::ThreadPool.
 */
#pragma once

#include <functional>

namespace Poco
{
class ThreadPool;
}

namespace Cyclamenturn
{

/** Starts `function` in a thread of the pool. Throws Poco::NoThreadAvailableException if all threads are busy. */
void startTask(Poco::ThreadPool &pool, std::function<void()> function);

}
