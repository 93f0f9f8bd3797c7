/** \file
 * Exchanges digests and updates of the endpoint list with the other gateways as datagrams. The first addresses come
 * from the platform's store; later ones are learned from the digests received.
 */
#pragma once

#include "digestrounds.h"
#include "endpointlist.h"
#include "partevidence.h"
#include "peerview.h"
#include "permitmessages.h"
#include "streammessages.h"
#include "usagemessages.h"

#include "transport/eventloop.h"

#include <Poco/Net/DatagramSocket.h>

#include <functional>

namespace Cyclamenturn
{

/** Receives the messages of the other gateways. */
class PeerLinkListener
{
public:
    virtual ~PeerLinkListener() = default;
    virtual void digestReceived(const PeerDigest &digest) = 0;
    virtual void endpointListUpdateReceived(const EndpointListUpdate &update) = 0;
    virtual void permitQuestionReceived(const PermitQuestion &question, const Address &from) = 0;
    virtual void permitAnswerReceived(const PermitAnswer &answer) = 0;
    virtual void endpointLimitReceived(const EndpointLimit &limit) = 0;
    virtual void partEvidenceReceived(const PartEvidence &evidence) = 0;
    virtual void streamNoteReceived(const StreamOrigin &origin) = 0;
    virtual void streamQuestionReceived(const StreamQuestion &question, const Address &from) = 0;
    virtual void streamAnswerReceived(const StreamAnswer &answer) = 0;
    virtual void streamOriginsAsked(const StreamOriginsQuestion &question, const Address &from) = 0;
    virtual void stopNoticeReceived(const StopNotice &notice) = 0;
    virtual void streamOriginsReceived(const std::vector<AgedOrigin> &origins) = 0;
    virtual void unlistedIncarnationReceived(const UnlistedIncarnation &notice) = 0;
    virtual void usageQueryReceived(const UsageQuery &query, const Address &from) = 0;
    virtual void usageCountsReceived(const UsageStatement &statement) = 0;
};

class PeerLink : private SocketHandler
{
public:
    /** `makeDigest` returns the digest of this process's current state. */
    PeerLink(EventLoop &loop, const Address &ownAddress, PeerView &view, std::function<PeerDigest()> makeDigest,
        PeerLinkListener &listener);
    ~PeerLink() override;

    void start();
    /** Sets the function that returns a datagram to be sent along with the digests of a round, or an empty text. */
    void setEvidenceSource(std::function<std::string()> makeEvidence)
    {
        m_makeEvidence = std::move(makeEvidence);
    }
    /** Sends the datagram to all live peers immediately. */
    void broadcast(const std::string &bytes);
    void send(const std::string &bytes, const Address &to);

private:
    void socketReady(int modes) override;
    void handleDatagram(const std::string &bytes, const Address &sender);
    /** Handles a message about a stream. Returns whether it was one. */
    bool handleStreamMessage(const std::string &bytes, const Address &sender);
    /** Handles a message about counts of requests. Returns whether it was one. */
    bool handleUsageMessage(const std::string &bytes, const Address &sender);
    void sendRound();
    /** Counts a change of the live peers. Returns whether it is to be logged. */
    bool isNextChangeLogged();
    void logFound();

    EventLoop &m_loop;
    Poco::Net::DatagramSocket m_socket;
    Address m_ownAddress;
    PeerView &m_view;
    std::function<PeerDigest()> m_makeDigest;
    std::function<std::string()> m_makeEvidence;
    PeerLinkListener &m_listener;
    /** Changes of the live peers since the last round. */
    int m_changes = 0;
    DigestRounds m_rounds{std::random_device{}()};
    EventLoop::Timer m_timer;
};

}
