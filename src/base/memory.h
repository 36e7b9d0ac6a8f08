/* Memory of the process, for programs that keep bodies of callers' requests.
 */
#ifndef BASE_MEMORY_H
#define BASE_MEMORY_H

/* Values of the setting memory_mb: the memory of the host. */
#define MEM_DEFAULT_MB 256
#define MEM_MAX_MB 1000000

void mem_return_large_blocks (void);

#endif
