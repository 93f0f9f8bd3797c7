/** \file
 * Taking over, renewing and ending the lease of the usage duty.
 */
#include "dutylease.h"

#include <algorithm>
#include <utility>

namespace Cyclamenturn
{

namespace
{

/** Covers the rates of two clocks and the way of a call to the API. */
constexpr int MARGIN_PART = 10;
/** Several renewals fit into a lease, so that a lost one doesn't end the tenure. */
constexpr int RENEWAL_PART = 3;
constexpr Duration REPEAT_DELAY = milliseconds(100);
constexpr Duration RETRY_DELAY = milliseconds(1000);
/** A takeover takes some ten milliseconds, after which the new holder asks the other gateways. */
constexpr Duration TURN_INTERVAL = milliseconds(200);
constexpr Duration LONGEST_TURN = milliseconds(2000);
constexpr Duration TURN_SPREAD = milliseconds(200);

}

const char *toString(TenureEnd reason)
{
    switch (reason) {
    case TenureEnd::LeaseUncertain:
        return "lease_uncertain";
    case TenureEnd::LeaseLost:
        return "lease_lost";
    case TenureEnd::TokenRejected:
        return "token_rejected";
    case TenureEnd::StoreRestored:
        return "store_restored";
    case TenureEnd::KeyChanged:
        return "key_changed";
    case TenureEnd::GatewaysSilent:
        return "gateways_silent";
    case TenureEnd::SettingsChanged:
        return "settings_changed";
    case TenureEnd::PlannedStop:
        break;
    }
    return "planned_stop";
}

DutyLease::DutyLease(std::string process, Duration lifetime, TimePoint now)
    : m_process(std::move(process))
    , m_lifetime(lifetime)
    // A process that has just started may be the successor of a holder.
    , m_notBefore(now + lifetime)
{
}

Duration DutyLease::turn() const
{
    return std::min(m_precedingGateways * TURN_INTERVAL, LONGEST_TURN)
        + Duration(static_cast<std::int64_t>(m_draw.value_or(0) * static_cast<double>(TURN_SPREAD.count())));
}

std::string DutyLease::ownValue() const
{
    return m_process + " " + std::to_string(m_attempt);
}

bool DutyLease::mayTry(const DutySituation &situation, TimePoint now)
{
    if (m_lastEnd == TenureEnd::PlannedStop || now < m_notBefore || !situation.hearsMostGateways) {
        return false;
    }
    if (m_restoredAt && situation.unaskedFor >= now - *m_restoredAt) {
        return true;
    }
    return situation.unaskedFor >= m_lifetime + turn();
}

DutyStep DutyLease::call(DutyStep step, TimePoint now)
{
    m_openStep = step;
    m_sentAt = now;
    return step;
}

DutyStep DutyLease::nextStep(const DutySituation &situation, TimePoint now)
{
    m_precedingGateways = situation.precedingGateways;
    if (!m_draw) {
        m_draw = situation.draw;
    }
    if (!std::holds_alternative<std::monostate>(m_openStep)) {
        return {};
    }
    if (m_leaseToEnd != 0) {
        return call(EndDutyLease{std::exchange(m_leaseToEnd, 0)}, now);
    }
    if (m_phase == Phase::Waiting) {
        if (!mayTry(situation, now)) {
            return {};
        }
        m_phase = Phase::Looking;
        ++m_attempt;
        return call(ReadHolder(), now);
    }
    if (now < m_notBefore) {
        return {};
    }
    if (m_phase == Phase::Leasing) {
        return call(CreateDutyLease{m_lifetime}, now);
    }
    if (m_phase == Phase::Holding) {
        return now - m_renewedAt < m_lifetime / RENEWAL_PART ? DutyStep() : call(RenewDutyLease{m_lease}, now);
    }
    if (now >= m_certainUntil || !situation.hearsMostGateways) {
        giveUp(RETRY_DELAY + turn(), now);
        return m_leaseToEnd == 0 ? DutyStep() : call(EndDutyLease{std::exchange(m_leaseToEnd, 0)}, now);
    }
    return m_phase == Phase::Writing ? call(WriteHolder{m_lease, m_era, ownValue()}, now) : call(ReadHolder(), now);
}

void DutyLease::responseReceived(const DutyResponse &response, TimePoint now)
{
    const DutyStep step = std::exchange(m_openStep, {});
    DutyResponse current = response;
    if (response.era < m_era) {
        // It was sent before the store was restored.
        current = {};
    }
    noteEra(response.era, now);
    if (m_phase == Phase::Waiting) {
        return;
    }
    if (std::holds_alternative<ReadHolder>(step)) {
        holderRead(current, now);
    } else if (std::holds_alternative<CreateDutyLease>(step)) {
        leaseCreated(current, now);
    } else if (std::holds_alternative<WriteHolder>(step)) {
        holderWritten(current, now);
    } else if (std::holds_alternative<RenewDutyLease>(step)) {
        leaseRenewed(current, now);
    }
}

void DutyLease::holderRead(const DutyResponse &response, TimePoint now)
{
    const bool isVerifying = m_phase == Phase::Verifying;
    if (response.result != DutyResponse::Result::Done) {
        if (isVerifying) {
            m_notBefore = now + REPEAT_DELAY;
        } else {
            giveUp(RETRY_DELAY + turn(), now);
        }
    } else if (response.holder.empty()) {
        // A write that wasn't executed yet fails once this one or that one is.
        m_phase = isVerifying ? Phase::Writing : Phase::Leasing;
    } else if (isVerifying && response.holder == ownValue()) {
        beginTenure(response.revision, now);
    } else {
        m_restoredAt.reset();
        giveUp(m_lifetime, now);
    }
}

void DutyLease::leaseCreated(const DutyResponse &response, TimePoint now)
{
    if (response.result != DutyResponse::Result::Done) {
        giveUp(RETRY_DELAY + turn(), now);
        return;
    }
    m_lease = response.lease;
    m_granted = std::min(m_lifetime, response.lifetime);
    m_certainUntil = TimePoint();
    noteConfirmed();
    m_phase = Phase::Writing;
}

void DutyLease::noteConfirmed()
{
    m_certainUntil = std::max(m_certainUntil, m_sentAt + m_granted - m_granted / MARGIN_PART);
    m_renewedAt = m_sentAt;
}

void DutyLease::holderWritten(const DutyResponse &response, TimePoint now)
{
    switch (response.result) {
    case DutyResponse::Result::Done:
        beginTenure(response.revision, now);
        break;
    case DutyResponse::Result::NotFound:
        m_lease = 0;
        giveUp(RETRY_DELAY + turn(), now);
        break;
    case DutyResponse::Result::ConditionFailed:
        m_phase = Phase::Verifying;
        break;
    case DutyResponse::Result::Unanswered:
        m_phase = Phase::Verifying;
        m_notBefore = now + REPEAT_DELAY;
        break;
    }
}

void DutyLease::beginTenure(std::uint64_t revision, TimePoint now)
{
    if (now >= m_certainUntil) {
        giveUp(RETRY_DELAY + turn(), now);
        return;
    }
    m_phase = Phase::Holding;
    m_tenure = Tenure{m_era * REVISIONS_PER_ERA + revision, m_era, revision, now};
    m_restoredAt.reset();
}

void DutyLease::leaseRenewed(const DutyResponse &response, TimePoint now)
{
    switch (response.result) {
    case DutyResponse::Result::Done:
        noteConfirmed();
        break;
    case DutyResponse::Result::NotFound:
        end(TenureEnd::LeaseLost, now);
        break;
    case DutyResponse::Result::ConditionFailed:
    case DutyResponse::Result::Unanswered:
        m_notBefore = now + REPEAT_DELAY;
        break;
    }
}

void DutyLease::noteEra(std::uint64_t era, TimePoint now)
{
    if (era <= m_era) {
        return;
    }
    const bool isFirst = m_era == 0;
    m_era = era;
    if (!isFirst && m_phase != Phase::Waiting) {
        end(TenureEnd::StoreRestored, now);
    }
}

void DutyLease::check(const DutySituation &situation, TimePoint now)
{
    if (!m_tenure) {
        return;
    }
    if (now >= m_certainUntil) {
        end(TenureEnd::LeaseUncertain, now);
    } else if (!situation.hearsMostGateways) {
        end(TenureEnd::GatewaysSilent, now);
    }
}

void DutyLease::end(TenureEnd reason, TimePoint now)
{
    const bool isRestored = reason == TenureEnd::StoreRestored;
    const bool wasHolder = m_tenure.has_value();
    if (wasHolder || reason == TenureEnd::PlannedStop) {
        m_lastEnd = reason;
    }
    if (isRestored || reason == TenureEnd::LeaseLost) {
        m_lease = 0;
    }
    m_openStep = {};
    giveUp(isRestored ? REPEAT_DELAY : m_lifetime, now);
    m_tenure.reset();
    m_restoredAt = wasHolder && isRestored ? std::make_optional(now) : std::nullopt;
}

void DutyLease::giveUp(Duration delay, TimePoint now)
{
    m_phase = Phase::Waiting;
    if (m_lease != 0) {
        m_leaseToEnd = std::exchange(m_lease, 0);
    }
    m_notBefore = now + delay;
    m_draw.reset();
}

}
