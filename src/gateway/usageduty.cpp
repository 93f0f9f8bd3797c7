/** \file
 * Runs the usage duty: lease, records and calls to the API.
 */
#include "usageduty.h"

#include "clock.h"
#include "eventlog.h"
#include "peerview.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;
constexpr int NOT_FOUND = 404;
constexpr int CONDITION_FAILED = 412;
constexpr Duration STEP_INTERVAL = milliseconds(50);
/** Parts of the lease's lifetime. A renewal without response leaves time for another one before the lease ends. */
constexpr double LEASE_CALL_TIMEOUT = 0.3;
constexpr double RECORD_CALL_TIMEOUT = 0.5;
constexpr Duration RECORD_RETRY_DELAY = milliseconds(200);
constexpr Duration API_CALL_TIMEOUT = milliseconds(2000);

void logUnreadable(const MessageFormatError &error)
{
    LogEvent("store_answer_unreadable", LogEvent::Level::Error).field("reason", error.what());
}

}

UsageDuty::UsageDuty(EventLoop &loop, const StoreCodec &codec, const Address &store, const DutySettings &settings,
    std::string name, const PeerView &peers, UsageCollection &collection, Metrics &metrics,
    std::function<double()> draw)
    : m_loop(loop)
    , m_storeCodec(codec)
    , m_codec(codec.duties())
    , m_settings(settings)
    , m_name(std::move(name))
    , m_process(m_name + " " + std::to_string(currentTime().time_since_epoch().count()))
    , m_peers(peers)
    , m_collection(collection)
    , m_metrics(metrics)
    , m_draw(std::move(draw))
    , m_lease(m_process, settings.lease, bootTime())
    , m_reports(settings.window, settings.reportDue)
    , m_leaseCall(std::make_unique<StoreCall>(loop, codec, store))
    , m_recordCall(std::make_unique<StoreCall>(loop, codec, store))
    , m_apiCall(loop, codec, settings.api)
{
}

UsageDuty::~UsageDuty()
{
    m_loop.cancel(m_timer);
}

void UsageDuty::start()
{
    m_startedAt = m_loop.now();
    run();
}

void UsageDuty::run()
{
    advance();
    m_timer = m_loop.callAfter(STEP_INTERVAL, [this] { run(); });
}

void UsageDuty::beginStop()
{
    m_lease.end(TenureEnd::PlannedStop, bootTime());
    advance();
}

void UsageDuty::setStore(const Address &store)
{
    const TimePoint boot = bootTime();
    if (m_lease.tenure()) {
        m_lease.end(TenureEnd::SettingsChanged, boot);
        applyTenure();
    }
    m_reports.forgetStore();
    m_leaseCall = std::make_unique<StoreCall>(m_loop, m_storeCodec, store);
    m_recordCall = std::make_unique<StoreCall>(m_loop, m_storeCodec, store);
    const bool isStopping = m_lease.lastEnd() == TenureEnd::PlannedStop;
    m_lease = DutyLease(m_process, m_settings.lease, boot);
    if (isStopping) {
        m_lease.end(TenureEnd::PlannedStop, boot);
    }
}

void UsageDuty::noteEra(std::uint64_t era)
{
    const TimePoint boot = bootTime();
    m_reports.noteEra(era, m_lease.isHolder(boot), timeOfDay());
    m_lease.noteEra(era, boot);
    applyTenure();
}

TimePoint UsageDuty::timeOfDay()
{
    return m_clock.at(bootTime(), currentTime());
}

bool UsageDuty::isHolder() const
{
    return m_work && m_lease.isHolder(bootTime());
}

DutySituation UsageDuty::situation() const
{
    DutySituation out;
    out.unaskedFor = m_loop.now() - std::max(m_startedAt, m_collection.lastAskedAt().value_or(m_startedAt));
    // The names matter only to a gateway that is about to try.
    out.precedingGateways = m_lease.tenure() || out.unaskedFor < m_settings.lease ? 0 : precedingGateways();
    out.hearsMostGateways = m_collection.hearsMostGateways(m_loop.now());
    out.draw = m_draw();
    return out;
}

int UsageDuty::precedingGateways() const
{
    const std::vector<std::string> members = m_peers.members();
    return static_cast<int>(std::count_if(members.begin(), members.end(),
        [this](const std::string &name) { return name < m_name && m_peers.isLiveName(name); }));
}

void UsageDuty::advance()
{
    m_lease.check(situation(), bootTime());
    applyTenure();
    stepLease();
    if (!isHolder()) {
        return;
    }
    if (m_reports.isActive()) {
        collect();
        reportMissed();
        sendReport();
    }
    if (m_isRecordCallOpen || m_loop.now() < m_recordsNotBefore) {
        return;
    }
    if (!m_reports.isActive()) {
        m_records.clear();
        readRecords("");
    } else if (m_unverified) {
        readRecord(*m_unverified);
    } else {
        writeRecord();
    }
}

