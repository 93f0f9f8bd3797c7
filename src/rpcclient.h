/** \file
 * JSON-RPC calls to another process of the fleet. This header doesn't include headers of libjsonrpccpp, whose client
 * headers don't compile as C++17.
 */
#pragma once

#include <cstdint>
#include <json/json.h>
#include <stdexcept>
#include <string>

namespace Cyclamenturn
{

/** The other process didn't respond, or returned an error. */
class RpcError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** The address, fleet key and timeout of a call. */
struct RpcTarget
{
    std::string host;
    int port = 0;
    std::string fleetKey;
    std::int64_t timeoutMs = 500;
};

/**
 * Calls a method and returns its result. Throws RpcError.
 * Example: `callRpc(target, "process_status", Json::Value(Json::objectValue))`.
 */
Json::Value callRpc(const RpcTarget &target, const std::string &method, const Json::Value &parameters);

}
