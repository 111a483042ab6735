#include "radishrudder/kernel/process_memory.h"

#include <malloc.h>

namespace radishrudder::kernel {
namespace {

constexpr int kLargeBlockBytes = 128 << 10;

}  // namespace

void ReturnLargeBlocks() {
  // Without a value of its own, the C library raises the threshold with each
  // large block that is freed.
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace radishrudder::kernel
