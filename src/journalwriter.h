/** \file
 * Carries journal writes to the store, one at a time, and seals the journals of predecessors.
 */
#pragma once

#include "agentevents.h"
#include "boundedring.h"
#include "service.h"

#include <functional>
#include <memory>
#include <thread>

namespace Cyclamenturn
{

class Metrics;
class StoreClient;

class JournalWriter : public Service
{
public:
    using ResultHandler = std::function<void(JournalWritten)>;

    JournalWriter(std::shared_ptr<StoreClient> store, std::shared_ptr<Metrics> metrics);
    ~JournalWriter() override;

    /** Where the result of each write goes; set before start(). */
    void setResultHandler(ResultHandler handler);
    void start() override;
    void stop() override;

    /** Returns false when the ring is full; the write then counts as failed. */
    bool submit(const JournalWrite &write);

private:
    void processWrites();
    JournalResult perform(const JournalWrite &write);
    JournalResult writeHead(const JournalHead &head);
    JournalResult resolveConflict(const JournalHead &head);
    void sealPredecessors(const JournalHead &own);
    void seal(const JournalHead &predecessor, std::uint64_t version, const JournalHead &own);

    std::shared_ptr<StoreClient> m_store;
    std::shared_ptr<Metrics> m_metrics;
    ResultHandler m_resultHandler;
    BoundedRing<JournalWrite> m_writes;
    std::thread m_thread;
    /** The store's version of this incarnation's head; 0 before the first write. */
    std::uint64_t m_headVersion = 0;
    bool m_predecessorsSealed = false;
};

}
