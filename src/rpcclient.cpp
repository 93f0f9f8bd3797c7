/** \file
 * JSON-RPC client based on Poco::Net. Compiled as C++14, as libjsonrpccpp's client headers don't compile as C++17.
 */
#include "rpcclient.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <jsonrpccpp/client.h>

namespace Cyclamenturn
{

namespace
{

constexpr int MICROSECONDS_PER_MILLISECOND = 1000;

/** Sends a JSON-RPC message as an HTTP request and returns the body of the response. */
class PocoConnector : public jsonrpc::IClientConnector
{
public:
    explicit PocoConnector(const RpcTarget &target)
        : m_target(target)
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        try {
            exchange(message, result);
        } catch (const Poco::Exception &error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, error.displayText());
        }
    }

private:
    void exchange(const std::string &message, std::string &result)
    {
        Poco::Net::HTTPClientSession session(m_target.host, static_cast<Poco::UInt16>(m_target.port));
        const Poco::Timespan timeout(m_target.timeoutMs * MICROSECONDS_PER_MILLISECOND);
        session.setTimeout(timeout, timeout, timeout);
        Poco::Net::HTTPRequest request("POST", "/rpc", Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(message.size()));
        request.set("Authorization", "Bearer " + m_target.fleetKey);
        session.sendRequest(request) << message << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &body = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(body, result);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            throw Poco::Exception("HTTP status " + std::to_string(response.getStatus()));
        }
    }

    RpcTarget m_target;
};

}

Json::Value callRpc(const RpcTarget &target, const std::string &method, const Json::Value &parameters)
{
    try {
        PocoConnector connector(target);
        jsonrpc::Client client(connector);
        return client.CallMethod(method, parameters);
    } catch (const std::exception &error) {
        throw RpcError(target.host + ":" + std::to_string(target.port) + " " + method + ": " + error.what());
    }
}

}
