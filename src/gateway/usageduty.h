/** \file
 * Runs the usage duty on the event loop: the calls to the store that DutyLease and UsageReports decide on, and the
 * calls to the platform's API.
 */
#pragma once

#include "dutycodec.h"
#include "dutylease.h"
#include "dutysettings.h"
#include "messagecodec.h"
#include "steadytimeofday.h"
#include "storecall.h"
#include "usagecollection.h"
#include "usagereports.h"

#include "metrics.h"
#include "transport/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class PeerView;

class UsageDuty
{
public:
    /** `draw` returns random numbers, uniformly distributed in [0, 1). */
    UsageDuty(EventLoop &loop, const StoreCodec &codec, const Address &store, const DutySettings &settings,
        std::string name, const PeerView &peers, UsageCollection &collection, Metrics &metrics,
        std::function<double()> draw);
    ~UsageDuty();

    void start();
    /** Ends the tenure, and doesn't begin another one. */
    void beginStop();
    /** Uses another store. */
    void setStore(const Address &store);
    /** Notes the era of the store as other responses state it; 0 if they don't. */
    void noteEra(std::uint64_t era);
    /** The number of store calls by their kind. */
    const std::map<std::string, std::uint64_t> &calls() const
    {
        return m_calls;
    }

private:
    using ResponseHandler = std::function<void(StoreResponse &&response)>;

    DutySituation situation() const;
    int precedingGateways() const;
    TimePoint timeOfDay();
    bool isHolder() const;
    void run();
    /** Does what can be done now. */
    void advance();
    /** Starts or ends the work of the holder when the tenure has begun or ended. */
    void applyTenure();
    void beginWork(const DutyLease::Tenure &tenure);
    void endWork();
    /** Notes the era of the response, calls the handler, then does what can be done next. */
    void callStore(StoreCall &call, const char *kind, const StoreRequest &request, ResponseHandler responseHandler);
    void stepLease();
    void begin(const ReadHolder &step);
    void begin(const CreateDutyLease &step);
    void begin(const WriteHolder &step);
    void begin(const RenewDutyLease &step);
    void begin(const EndDutyLease &step);
    void begin(std::monostate)
    {
    }
    /** Calls `decode` if the call was executed, and hands the result to the lease. */
    void leaseResponse(
        StoreResponse &&response, const std::function<void(std::string body, DutyResponse &out)> &decode);

    void readRecords(const std::string &after);
    void recordsRead(std::string body);
    void beginReports();
    void collect();
    void writeRecord();
    void recordWritten(const UsageRecord &record, const std::vector<std::int64_t> &removed, int status);
    void readRecord(std::int64_t window);
    void recordRead(std::int64_t window, StoreResponse &&response);
    void noteRecorded(std::int64_t window, const std::string &report, const char *source);
    void pauseRecords(Duration delay);
    void sendReport();
    void reportAnswered(std::int64_t window, int tries, int status);
    void reportMissed();
    long long sinceEnd(std::int64_t window);

    EventLoop &m_loop;
    const StoreCodec &m_storeCodec;
    const DutyCodec &m_codec;
    DutySettings m_settings;
    std::string m_name;
    std::string m_process;
    const PeerView &m_peers;
    UsageCollection &m_collection;
    Metrics &m_metrics;
    std::function<double()> m_draw;
    DutyLease m_lease;
    UsageReports m_reports;
    SteadyTimeOfDay m_clock;
    std::unique_ptr<StoreCall> m_leaseCall;
    std::unique_ptr<StoreCall> m_recordCall;
    StoreCall m_apiCall;
    bool m_isRecordCallOpen = false;
    bool m_isApiCallOpen = false;
    /** By the loop's clock. */
    TimePoint m_startedAt;
    TimePoint m_recordsNotBefore;
    /** The tenure whose work is done. */
    std::optional<DutyLease::Tenure> m_work;
    /** The records read so far. */
    std::vector<UsageRecord> m_records;
    /** A window whose record was written with unknown result. */
    std::optional<std::int64_t> m_unverified;
    /** Whether the store has stated that a condition of that write didn't hold. */
    bool m_hasConditionFailed = false;
    std::map<std::string, std::uint64_t> m_calls;
    EventLoop::Timer m_timer;
};

}
