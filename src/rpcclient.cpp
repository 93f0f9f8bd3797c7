/** \file
 * JSON-RPC client. Compiled as C++14, as libjsonrpccpp's client headers don't compile as C++17.
 */
#include "rpcclient.h"

#include "httpexchange.h"

#include <jsonrpccpp/client.h>
#include <stdexcept>

namespace Cyclamenturn
{

namespace
{

constexpr int HTTP_OK = 200;

/** Sends a JSON-RPC message as an HTTP request and returns the body of the response. */
class HttpConnector : public jsonrpc::IClientConnector
{
public:
    explicit HttpConnector(const RpcTarget &target)
        : m_target(target)
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/rpc";
        request.headers["Authorization"] = "Bearer " + m_target.fleetKey;
        request.body = message;
        const Duration timeout = milliseconds(m_target.timeoutMs);
        try {
            const HttpResponse response
                = httpExchange({m_target.host, m_target.port}, request, HttpTimeouts{timeout, timeout});
            if (response.status != HTTP_OK) {
                throw std::runtime_error("HTTP status " + std::to_string(response.status));
            }
            result = response.body;
        } catch (const std::runtime_error &error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, error.what());
        }
    }

private:
    RpcTarget m_target;
};

}

Json::Value callRpc(const RpcTarget &target, const std::string &method, const Json::Value &parameters)
{
    try {
        HttpConnector connector(target);
        jsonrpc::Client client(connector);
        return client.CallMethod(method, parameters);
    } catch (const std::exception &error) {
        throw RpcError(target.host + ":" + std::to_string(target.port) + " " + method + ": " + error.what());
    }
}

}
