/** \file
 * The seam to the platform's spelling of requests, answers and registrations. The folder platform/ implements it.
 */
#pragma once

#include "endpointdirectory.h"
#include "requesttraits.h"
#include "routingconfiguration.h"

#include "transport/httpmessage.h"

#include <stdexcept>
#include <string>

namespace Cyclamenturn
{

/** A message of the platform can't be read. `what()` names the field. */
class MessageFormatError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Translates callers' requests and endpoints' answers. */
class MessageCodec
{
public:
    virtual ~MessageCodec() = default;

    virtual RequestTraits decodeRequest(const HttpRequestHead &head) const = 0;
    virtual ResponseTraits decodeAnswer(const HttpResponseHead &head) const = 0;
    /** The caller's end-to-end fields without those that only the system may set, and with those of `traits`. */
    virtual HttpFields encodeForward(const HttpRequestHead &head, const ForwardTraits &traits, bool hasKey) const = 0;
    /** The id of an event of a stream; empty when it has none. `event` ends with its empty line. */
    virtual std::string eventId(const std::string &event) const = 0;
};

/** A call to the platform's store. */
struct StoreRequest
{
    HttpRequestHead head;
    std::string body;
};

/** One item of the platform's store. */
struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/** A page of items with the revision of the store at which it was read. */
struct StorePage
{
    std::vector<StoreItem> items;
    std::uint64_t storeRevision = 0;
    bool hasMore = false;
};

/** Translates calls to the platform's store and the values that others keep there. */
class StoreCodec
{
public:
    virtual ~StoreCodec() = default;

    virtual StoreRequest readConfigurationCall() const = 0;
    /** Waits until the configuration changes after `revision`. */
    virtual StoreRequest watchConfigurationCall(std::uint64_t revision, Duration wait) const = 0;
    /** Reads registrations after the key `after`; empty for the first page. */
    virtual StoreRequest listEndpointsCall(const std::string &after) const = 0;

    /** Gateways keep their addresses in the store under leases. */
    virtual StoreRequest createLeaseCall(Duration lifetime) const = 0;
    virtual StoreRequest renewLeaseCall(std::uint64_t lease) const = 0;
    virtual StoreRequest writeGatewayCall(
        const std::string &name, const std::string &address, std::uint64_t lease) const = 0;
    virtual StoreRequest listGatewaysCall() const = 0;
    virtual std::uint64_t decodeLease(const std::string &body) const = 0;

    /** Each throws MessageFormatError. */
    virtual StoreItem decodeItem(const std::string &body, std::uint64_t &storeRevision) const = 0;
    virtual StorePage decodePage(const std::string &body) const = 0;
    /** The items that a watch reports; an empty list when it ran out. */
    virtual StorePage decodeWatch(const std::string &body) const = 0;

    virtual RoutingConfigurationPtr decodeConfiguration(const std::string &value) const = 0;
    virtual EndpointRecord decodeEndpoint(const StoreItem &item) const = 0;
};

}
