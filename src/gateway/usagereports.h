/** \file
 * Decides for the holder of the usage duty which window's report is collected, recorded and sent next.
 *
 * A report is recorded in the store before it is sent, and the first record of a window is its report for good. The
 * store may be restored from a copy and lose records whose reports were accepted. So a window of an earlier era is
 * recorded again only with the bytes that this gateway knows to be recorded, or if this gateway knows that it wasn't
 * recorded. All times are times of day, see SteadyTimeOfDay.
 */
#pragma once

#include "timepoint.h"
#include "usagerecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class UsageReports
{
public:
    /** How long after its due time a report is still sent. */
    static constexpr Duration SENDING_TIME = milliseconds(20000);
    /** The number of records that are kept in the store. */
    static constexpr std::int64_t KEPT_RECORDS = 12;

    struct Report
    {
        std::int64_t window = 0;
        std::string body;
        /** How often it was sent by this process before. */
        int tries = 0;
    };
    /** A window whose report wasn't accepted until it was too late. */
    struct MissedWindow
    {
        std::int64_t window = 0;
        /** `not_recordable` (it may have been reported in an earlier era), `not_collected`, `not_recorded`,
         * `not_accepted`. */
        const char *reason = "";
    };
    enum class CallResult {
        Accepted,
        /** The API has seen a higher token. */
        TokenRejected,
        Repeat,
        /** The API will never accept this report. */
        Refused,
    };

    UsageReports(Duration windowLength, Duration reportDue);

    /** Notes the era of the store when it is seen for the first time. `isHolder`: this gateway is certainly the holder,
     * and has been since begin(). */
    void noteEra(std::uint64_t era, bool isHolder, TimePoint now);
    /** This gateway has become the holder, and these are all records in the store. Returns windows of which the store
     * has another report than this gateway knows; these aren't sent any more. */
    std::vector<std::int64_t> begin(const std::vector<UsageRecord> &records, TimePoint now);
    /** This gateway isn't the holder any more. */
    void end();
    bool isActive() const
    {
        return m_isActive;
    }

    /** The windows that have ended and may get a report, the earliest first. */
    std::vector<std::int64_t> windowsToCollect(TimePoint now) const;
    /** Sets the body of a window's report. Does nothing if the window has one. */
    void setReport(std::int64_t window, std::string body);
    /** The record to write next. */
    std::optional<UsageRecord> recordToWrite(TimePoint now) const;
    /** The windows whose records are removed when that of `window` is written. */
    std::vector<std::int64_t> recordsToRemove(std::int64_t window) const;
    /** The store has a record of the window with this report, whoever wrote it. */
    void noteRecorded(std::int64_t window, const std::string &body);
    /** The window's record can't be read, so nothing is sent for it. */
    void refuse(std::int64_t window);
    /** From now on another store is used, which has its own eras. */
    void forgetStore();
    /** The store has removed these records. */
    void noteRemoved(const std::vector<std::int64_t> &windows);

    /** The report to send now. */
    std::optional<Report> reportToSend(TimePoint now) const;
    void noteSent(std::int64_t window);
    /** `status` is 0 when there was no complete response. */
    CallResult responseReceived(std::int64_t window, int status, TimePoint now);

    /** The windows for which it has become too late since the last call or begin(), and forgets old ones. */
    std::vector<MissedWindow> takeMissed(TimePoint now);
    TimePoint endOf(std::int64_t window) const
    {
        return TimePoint((window + 1) * m_windowLength);
    }
    /** Windows with a record whose reports aren't accepted. */
    std::size_t unacceptedCount() const;

private:
    struct State
    {
        std::string body;
        /** A record with this body has been in the store; it is the window's report for good. */
        bool isSettled = false;
        /** The store has the record now. */
        bool isInStore = false;
        bool isAccepted = false;
        bool isRefused = false;
        int tries = 0;

        bool isOpen() const
        {
            return !isAccepted && !isRefused;
        }
    };

    /** The first window whose report may still be sent. */
    std::int64_t firstInTime(TimePoint now) const;
    /** The first window that ends at `time` or later. */
    std::int64_t firstEndingAt(TimePoint time) const;
    /** Whether no earlier era has had a record of the window. */
    bool isRecordable(std::int64_t window) const
    {
        return window >= m_firstRecordable;
    }
    std::int64_t acceptedThrough(TimePoint now) const;

    Duration m_windowLength;
    Duration m_reportDue;
    bool m_isActive = false;
    std::optional<std::uint64_t> m_era;
    /** UsageRecord::firstWindow of the records that this gateway writes. */
    std::int64_t m_firstWindow = 0;
    /** Never after m_firstWindow. Earlier than that while this gateway alone knows which windows in between were
     * recorded: those in m_states. */
    std::int64_t m_firstRecordable = 0;
    std::map<std::int64_t, State> m_states;
    TimePoint m_nextCallAt;
    /** takeMissed() has returned the missed windows before this one. */
    std::int64_t m_missedBefore = 0;
};

}
