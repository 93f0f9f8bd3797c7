/** \file
 * Outcomes of requests, with the reasons for refusals and retries. Responses, metrics and logs use their names.
 */
#pragma once

#include "timepoint.h"

#include <optional>
#include <string>
#include <tuple>

namespace Cyclamenturn
{

/**
 * The result of a request. A caller only gets NotRun when it is proved that neither this request nor another one with
 * the same idempotency key has run.
 */
enum class OutcomeKind {
    Served,
    NotRun,
    /** An earlier request with the same idempotency key is waiting or running. */
    InProgress,
    /** An earlier request with the same idempotency key has run; its stored response is returned if there is one. */
    AlreadyRun,
    /** It is not known whether the request has run. */
    Unknown,
};

/** Why a request was refused or ended without a response. */
enum class RefusalReason {
    None,
    BadRequest,
    UnknownTeam,
    UnknownClass,
    UnknownService,
    BodyTooLarge,
    /** The idempotency key or issue time is missing, or one of them or the attempt number is malformed. */
    MissingKey,
    IssueTimeInFuture,
    /** The time window in which a first attempt may start has ended. */
    FirstAttemptExpired,
    QueueFull,
    /** The event queue of the entry or agent process is full. */
    RingFull,
    DeadlineUnreachable,
    DeadlinePassed,
    TeamLimit,
    NoEndpoint,
    EndpointLeaving,
    NoConfiguration,
    Quarantined,
    /** The request was addressed to an earlier incarnation of the agent. */
    WrongIncarnation,
    /** The agent cannot exclude that a successor has replaced it. */
    NotValidated,
    /** The idempotency key has been used or queried before. */
    KeySeen,
    /** A first attempt with the same idempotency key could still start. */
    ResendTooEarly,
    /** There is no proof that the idempotency key of a resend has not run. */
    ResendUnproven,
    /** Another agent has claimed the idempotency key of a resend. */
    ResendClaimed,
    StoreUnavailable,
    /** No response from the agent. */
    AgentSilent,
    EndpointFailed,
    Cancelled,
    RetriesExhausted,
};

/** Why a request was sent again. */
enum class RetryReason {
    ConnectionRefused,
    AgentRefused,
    EndpointLeaving,
    EndpointFailed,
    AgentSilent,
};

/**
 * The outcome of a request with its reason and, where a retry can succeed, the delay before it.
 * Example: `Outcome::notRun(RefusalReason::QueueFull, milliseconds(200))`.
 */
class Outcome
{
public:
    static Outcome served();
    static Outcome notRun(RefusalReason reason, std::optional<Duration> retryAfter = std::nullopt);
    static Outcome inProgress();
    static Outcome alreadyRun();
    static Outcome unknown(RefusalReason reason, std::optional<Duration> retryAfter = std::nullopt);

    OutcomeKind kind() const
    {
        return m_kind;
    }
    RefusalReason reason() const
    {
        return m_reason;
    }
    /** Delay before a retry; set only if a retry can succeed. */
    std::optional<Duration> retryAfter() const
    {
        return m_retryAfter;
    }
    bool operator==(const Outcome &other) const
    {
        return std::tie(m_kind, m_reason, m_retryAfter) == std::tie(other.m_kind, other.m_reason, other.m_retryAfter);
    }
    bool operator!=(const Outcome &other) const
    {
        return !(*this == other);
    }

private:
    Outcome(OutcomeKind kind, RefusalReason reason, std::optional<Duration> retryAfter);

    OutcomeKind m_kind;
    RefusalReason m_reason;
    std::optional<Duration> m_retryAfter;
};

/** Returns the name used in messages, logs and metric labels, for example "not_run". */
const char *toString(OutcomeKind kind);
const char *toString(RefusalReason reason);
const char *toString(RetryReason reason);

/** Inverse of toString(). Throws UserError on an unknown name. */
OutcomeKind outcomeKindFromString(const std::string &name);
RefusalReason refusalReasonFromString(const std::string &name);

}
