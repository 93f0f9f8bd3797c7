/** \file
 * Fuzz target for all parsers of untrusted input in this project. The first byte of an input selects the parser. A
 * parser may reject its input with UserError, MessageFormatError or HttpSyntaxError; any other exception and any
 * sanitizer report is a fault.
 */
#include "activeconfiguration.h"
#include "admission.h"
#include "errors.h"
#include "fixtures.h"
#include "gateway/endpointlist.h"
#include "gateway/eventsplitter.h"
#include "gateway/gatewaysettings.h"
#include "gateway/peerdigest.h"
#include "gateway/permitmessages.h"
#include "messageheaders.h"
#include "runjournal.h"
#include "settings.h"
#include "storedocuments.h"
#include "transport/httpparser.h"
#include "wire.h"

#include <cstddef>
#include <cstdint>

using namespace Cyclamenturn;

namespace
{

constexpr int PARSER_COUNT = 17;

void admit(const std::string &text)
{
    static const FleetConfigurationPtr configuration = testConfiguration();
    CallerRequest request;
    request.keyHash = std::string(63, '0') + "1";
    request.className = "dispatch";
    request.service = "desk";
    const std::size_t third = text.size() / 3;
    request.idempotencyKey = text.substr(0, third);
    request.issuedAt = text.substr(third, third);
    request.attempt = text.substr(2 * third);
    admitCall(*configuration, request, at(0));
}

const Platform::JsonStoreCodec STORE_CODEC;

/** Parses the first half as a request and the rest as a response; the platform adapter decodes complete heads. */
void parseMessages(const std::string &text)
{
    const Platform::HeaderCodec codec;
    std::string first = text.substr(0, text.size() / 2);
    std::string second = text.substr(text.size() / 2);
    HttpParser request = HttpParser::forRequest(HttpLimits());
    request.consume(first);
    if (request.isHeadDone()) {
        codec.encodeForwardedFields(request.request(), ForwardTraits(), true);
        codec.decodeRequest(request.request());
    }
    HttpParser response = HttpParser::forResponse(HttpLimits(), false);
    response.consume(second);
    if (response.isHeadDone()) {
        codec.decodeResponse(response.response());
    }
    response.finishAtEof();
    codec.eventId(second);
}

/** Splits the text in two pieces; aborts if bytes are lost or added. */
void splitEvents(const std::string &text)
{
    EventSplitter splitter;
    std::string out;
    for (const auto &piece : {text.substr(0, text.size() / 2), text.substr(text.size() / 2)}) {
        for (const auto &event : splitter.add(piece)) {
            out += event;
        }
    }
    if (out + splitter.rest() != text) {
        std::abort();
    }
}

void parse(int parser, const std::string &text)
{
    switch (parser) {
    case 0:
        parseSettings(text, "settings");
        break;
    case 1:
        FleetConfiguration::parse(text, "document", 1);
        break;
    case 2:
        ConfigurationDocument::decode(text);
        break;
    case 3:
        CallHeader::decode(text);
        break;
    case 4:
        decodeFrame(text);
        break;
    case 5:
        JournalHead::decode(text);
        break;
    case 6:
        decodeSegment(text);
        break;
    case 7:
        parseGatewaySettings(text, "gateway");
        break;
    case 8:
        decodeDigest(text, at(0));
        break;
    case 9:
        STORE_CODEC.decodeConfiguration(text);
        break;
    case 10:
        STORE_CODEC.decodeEndpoint({"servers/e", text, 1});
        break;
    case 11:
        STORE_CODEC.decodePage(text);
        break;
    case 12:
        parseMessages(text);
        break;
    case 13:
        decodeListUpdate(text);
        break;
    case 14:
        decodePermitQuestion(text, at(0));
        decodePermitAnswer(text, at(0));
        decodeLimitNotice(text, at(0));
        break;
    case 15:
        splitEvents(text);
        break;
    default:
        admit(text);
        break;
    }
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    try {
        parse(data[0] % PARSER_COUNT, std::string(reinterpret_cast<const char *>(data) + 1, size - 1));
    } catch (const UserError &) {
        return 0;
    } catch (const MessageFormatError &) {
        return 0;
    } catch (const HttpSyntaxError &) {
        return 0;
    }
    return 0;
}
