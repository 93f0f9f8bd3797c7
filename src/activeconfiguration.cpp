/** \file
 * Implements the document's JSON format and the rule that the active revision never decreases.
 */
#include "activeconfiguration.h"

#include "errors.h"
#include "jsoncodec.h"

#include <algorithm>

namespace Cyclamenturn
{

std::string ConfigurationDocument::encode() const
{
    Json::Value out;
    out["revision"] = Json::UInt64(revision);
    out["toml"] = toml;
    out["edits"] = Json::Value(Json::arrayValue);
    for (const EditRecord &edit : edits) {
        Json::Value item;
        item["revision"] = Json::UInt64(edit.revision);
        item["edit_id"] = edit.editId;
        item["author"] = edit.author;
        item["accepted_ms"] = Json::Int64(toMilliseconds(edit.acceptedAt));
        out["edits"].append(item);
    }
    return toJsonText(out);
}

ConfigurationDocument ConfigurationDocument::decode(const std::string &text)
{
    const JsonObject in(parseJson(text));
    ConfigurationDocument out;
    const std::int64_t revision = in.integer("revision");
    if (revision < 1) {
        throw UserError("a configuration document has a revision below 1");
    }
    out.revision = static_cast<std::uint64_t>(revision);
    out.toml = in.text("toml");
    for (const auto &item : in.array("edits")) {
        const JsonObject edit(item);
        out.edits.push_back({static_cast<std::uint64_t>(edit.integer("revision")), edit.text("edit_id"),
            edit.text("author"), timeFromMilliseconds(edit.integer("accepted_ms"))});
    }
    return out;
}

ConfigurationDocument ConfigurationDocument::next(
    const std::string &newToml, const std::string &editId, const std::string &author, TimePoint now) const
{
    ConfigurationDocument out;
    const std::int64_t time = toMilliseconds(now);
    out.revision = std::max(revision + 1, time > 0 ? static_cast<std::uint64_t>(time) : 0);
    out.toml = newToml;
    out.edits = edits;
    out.edits.push_back({out.revision, editId, author, now});
    if (out.edits.size() > MAX_EDITS) {
        out.edits.erase(out.edits.begin());
    }
    return out;
}

OfferResult ActiveConfiguration::offer(const ConfigurationDocument &document)
{
    if (m_document && document.revision == m_document->revision) {
        return OfferResult::AlreadyInForce;
    }
    if (document.revision < revision()) {
        ++m_refusedOlderCount;
        return OfferResult::RefusedOlder;
    }
    try {
        m_configuration = FleetConfiguration::parse(document.toml, "configuration", document.revision);
    } catch (const UserError &error) {
        m_invalidRevision = document.revision;
        m_invalidReason = error.what();
        return OfferResult::RefusedInvalid;
    }
    m_document = document;
    m_invalidRevision = 0;
    m_invalidReason.clear();
    return OfferResult::Applied;
}

}
