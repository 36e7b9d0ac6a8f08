#include "base/memory.h"

#include <malloc.h>

/* Blocks from this size on are returned to the kernel when they are freed. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

/* Makes the allocator return large blocks to the kernel when they are freed.
   By default glibc raises its limit to the largest freed block, after which
   the memory of large bodies stays with the process.  */
void
mem_return_large_blocks (void)
{
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
}
