/** \file
 * The store calls by which a gateway becomes and remains the holder of the usage duty.
 */
#include "usageduty.h"

#include "clock.h"
#include "eventlog.h"

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;
constexpr int NOT_FOUND = 404;
constexpr int CONDITION_FAILED = 412;

DutyResponse::Result resultOf(int status)
{
    switch (status) {
    case OK:
        return DutyResponse::Result::Done;
    case NOT_FOUND:
        return DutyResponse::Result::NotFound;
    case CONDITION_FAILED:
        return DutyResponse::Result::ConditionFailed;
    default:
        return DutyResponse::Result::Unanswered;
    }
}

}

void UsageDuty::leaseResponse(
    StoreResponse &&response, const std::function<void(std::string body, DutyResponse &out)> &decode)
{
    DutyResponse out;
    out.era = response.era;
    out.result = resultOf(response.status);
    try {
        if (out.result == DutyResponse::Result::Done) {
            decode(std::move(response.body), out);
        }
    } catch (const MessageFormatError &error) {
        LogEvent("store_answer_unreadable", LogEvent::Level::Error).field("reason", error.what());
        out.result = DutyResponse::Result::Unanswered;
    }
    m_lease.responseReceived(out, bootTime());
}

void UsageDuty::begin(const ReadHolder &)
{
    callStore(*m_leaseCall, "duty_holder", m_codec.readHolderRequest(), [this](StoreResponse &&response) {
        leaseResponse(std::move(response),
            [this](std::string body, DutyResponse &out) { m_codec.decodeHolder(std::move(body), out.era, out); });
    });
}

void UsageDuty::begin(const CreateDutyLease &step)
{
    callStore(*m_leaseCall, "duty_lease", m_codec.createLeaseRequest(step.lifetime), [this](StoreResponse &&response) {
        leaseResponse(std::move(response),
            [this](std::string body, DutyResponse &out) { m_codec.decodeLease(std::move(body), out); });
    });
}

void UsageDuty::begin(const WriteHolder &step)
{
    callStore(*m_leaseCall, "duty_take", m_codec.writeHolderRequest(step), [this](StoreResponse &&response) {
        leaseResponse(std::move(response), [this](std::string body, DutyResponse &out) {
            out.revision = m_codec.decodeWriteRevision(std::move(body));
        });
    });
}

void UsageDuty::begin(const RenewDutyLease &step)
{
    callStore(*m_leaseCall, "duty_renewal", m_codec.renewLeaseRequest(step.lease), [this](StoreResponse &&response) {
        leaseResponse(std::move(response), [](const std::string &, DutyResponse &) {});
    });
}

void UsageDuty::begin(const EndDutyLease &step)
{
    callStore(*m_leaseCall, "duty_lease_end", m_codec.endLeaseRequest(step.lease), [this](StoreResponse &&response) {
        leaseResponse(std::move(response), [](const std::string &, DutyResponse &) {});
    });
}

}
