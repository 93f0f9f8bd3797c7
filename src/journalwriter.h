/** \file
 * Writes an agent's journal to the store, one write at a time, and seals the journals of earlier incarnations.
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
    using ResultCallback = std::function<void(JournalWritten)>;

    JournalWriter(std::shared_ptr<StoreClient> store, std::shared_ptr<Metrics> metrics);
    ~JournalWriter() override;

    /** Sets the callback for the result of each write. Must be called before start(). */
    void setResultCallback(ResultCallback callback);
    void start() override;
    void stop() override;

    /** Queues a write. Returns false if the ring is full; the write then counts as failed. */
    bool submit(const JournalWrite &write);

private:
    void processWrites();
    JournalResult perform(const JournalWrite &write);
    JournalResult writeHead(const JournalHead &head);
    /** Reads the head again after an unconfirmed write, to find out whether the write took effect. */
    JournalResult resolveUnconfirmedWrite(const JournalHead &head);
    /** Seals the open journals of earlier incarnations of the same endpoint, so that they can't be written any more. */
    void sealPredecessors(const JournalHead &own);
    void seal(const JournalHead &predecessor, std::uint64_t version, const JournalHead &own);

    std::shared_ptr<StoreClient> m_store;
    std::shared_ptr<Metrics> m_metrics;
    ResultCallback m_resultCallback;
    BoundedRing<JournalWrite> m_writes;
    std::thread m_thread;
    /** The store version of this incarnation's journal head; 0 before the first write. */
    std::uint64_t m_headVersion = 0;
    bool m_predecessorsSealed = false;
};

}
