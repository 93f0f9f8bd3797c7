/** \file
 * Interface to the platform's wire format of the usage duty: the holder's key and the records in the store, and the
 * calls to the platform's API. The folder platform/ implements it.
 */
#pragma once

#include "dutystep.h"
#include "storerequest.h"
#include "usagecounts.h"
#include "usagerecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** A page of the records in the store. */
struct UsageRecordPage
{
    std::vector<UsageRecord> records;
    /** Windows whose records can't be decoded. */
    std::vector<std::int64_t> unreadable;
    /** The key after which the next page begins; empty if there is none. */
    std::string next;
};

/** Encodes the calls of the usage duty, and decodes their responses. All decode functions throw MessageFormatError. */
class DutyCodec
{
public:
    virtual ~DutyCodec() = default;

    virtual StoreRequest readHolderRequest() const = 0;
    virtual StoreRequest createLeaseRequest(Duration lifetime) const = 0;
    virtual StoreRequest writeHolderRequest(const WriteHolder &step) const = 0;
    virtual StoreRequest renewLeaseRequest(std::uint64_t lease) const = 0;
    virtual StoreRequest endLeaseRequest(std::uint64_t lease) const = 0;
    /** Sets DutyResponse::holder and its revision; leaves them if the era has no holder. */
    virtual void decodeHolder(std::string body, std::uint64_t era, DutyResponse &response) const = 0;
    virtual void decodeLease(std::string body, DutyResponse &response) const = 0;
    virtual std::uint64_t decodeWriteRevision(std::string body) const = 0;

    /** Reads a page of records after the key `after`; empty for the first page. */
    virtual StoreRequest listRecordsRequest(const std::string &after) const = 0;
    virtual UsageRecordPage decodeRecords(std::string body) const = 0;
    virtual StoreRequest readRecordRequest(std::int64_t window) const = 0;
    virtual UsageRecord decodeRecord(std::string body) const = 0;
    /** Writes the record on condition that the window has none and that the key of the era's holder has this revision.
     * Removes the records of `removedWindows`. */
    virtual StoreRequest writeRecordRequest(const UsageRecord &record, std::uint64_t holderRevision,
        const std::vector<std::int64_t> &removedWindows) const = 0;

    /** The body of a report. */
    virtual std::string encodeReport(const UsageCounts &counts) const = 0;
    /** The call to the API that sends a report. */
    virtual StoreRequest reportRequest(
        const std::string &holder, std::uint64_t fencingToken, const std::string &report) const = 0;
};

}
