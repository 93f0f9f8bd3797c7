/** \file
 * Which configuration document is in force in one process: only ever a newer one, and only a whole valid one.
 */
#pragma once

#include "fleetconfiguration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** One accepted edit, kept with the document so that a lost answer can be looked up. */
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

/** The document as it lies in the store and travels between processes. */
struct ConfigurationDocument
{
    static constexpr std::size_t MAX_EDITS = 50;
    /** The store key of the document. */
    static constexpr const char *STORE_KEY = "configuration/current";

    std::uint64_t revision = 0;
    /** The operators' form. */
    std::string toml;
    /** The newest edit last; at most MAX_EDITS. Its last revision equals `revision`. */
    std::vector<EditRecord> edits;

    /** Codec, JSON text. decode() throws UserError. */
    std::string encode() const;
    static ConfigurationDocument decode(const std::string &text);

    /**
     * The document that follows this one when `toml` is accepted. Its revision is the time in milliseconds, or one more
     * than ours where that is higher, so that no two edits share a revision even when the store was set back between.
     */
    ConfigurationDocument next(
        const std::string &toml, const std::string &editId, const std::string &author, TimePoint now) const;
};

/** What became of an offered document. */
enum class OfferResult {
    Applied,
    AlreadyInForce,
    /** An older revision than the one in force: a stale answer, or a store set back. */
    RefusedOlder,
    /** This process can't read it; it keeps the one in force. */
    RefusedInvalid,
};

/**
 * Holds the document in force.
 *
 * Invariant: revision() never falls.
 */
class ActiveConfiguration
{
public:
    OfferResult offer(const ConfigurationDocument &document);

    std::uint64_t revision() const
    {
        return m_document ? m_document->revision : 0;
    }
    /** Null until a document is in force. */
    FleetConfigurationPtr configuration() const
    {
        return m_configuration;
    }
    const std::optional<ConfigurationDocument> &document() const
    {
        return m_document;
    }
    /** The revision that was refused as invalid last, and why; 0 when none was since the last applied one. */
    std::uint64_t invalidRevision() const
    {
        return m_invalidRevision;
    }
    const std::string &invalidReason() const
    {
        return m_invalidReason;
    }
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
