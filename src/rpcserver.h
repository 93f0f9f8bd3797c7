/** \file
 * Dispatch of the JSON-RPC methods that the processes of one fleet offer each other.
 */
#pragma once

#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <string>

namespace Cyclamenturn
{

/**
 * Dispatches JSON-RPC messages to registered methods.
 *
 * Example:
 *     RpcServer server;
 *     server.addMethod("process_status", [](const Json::Value &) { return Json::Value("ready"); });
 *     server.handle(message); // the JSON-RPC response
 *
 * If a method throws UserError, the caller receives a JSON-RPC error with its message.
 */
class RpcServer
{
public:
    using Method = std::function<Json::Value(const Json::Value &parameters)>;

    RpcServer();
    ~RpcServer();

    void addMethod(const std::string &name, Method method);
    std::string handle(const std::string &message);

private:
    class Dispatcher;

    std::unique_ptr<Dispatcher> m_dispatcher;
};

}
