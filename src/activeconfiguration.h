/** \file
 * The configuration document and the rule by which a process replaces its active one: only by a newer document that is
 * valid as a whole.
 */
#pragma once

#include "fleetconfiguration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/**
 * One accepted edit. It is stored with the document, so that the result of an edit can be looked up if the store's
 * response was lost.
 */
struct EditRecord
{
    std::uint64_t revision = 0;
    std::string editId;
    std::string author;
    TimePoint acceptedAt;

    bool operator==(const EditRecord &other) const
    {
        return revision == other.revision && editId == other.editId && author == other.author
            && acceptedAt == other.acceptedAt;
    }
};

/** The document as it is stored and as it is sent between processes. */
struct ConfigurationDocument
{
    static constexpr std::size_t MAX_EDITS = 50;
    /** The store key of the document. */
    static constexpr const char *STORE_KEY = "configuration/current";

    std::uint64_t revision = 0;
    /** The text that operators edit. */
    std::string toml;
    /** At most MAX_EDITS edits, oldest first. The revision of the last one equals `revision`. */
    std::vector<EditRecord> edits;

    /** Converts to and from JSON text. decode() throws UserError if the text is invalid. */
    std::string encode() const;
    static ConfigurationDocument decode(const std::string &text);

    /**
     * Returns the document that follows this one if `toml` is accepted. Its revision is the current time in
     * milliseconds or this document's revision plus one, whichever is higher. Two edits therefore have different
     * revisions even if the store was reset to an older state between them.
     */
    ConfigurationDocument next(
        const std::string &toml, const std::string &editId, const std::string &author, TimePoint now) const;
};

/** The result of offering a document to a process. */
enum class OfferResult {
    Applied,
    AlreadyInForce,
    /** Older than the active revision: the response was stale, or the store was reset to an older state. */
    RefusedOlder,
    /** Invalid for this process, which keeps its active document. */
    RefusedInvalid,
};

/**
 * Holds the active document of one process.
 *
 * Invariant: revision() never decreases.
 */
class ActiveConfiguration
{
public:
    /** Makes `document` the active one if it is newer and valid. */
    OfferResult offer(const ConfigurationDocument &document);

    /** 0 until a document is active. */
    std::uint64_t revision() const
    {
        return m_document ? m_document->revision : 0;
    }
    /** Null until a document is active. */
    FleetConfigurationPtr configuration() const
    {
        return m_configuration;
    }
    const std::optional<ConfigurationDocument> &document() const
    {
        return m_document;
    }
    /** The revision that was last refused as invalid; 0 if none was refused since the last document was applied. */
    std::uint64_t invalidRevision() const
    {
        return m_invalidRevision;
    }
    /** Why invalidRevision() was refused. */
    const std::string &invalidReason() const
    {
        return m_invalidReason;
    }
    /** The number of documents refused because they were older than the active one. */
    std::uint64_t refusedOlderCount() const
    {
        return m_refusedOlderCount;
    }

private:
    std::optional<ConfigurationDocument> m_document;
    FleetConfigurationPtr m_configuration;
    std::uint64_t m_invalidRevision = 0;
    std::string m_invalidReason;
    std::uint64_t m_refusedOlderCount = 0;
};

}
