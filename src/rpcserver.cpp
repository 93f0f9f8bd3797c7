/** \file
 * JSON-RPC dispatch based on libjsonrpccpp.
 */
#include "rpcserver.h"

#include "errors.h"

#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace Cyclamenturn
{

/** Binds the library's request handler to the registered methods. */
class RpcServer::Dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
    Dispatcher()
        : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void add(const std::string &name, Method method)
    {
        const jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr);
        m_handler->AddProcedure(procedure);
        m_methods[name] = std::move(method);
    }

    std::string handle(const std::string &message)
    {
        std::string response;
        m_handler->HandleRequest(message, response);
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        try {
            output = m_methods.at(procedure.GetProcedureName())(input);
        } catch (const UserError &error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, error.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override
    {
    }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
    std::map<std::string, Method> m_methods;
};

RpcServer::RpcServer()
    : m_dispatcher(std::make_unique<Dispatcher>())
{
}

RpcServer::~RpcServer() = default;

void RpcServer::addMethod(const std::string &name, Method method)
{
    m_dispatcher->add(name, std::move(method));
}

std::string RpcServer::handle(const std::string &message)
{
    return m_dispatcher->handle(message);
}

}
