/** \file
 * Tells an operator what became of an edit, also when the store's answer to it was lost.
 */
#pragma once

#include "activeconfiguration.h"

#include <string>

namespace Cyclamenturn
{

enum class EditState {
    /** The edit is in the document. */
    Accepted,
    /** The edit was accepted, and a later one has replaced it. */
    Superseded,
    /** Another edit took the revision; nothing of this one is in force, nor will be. */
    Refused,
    /** The document still has the revision from which the edit started. */
    NotYet,
    /** The store's document is older than the edit's base: it was set back. */
    StoreBehind,
};

const char *toString(EditState state);

struct EditResolution
{
    EditState state = EditState::NotYet;
    /** The revision that the edit made; 0 while it made none. */
    std::uint64_t revision = 0;
    /** The edit that superseded or beat this one; empty otherwise. */
    EditRecord other;
};

/**
 * Resolves an edit against the document now in the store.
 * \param baseRevision the revision that the operator edited
 */
EditResolution resolveEdit(const ConfigurationDocument &stored, const std::string &editId, std::uint64_t baseRevision);

}
