/** \file
 * Interfaces to the platform's wire format of requests, responses and registrations. The folder platform/ implements
 * them.
 */
#pragma once

#include "configurationdecoder.h"
#include "endpointdirectory.h"
#include "requesttraits.h"
#include "routingconfiguration.h"
#include "storerequest.h"

#include "transport/httpmessage.h"

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class DutyCodec;

/** Thrown when a message of the platform can't be decoded. `what()` names the field. */
class MessageFormatError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Decodes callers' requests and endpoints' responses, and encodes forwarded requests. */
class MessageCodec
{
public:
    virtual ~MessageCodec() = default;

    virtual RequestTraits decodeRequest(const HttpRequestHead &head) const = 0;
    virtual ResponseTraits decodeResponse(const HttpResponseHead &head) const = 0;
    /** Returns the caller's end-to-end fields without those that only the system may set, plus the fields of
     * `traits`. */
    virtual HttpFields encodeForwardedFields(
        const HttpRequestHead &head, const ForwardTraits &traits, bool hasKey) const = 0;
    /** Returns the id of a stream event, or an empty string if it has none. `event` includes its terminating empty
     * line. */
    virtual std::string eventId(const std::string &event) const = 0;
    /** A request that an endpoint answers with its incarnation. */
    virtual HttpRequestHead incarnationRequest() const = 0;
    /** EndpointRecord::startedAtMs of the endpoint that has sent this response to incarnationRequest(), or nothing if
     * it isn't stated. */
    virtual std::optional<std::int64_t> decodeIncarnation(const std::string &body) const = 0;
};

/** A response of the platform's store. */
struct StoreResponse
{
    /** 0 when no complete response was received in time. */
    int status = 0;
    /** Whether the store accepted the call and didn't answer in time, so that it may be slow rather than away. */
    bool isLate = false;
    /** StoreRevision::era. */
    std::uint64_t era = 0;
    std::string body;
};

/** One item of the platform's store. */
struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/** A version of the operator's configuration in the store. */
struct ConfigurationItem
{
    std::uint64_t revision = 0;
    /** The document in the encoding of the store. */
    std::string encodedDocument;
};

/** The latest version of the configuration, with the revision of the store at which it was read. */
struct ConfigurationPage
{
    /** Empty if a watch has timed out. */
    std::optional<ConfigurationItem> latest;
    std::uint64_t storeRevision = 0;
};

/** A page of items, with the revision of the store at which the page was read. */
struct StorePage
{
    std::vector<StoreItem> items;
    std::uint64_t storeRevision = 0;
    bool hasMore = false;
};

/** Encodes requests to the platform's store, and decodes its responses and the values stored there. */
class StoreCodec
{
public:
    virtual ~StoreCodec() = default;

    virtual StoreRequest readConfigurationRequest() const = 0;
    /** A request that the store answers when the configuration changes after `revision`, or after `wait`. */
    virtual StoreRequest watchConfigurationRequest(std::uint64_t revision, Duration wait) const = 0;
    /** A request that reads a page of registrations after the key `after`; empty for the first page. */
    virtual StoreRequest listEndpointsRequest(const std::string &after) const = 0;

    /** Gateways store their addresses under leases, so that the address of a process that has ended expires. */
    virtual StoreRequest createLeaseRequest(Duration lifetime) const = 0;
    virtual StoreRequest renewLeaseRequest(std::uint64_t lease) const = 0;
    virtual StoreRequest writeGatewayRequest(
        const std::string &name, const std::string &address, std::uint64_t lease) const = 0;
    virtual StoreRequest listGatewaysRequest(bool mayBeStale) const = 0;
    virtual std::uint64_t decodeLease(const std::string &body) const = 0;

    /** The era of the store that a response states; 0 if it states none. */
    virtual std::uint64_t decodeEra(const HttpResponseHead &head) const = 0;

    /** All decode functions throw MessageFormatError. */
    virtual StorePage decodePage(std::string body) const = 0;
    virtual ConfigurationPage decodeConfigurationRead(std::string body) const = 0;
    virtual ConfigurationPage decodeConfigurationWatch(std::string body) const = 0;

    /** `previous` is a configuration that may have routes in common with the document, or null. */
    virtual std::unique_ptr<ConfigurationDecoder> beginConfiguration(
        std::string encodedDocument, RoutingConfigurationPtr previous) const = 0;
    virtual EndpointRecord decodeEndpoint(const StoreItem &item) const = 0;

    virtual const DutyCodec &duties() const = 0;
};

}
