/** \file
 * Collects what this process knows about one endpoint for the placement of one prompt.
 */
#pragma once

#include "prefixsaving.h"

#include <set>
#include <string>
#include <vector>

namespace Cyclamenturn
{

struct PlacementCandidate;

/** Requests of all callers at the endpoint: the larger of the endpoint's report and the sum known to the gateways. */
double requestsAt(const PlacementCandidate &candidate, TimePoint now);

/** `cacheLife` bounds how long parts count as cached where the engine's memory isn't known. */
EndpointOutlook outlookFor(const PlacementCandidate &candidate, const PromptTraits &prompt, bool isHomeEndpoint,
    Duration cacheLife, TimePoint now);

/** PromptNeeds::meanBacklog over the candidates with an id in `matching`, or over all if it is empty. */
double meanBacklog(const std::vector<PlacementCandidate> &candidates, const std::set<std::string> &matching,
    const PromptTraits &prompt);

/** Whether half of the candidates' slots are free and no request is known to wait at any of them. */
bool hasAmpleSlots(const std::vector<PlacementCandidate> &candidates, TimePoint now);

/** The usual pace of the candidate's VM: the mean of what this gateway and its peers know; 1 if none knows it. */
double usualPaceOf(const PlacementCandidate &candidate);
/** The VM's pace at present, as far as it is known. */
double paceOf(const PlacementCandidate &candidate, TimePoint now);

}
