/** \file
 * Decodes a document of the operator's configuration in steps, so that a document of thousands of routes doesn't keep
 * the event loop from its other work.
 */
#pragma once

#include "routingconfiguration.h"

namespace Cyclamenturn
{

class ConfigurationDecoder
{
public:
    virtual ~ConfigurationDecoder() = default;
    /** Decodes the next part. The time that it takes doesn't grow with the document. Returns the configuration after
     * the last part, and null before. Throws MessageFormatError or UserError if the document isn't valid. */
    virtual RoutingConfigurationPtr decodeNext() = 0;
};

}
