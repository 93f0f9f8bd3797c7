/** \file
 * Adapter from std::function to Poco::Runnable.
 */
#include "pooltask.h"

#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <memory>

namespace Cyclamenturn
{

namespace
{

/** Deletes itself after it has run. */
class Task : public Poco::Runnable
{
public:
    explicit Task(std::function<void()> function)
        : m_function(std::move(function))
    {
    }
    void run() override
    {
        const std::unique_ptr<Task> self(this);
        m_function();
    }

private:
    std::function<void()> m_function;
};

}

void startTask(Poco::ThreadPool &pool, std::function<void()> function)
{
    auto task = std::make_unique<Task>(std::move(function));
    pool.start(*task);
    // The task has started and deletes itself.
    (void)task.release();
}

}
