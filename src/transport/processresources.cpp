/** \file
 * Implements the use of the operating system's limits, and of the GNU allocator's settings where it is in use.
 */
#include "processresources.h"

#include <algorithm>
#include <cstdlib>
#include <sys/resource.h>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace Cyclamenturn
{

namespace
{

/** Larger buffers are mapped one by one. Most requests are smaller and pay nothing for it. */
constexpr int LARGE_BUFFER_BYTES = 131072;
/** The clients' part of the descriptors, in quarters. The rest is for connections to endpoints, the store and files. */
constexpr std::size_t CLIENT_QUARTERS = 3;

}

void returnLargeBuffersWhenFreed()
{
#ifdef __GLIBC__
    mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
    mallopt(M_TRIM_THRESHOLD, 2 * LARGE_BUFFER_BYTES);
#endif
}

void returnFreeMemory()
{
#ifdef __GLIBC__
    malloc_trim(0);
#endif
}

std::size_t clientConnectionLimit(std::size_t configuredDescriptors)
{
    rlimit limit{};
    std::size_t descriptors = configuredDescriptors;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
        descriptors = std::min(descriptors, static_cast<std::size_t>(limit.rlim_cur));
    }
    return descriptors / 4 * CLIENT_QUARTERS;
}

}
