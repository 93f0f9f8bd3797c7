/** \file
 * Owners of permits.
 */
#include "permitowners.h"

#include "rendezvoushash.h"

#include <algorithm>

namespace Cyclamenturn
{

void PermitOwners::noteHeard(const std::string &name)
{
    m_silences.erase(name);
}

void PermitOwners::noteUnanswered(const std::string &name, TimePoint now)
{
    Silence &silence = m_silences[name];
    if (silence.unanswered++ == 0) {
        silence.since = now;
    }
}

bool PermitOwners::isDown(const std::string &name, TimePoint now) const
{
    const auto found = m_silences.find(name);
    return found != m_silences.end() && found->second.unanswered >= UNANSWERED_UNTIL_DOWN
        && now - found->second.since >= DOWN_TIME;
}

std::vector<std::string> PermitOwners::owners(const std::string &endpoint, TimePoint now) const
{
    constexpr std::size_t MAX_OWNERS = 2;
    const std::uint64_t seed = contentHash(endpoint);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(m_members.size() + 1);
    for (const auto &name : m_members) {
        if (!isDown(name, now)) {
            ranked.emplace_back(contentHash(name, seed), name);
        }
    }
    if (now - m_startedAt >= SETTLING_TIME) {
        ranked.emplace_back(contentHash(m_ownName, seed), m_ownName);
    }
    const std::size_t count = std::min(ranked.size(), MAX_OWNERS);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
        [](const auto &a, const auto &b) { return a > b; });
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(ranked[i].second);
    }
    return out;
}

}
