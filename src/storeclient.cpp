/** \file
 * Client of the key-value store.
 */
#include "storeclient.h"

#include "errors.h"
#include "httpexchange.h"
#include "jsoncodec.h"

#include <Poco/URI.h>

namespace Cyclamenturn
{

namespace
{

constexpr int HTTP_OK = 200;
constexpr int HTTP_NOT_MODIFIED = 304;
constexpr int HTTP_NOT_FOUND = 404;
constexpr int HTTP_CONFLICT = 409;
constexpr int HTTP_TOO_MANY_REQUESTS = 429;
constexpr Duration CONNECT_TIMEOUT = milliseconds(300);
/** Added to the requested duration of a watch to get the receive timeout of its response. */
constexpr Duration WATCH_MARGIN = milliseconds(2000);

std::string escapedPath(const std::string &key)
{
    std::string out;
    Poco::URI::encode(key, "?#", out);
    return "/kv/" + out;
}

StoredValue decodeValue(const Json::Value &json)
{
    const JsonObject in(json);
    return StoredValue{in.text("key"), static_cast<std::uint64_t>(in.integer("version")), in.text("value")};
}

HttpResponse exchangeOrThrow(const Address &address, const HttpRequest &request, Duration receiveTimeout)
{
    try {
        return httpExchange(address, request, HttpTimeouts{CONNECT_TIMEOUT, receiveTimeout});
    } catch (const std::runtime_error &error) {
        throw StoreUnavailableError(error.what());
    }
}

[[noreturn]] void throwUnexpectedStatus(const HttpResponse &response)
{
    throw StoreUnavailableError("the store answered with HTTP status " + std::to_string(response.status));
}

template<typename Decode>
auto decodeOrThrow(Decode decode)
{
    try {
        return decode();
    } catch (const UserError &error) {
        throw StoreUnavailableError(std::string("the store's response can't be read: ") + error.what());
    }
}

}

StoreClient::StoreClient(Address address, Duration timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{
}

std::optional<StoredValue> StoreClient::read(const std::string &key)
{
    ++m_calls;
    HttpRequest request;
    request.path = escapedPath(key);
    const HttpResponse response = exchangeOrThrow(m_address, request, m_timeout);
    if (response.status == HTTP_NOT_FOUND) {
        return std::nullopt;
    }
    if (response.status != HTTP_OK) {
        throwUnexpectedStatus(response);
    }
    return decodeOrThrow([&] { return decodeValue(parseJson(response.body)); });
}

std::vector<StoredValue> StoreClient::readPrefix(const std::string &prefix)
{
    ++m_calls;
    HttpRequest request;
    std::string escaped;
    Poco::URI::encode(prefix, "?#&=/", escaped);
    request.path = "/kv?prefix=" + escaped;
    const HttpResponse response = exchangeOrThrow(m_address, request, m_timeout);
    if (response.status != HTTP_OK) {
        throwUnexpectedStatus(response);
    }
    return decodeOrThrow([&] {
        std::vector<StoredValue> out;
        for (const auto &item : JsonObject(parseJson(response.body)).array("items")) {
            out.push_back(decodeValue(item));
        }
        return out;
    });
}

std::optional<StoredValue> StoreClient::watch(const std::string &key, std::uint64_t knownVersion, Duration maxWait)
{
    ++m_calls;
    HttpRequest request;
    request.path = escapedPath(key) + "?seen=" + std::to_string(knownVersion)
        + "&wait_ms=" + std::to_string(toMilliseconds(maxWait));
    const HttpResponse response = exchangeOrThrow(m_address, request, maxWait + WATCH_MARGIN);
    if (response.status == HTTP_NOT_MODIFIED || response.status == HTTP_NOT_FOUND) {
        return std::nullopt;
    }
    if (response.status != HTTP_OK) {
        throwUnexpectedStatus(response);
    }
    return decodeOrThrow([&] { return decodeValue(parseJson(response.body)); });
}

SwapResult StoreClient::compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value)
{
    return put(escapedPath(key) + "?expect=" + std::to_string(expectedVersion), value);
}

SwapResult StoreClient::compareAndSwapWithLease(
    const std::string &key, std::uint64_t expectedVersion, const std::string &value, Duration lifetime)
{
    const std::string lease = "&ttl_ms=" + std::to_string(toMilliseconds(lifetime));
    return put(escapedPath(key) + "?expect=" + std::to_string(expectedVersion) + lease, value);
}

SwapResult StoreClient::put(const std::string &path, const std::string &value)
{
    ++m_calls;
    HttpRequest request;
    request.method = "PUT";
    request.path = path;
    request.body = value;
    try {
        const HttpResponse response = httpExchange(m_address, request, HttpTimeouts{CONNECT_TIMEOUT, m_timeout});
        if (response.status == HTTP_OK) {
            const auto version = JsonObject(parseJson(response.body)).integer("version");
            return SwapResult{SwapState::Written, static_cast<std::uint64_t>(version)};
        }
        return SwapResult{response.status == HTTP_CONFLICT ? SwapState::Conflict : SwapState::Unknown, 0};
    } catch (const std::runtime_error &) {
        return SwapResult{SwapState::Unknown, 0};
    }
}

void StoreClient::remove(const std::string &key)
{
    ++m_calls;
    HttpRequest request;
    request.method = "DELETE";
    request.path = escapedPath(key);
    const HttpResponse response = exchangeOrThrow(m_address, request, m_timeout);
    if (response.status == HTTP_TOO_MANY_REQUESTS) {
        throwUnexpectedStatus(response);
    }
}

}