void UsageDuty::applyTenure()
{
    const auto &tenure = m_lease.tenure();
    if (m_work && (!tenure || tenure->token != m_work->token)) {
        endWork();
    }
    if (tenure && !m_work) {
        beginWork(*tenure);
    }
}

void UsageDuty::beginWork(const DutyLease::Tenure &tenure)
{
    m_work = tenure;
    LogEvent("duty_taken")
        .field("duty", "usage")
        .field("token", static_cast<long long>(tenure.token))
        .field("revision", static_cast<long long>(tenure.revision))
        .field("era", static_cast<long long>(tenure.era));
    m_metrics.set("cyclamenturn_duty_holder", {}, 1);
    m_metrics.count("cyclamenturn_duty_tenures");
    m_collection.begin(tenure.token);
}

void UsageDuty::endWork()
{
    const char *reason = m_lease.lastEnd() ? toString(*m_lease.lastEnd()) : "";
    LogEvent("duty_ended")
        .field("duty", "usage")
        .field("token", static_cast<long long>(m_work->token))
        .field("reason", reason)
        .field("held_ms", static_cast<long long>(toMilliseconds(bootTime() - m_work->since)))
        .field("unaccepted", static_cast<long long>(m_reports.unacceptedCount()));
    m_metrics.set("cyclamenturn_duty_holder", {}, 0);
    m_metrics.count("cyclamenturn_duty_ends", {{"reason", reason}});
    m_work.reset();
    m_unverified.reset();
    m_recordCall->cancel();
    m_isRecordCallOpen = false;
    m_apiCall.cancel();
    m_isApiCallOpen = false;
    m_reports.end();
    m_collection.end();
}

void UsageDuty::callStore(
    StoreCall &call, const char *kind, const StoreRequest &request, ResponseHandler responseHandler)
{
    ++m_calls[kind];
    const double part = &call == m_leaseCall.get() ? LEASE_CALL_TIMEOUT : RECORD_CALL_TIMEOUT;
    const Duration timeout(static_cast<std::int64_t>(part * static_cast<double>(m_settings.lease.count())));
    call.begin(request, timeout, [this, responseHandler = std::move(responseHandler)](StoreResponse &&response) {
        if (response.status != 0) {
            noteEra(response.era);
        }
        responseHandler(std::move(response));
        advance();
    });
}

void UsageDuty::stepLease()
{
    std::visit([this](const auto &step) { begin(step); }, m_lease.nextStep(situation(), bootTime()));
}

void UsageDuty::pauseRecords(Duration delay)
{
    m_recordsNotBefore = m_loop.now() + delay;
}

void UsageDuty::readRecords(const std::string &after)
{
    m_isRecordCallOpen = true;
    callStore(*m_recordCall, "usage_records", m_codec.listRecordsRequest(after), [this](StoreResponse &&response) {
        m_isRecordCallOpen = false;
        // A response of an era that isn't the tenure's has ended the work.
        if (!isHolder() || response.status != OK || response.era != m_work->era) {
            pauseRecords(RECORD_RETRY_DELAY);
            return;
        }
        try {
            recordsRead(std::move(response.body));
        } catch (const MessageFormatError &error) {
            logUnreadable(error);
            pauseRecords(RECORD_RETRY_DELAY);
        }
    });
}

void UsageDuty::recordsRead(std::string body)
{
    UsageRecordPage page = m_codec.decodeRecords(std::move(body));
    for (const auto window : page.unreadable) {
        LogEvent("usage_record_unreadable", LogEvent::Level::Error).field("window", static_cast<long long>(window));
        m_reports.refuse(window);
    }
    m_records.insert(m_records.end(), page.records.begin(), page.records.end());
    if (!page.next.empty()) {
        readRecords(page.next);
        return;
    }
    beginReports();
}

void UsageDuty::beginReports()
{
    for (const auto window : m_reports.begin(m_records, timeOfDay())) {
        LogEvent("usage_record_differs", LogEvent::Level::Error).field("window", static_cast<long long>(window));
    }
    LogEvent("usage_records_read")
        .field("records", static_cast<long long>(m_records.size()))
        .field("unaccepted", static_cast<long long>(m_reports.unacceptedCount()));
    m_records.clear();
}

void UsageDuty::collect()
{
    for (const auto window : m_reports.windowsToCollect(timeOfDay())) {
        const std::optional<ClosedWindow> closed = m_collection.closedWindow(window, m_loop.now());
        if (!closed) {
            continue;
        }
        const auto &teams = closed->counts.byTeam;
        const auto requests = std::accumulate(
            teams.begin(), teams.end(), 0LL, [](long long sum, const auto &team) { return sum + team.second; });
        LogEvent("usage_window_closed")
            .field("window", static_cast<long long>(window))
            .field("requests", requests)
            .field("teams", static_cast<long long>(teams.size()))
            .field("gateways_closed", closed->closedGateways)
            .field("gateways_missing", closed->missingGateways)
            .field("since_end_ms", sinceEnd(window));
        m_metrics.set("cyclamenturn_usage_gateways_missing", {}, closed->missingGateways);
        m_reports.setReport(window, m_codec.encodeReport(closed->counts));
    }
}

