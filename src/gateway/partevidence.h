/** \file
 * Evidence for and against shared parts of prompts, as gateways exchange it.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Cyclamenturn
{

struct PromptTraits;

/**
 * Identifies a shared part of prompts: a hash of its id, with the part's place in the prompt in the lowest bits. A
 * later part is shared by fewer prompts.
 */
using PartKey = std::uint64_t;

constexpr PartKey PART_PLACE_MASK = 7;

inline int partPlace(PartKey part)
{
    return static_cast<int>(part & PART_PLACE_MASK);
}

/** The parts of a prompt that others may share, which are all but the last. */
std::vector<PartKey> sharedParts(const PromptTraits &prompt);

/** A prompt with this part was unanswered when the connection to its endpoint was lost. */
struct PartCrash
{
    PartKey part = 0;
    /** Hash of the request's content; its repeats have the same. */
    std::uint32_t request = 0;
    /** Hash of the team that sent the request. */
    std::uint32_t team = 0;
    /** Hash of the endpoint's incarnation. */
    std::uint64_t endpoint = 0;
    TimePoint at;

    bool operator==(const PartCrash &other) const
    {
        return std::tie(part, request, team, endpoint, at)
            == std::tie(other.part, other.request, other.team, other.endpoint, other.at);
    }
};

/** An endpoint began to answer a prompt with this part. */
struct PartAnswer
{
    PartKey part = 0;
    TimePoint at;

    bool operator==(const PartAnswer &other) const
    {
        return part == other.part && at == other.at;
    }
};

struct PartEvidence
{
    /** Limits that keep a message within one packet. */
    static constexpr std::size_t MAX_CRASHES = 44;
    static constexpr std::size_t MAX_ANSWERS = 32;

    std::vector<PartCrash> crashes;
    std::vector<PartAnswer> answers;

    bool isEmpty() const
    {
        return crashes.empty() && answers.empty();
    }
};

/** Serializes the evidence. Times are written as ages before `now`, since the clocks of VMs differ. */
std::string encodePartEvidence(const PartEvidence &evidence, TimePoint now);
/** Returns false and leaves `evidence` unspecified if the bytes aren't a complete message of this kind. */
bool decodePartEvidence(const std::string &bytes, TimePoint now, PartEvidence &evidence);

}
