/** \file
 * What a gateway knows of the engines behind the services.
 */
#include "gateway.h"

#include "eventlog.h"

namespace Cyclamenturn
{

namespace
{

long long toMicroseconds(double ms)
{
    return static_cast<long long>(ms * 1000);
}

}

const EngineCostModel &Gateway::engineModel(const std::string &service)
{
    const ServiceProfile *profile = m_configuration ? m_configuration->findService(service) : nullptr;
    const int slots = profile != nullptr && profile->engine ? profile->engine->slots : 1;
    return m_engineModels.model(service, slots, m_loop.now());
}

void Gateway::reportEngines()
{
    const TimePoint now = m_loop.now();
    for (const auto &item : m_engineModels.inUse(now)) {
        const std::string &service = item.first;
        const EngineEstimate &estimate = item.second;
        const auto setValue = [this, &service](const char *value, double number) {
            m_metrics.set("cyclamenturn_engine_estimate", {{"service", service}, {"value", value}}, number);
        };
        setValue("prefill_tokens_per_ms", estimate.model.prefillTokensPerMs);
        setValue("first_event_ms", estimate.model.firstEventMs);
        setValue("token_ms", estimate.model.tokenMs);
        setValue("full_batch_token_ms", estimate.model.fullBatchTokenMs);
        setValue("streams_per_endpoint", estimate.model.streamsPerEndpoint);
        const auto setCount = [this, &service](const char *kind, double number) {
            m_metrics.set("cyclamenturn_engine_observations", {{"service", service}, {"kind", kind}}, number);
        };
        setCount("prompts", estimate.prompts);
        setCount("short_prompts", estimate.shortPrompts);
        setCount("answers", estimate.answers);
    }
    for (const EngineModelChange &change : m_engineModels.takeChanges(now)) {
        const EngineCostModel &model = change.estimate.model;
        LogEvent("engine_estimate")
            .field("service", change.service)
            .field("prefill_tokens_per_s", static_cast<long long>(model.prefillTokensPerMs * 1000))
            .field("first_event_us", toMicroseconds(model.firstEventMs))
            .field("token_us", toMicroseconds(model.tokenMs))
            .field("full_batch_token_us", toMicroseconds(model.fullBatchTokenMs))
            .field("streams_per_endpoint", static_cast<long long>(model.streamsPerEndpoint))
            .field("prompts", static_cast<long long>(change.estimate.prompts))
            .field("short_prompts", static_cast<long long>(change.estimate.shortPrompts))
            .field("answers", static_cast<long long>(change.estimate.answers))
            .field("age_ms", change.estimate.age ? toMilliseconds(*change.estimate.age) : -1);
    }
}

}
