/** \file
 * A request to the platform's store or its API.
 */
#pragma once

#include "transport/httpmessage.h"

#include <string>

namespace Cyclamenturn
{

struct StoreRequest
{
    HttpRequestHead head;
    std::string body;
};

}
