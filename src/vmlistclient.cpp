/** \file
 * Client of the VM list.
 */
#include "vmlistclient.h"

#include "errors.h"
#include "httpexchange.h"
#include "jsoncodec.h"

namespace Cyclamenturn
{

VmState readVmState(const Address &vmList, const std::string &vm)
{
    HttpRequest request;
    request.path = "/vms/" + vm;
    try {
        const HttpResponse response = httpExchange(vmList, request, HttpTimeouts());
        const std::string state = JsonObject(parseJson(response.body)).text("state", "");
        if (state == "leaving") {
            return VmState::Leaving;
        }
        return state == "live" ? VmState::Live : VmState::NotListed;
    } catch (const std::runtime_error &) {
        return VmState::NotListed;
    }
}

}
