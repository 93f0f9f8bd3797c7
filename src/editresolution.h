/** \file
 * Determines the state of a configuration edit, also if the store's response to it was lost.
 */
#pragma once

#include "activeconfiguration.h"

#include <string>

namespace Cyclamenturn
{

enum class EditState {
    /** The stored document is the one that this edit created. */
    Accepted,
    /** The edit was accepted, and a later edit has replaced it. */
    Superseded,
    /** Another edit was accepted instead. This edit has no effect and will have none later. */
    Refused,
    /** The stored document still has the revision on which the edit is based. */
    NotYet,
    /** The stored document is older than the revision on which the edit is based: the store was reset. */
    StoreBehind,
};

const char *toString(EditState state);

struct EditResolution
{
    EditState state = EditState::NotYet;
    /** The revision that the edit created; 0 if it created none. */
    std::uint64_t revision = 0;
    /** The edit that superseded this one or was accepted instead; empty otherwise. */
    EditRecord otherEdit;
};

/**
 * Determines the state of an edit from the document that is now in the store.
 * \param baseRevision the revision on which the edit is based
 */
EditResolution resolveEdit(const ConfigurationDocument &stored, const std::string &editId, std::uint64_t baseRevision);

}
