/** \file
 * Serialization of engine summaries within digests.
 */
#pragma once

#include "enginesummary.h"

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>

#include <optional>

namespace Cyclamenturn
{

/** Writes a summary with its weights as of `now`. */
void writeEngineSummary(Poco::BinaryWriter &out, const EngineSummary &summary, TimePoint now);
/** Returns nothing if the bytes are incomplete. Any bytes give values that are finite and positive. */
std::optional<EngineSummary> readEngineSummary(Poco::BinaryReader &in, TimePoint now);

}
