/** \file
 * Checks of callers' requests against the configuration.
 */
#include "admission.h"

#include "errors.h"
#include "rendezvoushash.h"

#include <optional>

namespace Cyclamenturn
{

namespace
{

constexpr std::size_t MAX_KEY_LENGTH = 256;
/** Length of the prompt prefix whose hash identifies calls with a common beginning. */
constexpr std::size_t PREFIX_BYTES = 512;
/** A number with more digits is not a plausible time in milliseconds. */
constexpr std::size_t MAX_TIME_DIGITS = 15;

std::optional<std::int64_t> parseNumber(const std::string &text)
{
    const bool digits
        = !text.empty() && text.size() <= MAX_TIME_DIGITS && text.find_first_not_of("0123456789") == std::string::npos;
    return digits ? std::optional<std::int64_t>(std::stoll(text)) : std::nullopt;
}

std::variant<IdempotencyKey, Outcome> readKey(const CallerRequest &request, const FleetLimits &limits, TimePoint now)
{
    const auto issuedAt = parseNumber(request.issuedAt);
    const bool keyValid = !request.idempotencyKey.empty() && request.idempotencyKey.size() <= MAX_KEY_LENGTH;
    const bool attemptValid = request.attempt.empty() || parseNumber(request.attempt);
    if (!keyValid || !issuedAt || !attemptValid) {
        return Outcome::notRun(RefusalReason::MissingKey);
    }
    IdempotencyKey key{request.idempotencyKey, timeFromMilliseconds(*issuedAt), false};
    key.firstAttempt = !request.attempt.empty() && *parseNumber(request.attempt) == 0;
    if (key.issuedAt > now + limits.clockMargin) {
        return Outcome::notRun(RefusalReason::IssueTimeInFuture);
    }
    return key;
}

}

int httpStatusOf(const Outcome &outcome)
{
    switch (outcome.kind()) {
    case OutcomeKind::Served:
    case OutcomeKind::AlreadyRun:
        return 200;
    case OutcomeKind::InProgress:
        return 409;
    case OutcomeKind::Unknown:
        return 504;
    case OutcomeKind::NotRun:
        break;
    }
    switch (outcome.reason()) {
    case RefusalReason::BadRequest:
    case RefusalReason::UnknownClass:
    case RefusalReason::MissingKey:
    case RefusalReason::IssueTimeInFuture:
        return 400;
    case RefusalReason::UnknownTeam:
        return 401;
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::BodyTooLarge:
        return 413;
    case RefusalReason::TeamLimit:
    case RefusalReason::QueueFull:
        return 429;
    default:
        return 503;
    }
}

std::variant<Call, Outcome> admitCall(
    const FleetConfiguration &configuration, const CallerRequest &request, TimePoint now)
{
    const TeamSpec *team = configuration.findTeamByKeyHash(request.keyHash);
    if (!team) {
        return Outcome::notRun(RefusalReason::UnknownTeam);
    }
    if (!request.service.empty() && !configuration.findService(request.service)) {
        return Outcome::notRun(RefusalReason::UnknownService);
    }
    const ServiceClass *serviceClass = configuration.findClass(request.className);
    const bool classMatches = serviceClass && (request.service.empty() || serviceClass->service == request.service);
    if (!classMatches) {
        return Outcome::notRun(RefusalReason::UnknownClass);
    }
    const ServiceSpec *service = configuration.findService(serviceClass->service);
    const bool kindMatches = request.service.empty() == (service->kind == ServiceKind::Model);
    if (!kindMatches) {
        return Outcome::notRun(RefusalReason::UnknownService);
    }

    Call call;
    call.id = request.id;
    call.className = serviceClass->name;
    call.service = serviceClass->service;
    call.team = team->name;
    call.tier = serviceClass->tier;
    call.idempotent = serviceClass->idempotent;
    call.sheddable = serviceClass->sheddable;
    call.preemptible = serviceClass->preemptible;
    call.deadline = now + serviceClass->deadline;
    call.fingerprint = contentHash(request.method + " " + request.path + "\n" + request.body);
    if (service->kind == ServiceKind::Model) {
        call.prefix = contentHash(request.body.substr(0, PREFIX_BYTES));
    }
    if (!call.idempotent) {
        const auto key = readKey(request, configuration.limits(), now);
        if (const auto *refusal = std::get_if<Outcome>(&key)) {
            return *refusal;
        }
        call.key = std::get<IdempotencyKey>(key);
    }
    return call;
}

}