void UsageDuty::writeRecord()
{
    const std::optional<UsageRecord> record = m_reports.recordToWrite(timeOfDay());
    if (!record || !isHolder()) {
        return;
    }
    const std::vector<std::int64_t> removed = m_reports.recordsToRemove(record->window);
    m_isRecordCallOpen = true;
    callStore(*m_recordCall, "usage_record", m_codec.writeRecordRequest(*record, m_work->revision, removed),
        [this, record = *record, removed](StoreResponse &&response) {
            m_isRecordCallOpen = false;
            if (isHolder() && (response.status == 0 || response.era == m_work->era)) {
                recordWritten(record, removed, response.status);
            }
        });
}

void UsageDuty::recordWritten(const UsageRecord &record, const std::vector<std::int64_t> &removed, int status)
{
    if (status == OK) {
        m_reports.noteRemoved(removed);
        noteRecorded(record.window, record.report, "written");
        return;
    }
    m_unverified = record.window;
    m_hasConditionFailed = status == CONDITION_FAILED;
    if (!m_hasConditionFailed) {
        pauseRecords(RECORD_RETRY_DELAY);
    }
}

void UsageDuty::readRecord(std::int64_t window)
{
    m_isRecordCallOpen = true;
    callStore(*m_recordCall, "usage_record_read", m_codec.readRecordRequest(window),
        [this, window](StoreResponse &&response) {
            m_isRecordCallOpen = false;
            if (isHolder() && (response.status == 0 || response.era == m_work->era)) {
                recordRead(window, std::move(response));
            }
        });
}

void UsageDuty::recordRead(std::int64_t window, StoreResponse &&response)
{
    if (response.status == NOT_FOUND) {
        // Written again with the same bytes; a late execution of the first write then fails.
        m_unverified.reset();
        if (m_hasConditionFailed) {
            m_lease.end(TenureEnd::KeyChanged, bootTime());
        }
        return;
    }
    if (response.status != OK) {
        pauseRecords(RECORD_RETRY_DELAY);
        return;
    }
    m_unverified.reset();
    try {
        noteRecorded(window, m_codec.decodeRecord(std::move(response.body)).report, "read");
    } catch (const MessageFormatError &error) {
        logUnreadable(error);
        m_reports.refuse(window);
    }
}

void UsageDuty::noteRecorded(std::int64_t window, const std::string &report, const char *source)
{
    LogEvent("usage_recorded")
        .field("window", static_cast<long long>(window))
        .field("source", source)
        .field("token", static_cast<long long>(m_work->token))
        .field("bytes", static_cast<long long>(report.size()))
        .field("since_end_ms", sinceEnd(window));
    m_metrics.count("cyclamenturn_usage_records", {{"source", source}});
    m_reports.noteRecorded(window, report);
}

void UsageDuty::sendReport()
{
    if (m_isApiCallOpen) {
        return;
    }
    const std::optional<UsageReports::Report> report = m_reports.reportToSend(timeOfDay());
    if (!report || !isHolder()) {
        return;
    }
    m_isApiCallOpen = true;
    m_reports.noteSent(report->window);
    const std::int64_t window = report->window;
    const int tries = report->tries + 1;
    m_apiCall.begin(m_codec.reportRequest(m_name, m_work->token, report->body), API_CALL_TIMEOUT,
        [this, window, tries](StoreResponse &&response) {
            m_isApiCallOpen = false;
            reportAnswered(window, tries, response.status);
            advance();
        });
}

void UsageDuty::reportAnswered(std::int64_t window, int tries, int status)
{
    m_metrics.count("cyclamenturn_usage_calls", {{"status", std::to_string(status)}});
    const auto result = m_reports.responseReceived(window, status, timeOfDay());
    if (result == UsageReports::CallResult::TokenRejected) {
        m_lease.end(TenureEnd::TokenRejected, bootTime());
        return;
    }
    const bool isAccepted = result == UsageReports::CallResult::Accepted;
    LogEvent(isAccepted ? "usage_reported" : "usage_call_failed",
        isAccepted ? LogEvent::Level::Info : LogEvent::Level::Warning)
        .field("window", static_cast<long long>(window))
        .field("status", status)
        .field("tries", tries)
        .field("token", m_work ? static_cast<long long>(m_work->token) : 0)
        .field("since_end_ms", sinceEnd(window));
    if (isAccepted) {
        m_metrics.observe("cyclamenturn_usage_report_seconds", {}, timeOfDay() - m_reports.endOf(window));
    }
}

void UsageDuty::reportMissed()
{
    for (const auto &missed : m_reports.takeMissed(timeOfDay())) {
        LogEvent("usage_missed", LogEvent::Level::Error)
            .field("window", static_cast<long long>(missed.window))
            .field("reason", missed.reason);
        m_metrics.count("cyclamenturn_usage_missed", {{"reason", missed.reason}});
    }
}

long long UsageDuty::sinceEnd(std::int64_t window)
{
    return toMilliseconds(timeOfDay() - m_reports.endOf(window));
}

}
