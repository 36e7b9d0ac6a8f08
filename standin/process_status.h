/* Reads what the kernel shows of a process. */
#ifndef STANDIN_PROCESS_STATUS_H
#define STANDIN_PROCESS_STATUS_H

#include <stdint.h>
#include <sys/types.h>

uint64_t pst_memory_peak_kb (pid_t pid);
uint32_t pst_descriptor_count (pid_t pid);
uint64_t pst_unread_kb (uint16_t port);

#endif
