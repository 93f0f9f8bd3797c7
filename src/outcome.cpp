/** \file
 * Conversion of outcomes and reasons to and from their names.
 */
#include "outcome.h"

#include "errors.h"

#include <array>
#include <utility>

namespace Cyclamenturn
{

namespace
{

const std::array<std::pair<OutcomeKind, const char *>, 5> OUTCOME_NAMES = {{
    {OutcomeKind::Served, "served"},
    {OutcomeKind::NotRun, "not_run"},
    {OutcomeKind::InProgress, "in_progress"},
    {OutcomeKind::AlreadyRun, "already_run"},
    {OutcomeKind::Unknown, "unknown"},
}};

const std::array<std::pair<RefusalReason, const char *>, 29> REFUSAL_NAMES = {{
    {RefusalReason::None, "none"},
    {RefusalReason::BadRequest, "bad_request"},
    {RefusalReason::UnknownTeam, "unknown_team"},
    {RefusalReason::UnknownClass, "unknown_class"},
    {RefusalReason::UnknownService, "unknown_service"},
    {RefusalReason::BodyTooLarge, "body_too_large"},
    {RefusalReason::MissingKey, "missing_idempotency_key"},
    {RefusalReason::IssueTimeInFuture, "issue_time_in_future"},
    {RefusalReason::FirstAttemptExpired, "first_attempt_expired"},
    {RefusalReason::QueueFull, "queue_full"},
    {RefusalReason::RingFull, "ring_full"},
    {RefusalReason::DeadlineUnreachable, "deadline_unreachable"},
    {RefusalReason::DeadlinePassed, "deadline_passed"},
    {RefusalReason::TeamLimit, "team_limit"},
    {RefusalReason::NoEndpoint, "no_endpoint"},
    {RefusalReason::EndpointLeaving, "endpoint_leaving"},
    {RefusalReason::NoConfiguration, "no_configuration"},
    {RefusalReason::Quarantined, "quarantined"},
    {RefusalReason::WrongIncarnation, "wrong_incarnation"},
    {RefusalReason::NotValidated, "not_validated"},
    {RefusalReason::KeySeen, "key_seen"},
    {RefusalReason::ResendTooEarly, "resend_too_early"},
    {RefusalReason::ResendUnproven, "resend_unproven"},
    {RefusalReason::ResendClaimed, "resend_claimed"},
    {RefusalReason::StoreUnavailable, "store_unavailable"},
    {RefusalReason::AgentSilent, "agent_silent"},
    {RefusalReason::EndpointFailed, "endpoint_failed"},
    {RefusalReason::Cancelled, "cancelled"},
    {RefusalReason::RetriesExhausted, "retries_exhausted"},
}};

const std::array<std::pair<RetryReason, const char *>, 5> RETRY_NAMES = {{
    {RetryReason::ConnectionRefused, "connection_refused"},
    {RetryReason::AgentRefused, "agent_refused"},
    {RetryReason::EndpointLeaving, "endpoint_leaving"},
    {RetryReason::EndpointFailed, "endpoint_failed"},
    {RetryReason::AgentSilent, "agent_silent"},
}};

template<typename Table, typename Value>
const char *nameOf(const Table &table, Value value)
{
    for (const auto &[key, name] : table) {
        if (key == value) {
            return name;
        }
    }
    throw InternalError("enumerator without a name: add it to the table in outcome.cpp");
}

template<typename Table>
auto valueOf(const Table &table, const std::string &name)
{
    for (const auto &[key, known] : table) {
        if (name == known) {
            return key;
        }
    }
    throw UserError("unknown name '" + name + "': both ends must run compatible versions");
}

}

Outcome::Outcome(OutcomeKind kind, RefusalReason reason, std::optional<Duration> retryAfter)
    : m_kind(kind)
    , m_reason(reason)
    , m_retryAfter(retryAfter)
{
}

Outcome Outcome::served()
{
    return Outcome(OutcomeKind::Served, RefusalReason::None, std::nullopt);
}

Outcome Outcome::notRun(RefusalReason reason, std::optional<Duration> retryAfter)
{
    return Outcome(OutcomeKind::NotRun, reason, retryAfter);
}

Outcome Outcome::inProgress()
{
    return Outcome(OutcomeKind::InProgress, RefusalReason::KeySeen, std::nullopt);
}

Outcome Outcome::alreadyRun()
{
    return Outcome(OutcomeKind::AlreadyRun, RefusalReason::KeySeen, std::nullopt);
}

Outcome Outcome::unknown(RefusalReason reason, std::optional<Duration> retryAfter)
{
    return Outcome(OutcomeKind::Unknown, reason, retryAfter);
}

const char *toString(OutcomeKind kind)
{
    return nameOf(OUTCOME_NAMES, kind);
}

const char *toString(RefusalReason reason)
{
    return nameOf(REFUSAL_NAMES, reason);
}

const char *toString(RetryReason reason)
{
    return nameOf(RETRY_NAMES, reason);
}

OutcomeKind outcomeKindFromString(const std::string &name)
{
    return valueOf(OUTCOME_NAMES, name);
}

RefusalReason refusalReasonFromString(const std::string &name)
{
    return valueOf(REFUSAL_NAMES, name);
}

}
