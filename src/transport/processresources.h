/** \file
 * Memory and descriptors of the process, as the operating system sees them.
 */
#pragma once

#include <cstddef>

namespace Cyclamenturn
{

/** Makes the allocator return large buffers to the operating system as soon as they are freed. By default it begins to
 * keep them after the first one, so that a burst of large bodies would stay resident. */
void returnLargeBuffersWhenFreed();

/** Returns free memory between small blocks to the operating system. Takes some milliseconds. */
void returnFreeMemory();

/** The most connections of clients that a process accepts, of the descriptors that it may have by its settings and by
 * its operating system. */
std::size_t clientConnectionLimit(std::size_t configuredDescriptors);

}
