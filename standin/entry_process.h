/* Runs the entry daemon as a child process, for tests that kill, restart and
   measure it.  The daemon's executable is expected in the parent folder of the
   calling program's folder. */
#ifndef STANDIN_ENTRY_PROCESS_H
#define STANDIN_ENTRY_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* The daemon's name, and settings of the same names in its settings file. */
struct sep_params
{
  const char *name;   /* of the daemon and of its files in FOLDER */
  const char *folder; /* holds the daemon's settings file and log file */
  const char *store_address;
  uint32_t store_partitions; /* 0: 6 */
  uint32_t descriptors;      /* 0: 1024 */
  uint32_t memory_mb;        /* 0: the daemon's default */
  uint32_t drain_ms;
  uint32_t config_ms;
  uint32_t revoke_ms;
  uint32_t quarantine_ms; /* 0: 1000 */
  uint32_t stop_s;
  uint32_t retry_window_s;
  double retry_ratio;
  uint32_t retry_slack;
};

struct sep_process;

struct sep_process *sep_create (const struct sep_params *params);
void sep_destroy (struct sep_process *process);
void sep_remove_files (const struct sep_process *process);
void sep_start (struct sep_process *process);
bool sep_signal (struct sep_process *process, int number);
bool sep_limit_descriptors (const struct sep_process *process, uint32_t count);
bool sep_has_ended (struct sep_process *process, int *status);
bool sep_is_running (const struct sep_process *process);
bool sep_reset_memory_peak (const struct sep_process *process);
uint64_t sep_memory_peak_kb (const struct sep_process *process);
uint32_t sep_descriptor_count (const struct sep_process *process);
uint64_t sep_memory_kb (const struct sep_process *process);
const char *sep_caller_address (const struct sep_process *process);
const char *sep_ready_address (const struct sep_process *process);
const char *sep_log_path (const struct sep_process *process);

#endif
