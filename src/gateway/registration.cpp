/** \file
 * Lease, address and list of gateways in the platform's store.
 */
#include "registration.h"

#include "errors.h"
#include "eventlog.h"

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;
constexpr int NOT_FOUND = 404;
constexpr Duration CALL_TIMEOUT = milliseconds(1500);
constexpr Duration RETRY_DELAY = milliseconds(1000);

}

Registration::Registration(EventLoop &loop, const StoreCodec &codec, const Address &store, std::string name,
    Address ownAddress, std::function<void(const std::string &, const Address &)> peerFound)
    : m_loop(loop)
    , m_codec(codec)
    , m_call(std::make_unique<StoreCall>(loop, codec, store))
    , m_name(std::move(name))
    , m_ownAddress(std::move(ownAddress))
    , m_peerFound(std::move(peerFound))
{
}

Registration::~Registration()
{
    m_loop.cancel(m_timer);
}

void Registration::start()
{
    createLease();
}

void Registration::registerAgain(Duration delay)
{
    m_call->cancel();
    schedule(delay, &Registration::createLease);
}

void Registration::setStore(const Address &store)
{
    m_call = std::make_unique<StoreCall>(m_loop, m_codec, store);
    createLease();
}

void Registration::schedule(Duration wait, void (Registration::*step)())
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.callAfter(wait, [this, step] { (this->*step)(); });
}

void Registration::begin(
    const char *kind, const StoreRequest &request, std::function<void(StoreResponse &&response)> responseHandler)
{
    ++m_calls[kind];
    m_call->begin(request, CALL_TIMEOUT, std::move(responseHandler));
}

void Registration::retry()
{
    schedule(RETRY_DELAY, &Registration::createLease);
}

void Registration::createLease()
{
    m_loop.cancel(m_timer);
    begin("lease", m_codec.createLeaseRequest(LEASE_DURATION), [this](const StoreResponse &response) {
        if (response.status != OK) {
            retry();
            return;
        }
        try {
            m_leaseId = m_codec.decodeLease(response.body);
            writeAddress();
        } catch (const MessageFormatError &error) {
            LogEvent("store_answer_unreadable", LogEvent::Level::Error).field("reason", error.what());
            retry();
        }
    });
}

void Registration::writeAddress()
{
    begin("address", m_codec.writeGatewayRequest(m_name, toString(m_ownAddress), m_leaseId),
        [this](const StoreResponse &response) {
            if (response.status != OK) {
                retry();
                return;
            }
            LogEvent("registered").field("name", m_name).field("lease", static_cast<long long>(m_leaseId));
            listPeers();
        });
}

void Registration::listPeers()
{
    // Later lists only restore lost contact, so a copy of the store's serves as well, at a part of the cost.
    const bool mayBeStale = m_hasListed;
    begin("gateways", m_codec.listGatewaysRequest(mayBeStale), [this](const StoreResponse &response) {
        try {
            if (response.status == OK) {
                m_listedAt = m_loop.now();
                m_hasListed = true;
                for (const auto &item : m_codec.decodePage(response.body).items) {
                    notePeer(item);
                }
            }
        } catch (const MessageFormatError &error) {
            LogEvent("gateway_list_unreadable", LogEvent::Level::Error).field("reason", error.what());
        }
        schedule(response.status == OK ? RENEWAL_INTERVAL : RETRY_DELAY, &Registration::renew);
    });
}

void Registration::notePeer(const StoreItem &item)
{
    try {
        const Address address = addressFromString(item.value);
        if (!(address == m_ownAddress)) {
            m_peerFound(item.key.substr(item.key.rfind('/') + 1), address);
        }
    } catch (const UserError &) {
        LogEvent("gateway_entry_unreadable", LogEvent::Level::Warning)
            .field("key", item.key)
            .field("bytes", static_cast<long long>(item.value.size()));
    }
}

void Registration::renew()
{
    begin("renewal", m_codec.renewLeaseRequest(m_leaseId), [this](const StoreResponse &response) {
        if (response.status == NOT_FOUND) {
            LogEvent("registration_lapsed", LogEvent::Level::Warning).field("name", m_name);
            createLease();
            return;
        }
        if (m_loop.now() - m_listedAt >= LIST_INTERVAL) {
            listPeers();
            return;
        }
        schedule(response.status == OK ? RENEWAL_INTERVAL : RETRY_DELAY, &Registration::renew);
    });
}

}
