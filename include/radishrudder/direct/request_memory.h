#ifndef RADISHRUDDER_DIRECT_REQUEST_MEMORY_H_
#define RADISHRUDDER_DIRECT_REQUEST_MEMORY_H_

#include <cstddef>

#include "radishrudder/direct/call.h"

namespace radishrudder::direct {

// Returns the memory that a request takes while it is in progress, in bytes:
// its own and that of the head which is sent to its endpoint.
std::size_t MemoryInProgress(const CallerRequest& request);

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_REQUEST_MEMORY_H_
