/** \file
 * Implements the lookup of an edit by its id.
 */
#include "editresolution.h"

#include "errors.h"

#include <algorithm>

namespace Cyclamenturn
{

const char *toString(EditState state)
{
    switch (state) {
    case EditState::Accepted:
        return "accepted";
    case EditState::Superseded:
        return "superseded";
    case EditState::Refused:
        return "refused";
    case EditState::NotYet:
        return "not_yet";
    case EditState::StoreBehind:
        return "store_behind";
    }
    throw InternalError("an EditState value has no name: add it to toString()");
}

EditResolution resolveEdit(const ConfigurationDocument &stored, const std::string &editId, std::uint64_t baseRevision)
{
    EditResolution out;
    if (stored.revision < baseRevision) {
        out.state = EditState::StoreBehind;
        return out;
    }
    if (stored.revision == baseRevision) {
        out.state = EditState::NotYet;
        return out;
    }
    for (const EditRecord &edit : stored.edits) {
        if (edit.editId == editId) {
            const bool newest = edit.revision == stored.revision;
            out.state = newest ? EditState::Accepted : EditState::Superseded;
            out.revision = edit.revision;
            out.otherEdit = newest ? EditRecord() : stored.edits.back();
            return out;
        }
    }
    out.state = EditState::Refused;
    const auto after = [&](const EditRecord &edit) {
        return edit.revision > baseRevision;
    };
    const auto first = std::find_if(stored.edits.begin(), stored.edits.end(), after);
    out.otherEdit = first == stored.edits.end() ? EditRecord() : *first;
    return out;
}

}
