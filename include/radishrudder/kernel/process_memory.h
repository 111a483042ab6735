#ifndef RADISHRUDDER_KERNEL_PROCESS_MEMORY_H_
#define RADISHRUDDER_KERNEL_PROCESS_MEMORY_H_

namespace radishrudder::kernel {

// From now on, the allocator of this process returns large blocks to the system
// as soon as they are freed, however many have been freed before. Otherwise,
// what has been freed keeps counting as memory of the process.
void ReturnLargeBlocks();

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_PROCESS_MEMORY_H_
