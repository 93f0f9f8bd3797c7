/** \file
 * The setting that says where estimates of engines are used.
 */
#pragma once

namespace Cyclamenturn
{

/** For which services estimates replace the configured cost model. */
enum class EngineEstimatesUse {
    /** Services of which an endpoint has stated its VM's pace in a response. */
    Stated,
    Always,
    Never,
};

}
