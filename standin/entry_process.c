#include "standin/entry_process.h"

#include "standin/fleet.h"
#include "standin/process_status.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

/* Number of partitions of the group's topic, unless the caller chooses it. */
#define STORE_PARTITIONS 6

/* File descriptors that the daemon may open, unless the caller chooses it. */
#define DESCRIPTORS 1024

/* The bound of quarantines, unless the caller chooses it. */
#define QUARANTINE_MS 1000

struct sep_process
{
  char *settings_path;
  char *log_path;
  char *executable;
  char *caller_address;
  char *ready_address;
  pid_t pid; /* 0: not running */
};

/* Returns the path of the daemon's executable, allocated.  It is in the parent
   folder of the folder that holds the running program.  */
static char *
find_daemon_executable (void)
{
  char self[512] = "";
  if (readlink ("/proc/self/exe", self, sizeof self - 1) <= 0)
    {
      g_error ("can't tell the path of this program");
    }
  g_autofree char *folder = g_path_get_dirname (self);
  g_autofree char *build = g_path_get_dirname (folder);
  return g_build_filename (build, "kumquatthread", NULL);
}

/* Returns a loopback address with a port that is not in use, allocated.  */
static char *
unused_address (void)
{
  return g_strdup_printf ("127.0.0.1:%u", sfl_free_port ());
}

/* Writes the settings file of PROCESS from PARAMS.  Aborts when the file can't
   be written.  */
static void
write_settings (struct sep_process *process, const struct sep_params *params)
{
  g_autofree char *metrics_address = unused_address ();
  g_autofree char *relay_address = unused_address ();
  g_autofree char *text = g_strdup_printf (
      "name: %s\ndata_centre: kgn\ncaller_address: \"%s\"\n"
      "ready_address: \"%s\"\nmetrics_address: \"%s\"\n"
      "relay_address: \"%s\"\nstore_address: \"%s\"\n"
      "store_partitions: %u\ndescriptors: %u\n"
      "drain_ms: %u\nconfig_ms: %u\nrevoke_ms: %u\nstop_s: %u\n"
      "quarantine_ms: %u\n"
      "retry_window_s: %u\nretry_ratio: %g\nretry_slack: %u\n",
      params->name, process->caller_address, process->ready_address,
      metrics_address, relay_address, params->store_address,
      params->store_partitions == 0 ? STORE_PARTITIONS
                                    : params->store_partitions,
      params->descriptors == 0 ? DESCRIPTORS : params->descriptors,
      params->drain_ms, params->config_ms, params->revoke_ms, params->stop_s,
      params->quarantine_ms == 0 ? QUARANTINE_MS : params->quarantine_ms,
      params->retry_window_s, params->retry_ratio, params->retry_slack);
  g_autofree char *memory
      = params->memory_mb == 0
            ? g_strdup ("")
            : g_strdup_printf ("memory_mb: %u\n", params->memory_mb);
  g_autofree char *all = g_strconcat (text, memory, NULL);
  g_autoptr (GError) error = NULL;
  if (!g_file_set_contents (process->settings_path, all, -1, &error))
    {
      g_error ("%s", error->message);
    }
}

/* Creates a daemon process with PARAMS and writes its settings file.  The
   daemon isn't started until sep_start.  */
struct sep_process *
sep_create (const struct sep_params *params)
{
  struct sep_process *process = g_new0 (struct sep_process, 1);
  g_autofree char *settings = g_strdup_printf ("%s.yaml", params->name);
  g_autofree char *log = g_strdup_printf ("%s.log", params->name);
  process->settings_path = g_build_filename (params->folder, settings, NULL);
  process->log_path = g_build_filename (params->folder, log, NULL);
  process->executable = find_daemon_executable ();
  process->caller_address = unused_address ();
  process->ready_address = unused_address ();
  write_settings (process, params);
  return process;
}

/* Kills PROCESS if it is running and frees it.  The settings file and the log
   file stay.  */
void
sep_destroy (struct sep_process *process)
{
  if (process->pid > 0)
    {
      kill (process->pid, SIGKILL);
      waitpid (process->pid, NULL, 0);
    }
  g_free (process->settings_path);
  g_free (process->log_path);
  g_free (process->executable);
  g_free (process->caller_address);
  g_free (process->ready_address);
  g_free (process);
}

/* Deletes the settings file and the log file of PROCESS, unless the variable
   KEEP_DAEMON_LOGS is set: a test that fails can't be explained without.  */
void
sep_remove_files (const struct sep_process *process)
{
  if (g_getenv ("KEEP_DAEMON_LOGS") != NULL)
    {
      return;
    }
  unlink (process->settings_path);
  unlink (process->log_path);
}

/* Starts the daemon.  Its standard output is appended to its log file.  Aborts
   when no process can be created.  */
void
sep_start (struct sep_process *process)
{
  pid_t parent = getpid ();
  process->pid = fork ();
  if (process->pid < 0)
    {
      g_error ("no process can be started");
    }
  if (process->pid == 0)
    {
      /* A daemon that outlives a failed test would join the group of a later
         one whose store has the same port. */
      if (prctl (PR_SET_PDEATHSIG, SIGKILL) != 0 || getppid () != parent)
        {
          _exit (127);
        }
      if (freopen (process->log_path, "a", stdout) != NULL)
        {
          execl (process->executable, process->executable, "entry",
                 process->settings_path, (char *)NULL);
        }
      _exit (127);
    }
}

/* Sends the signal NUMBER to the daemon.  Returns false when the daemon isn't
   running or the signal can't be sent.  */
bool
sep_signal (struct sep_process *process, int number)
{
  return process->pid > 0 && kill (process->pid, number) == 0;
}

/* Limits the descriptors of the running daemon to those below COUNT; it keeps
   the others that it has.  Returns false when the limit can't be set.  */
bool
sep_limit_descriptors (const struct sep_process *process, uint32_t count)
{
  struct rlimit limit;
  if (process->pid <= 0
      || prlimit (process->pid, RLIMIT_NOFILE, NULL, &limit) != 0)
    {
      return false;
    }
  limit.rlim_cur = count;
  return prlimit (process->pid, RLIMIT_NOFILE, &limit, NULL) == 0;
}

/* Reaps the daemon without blocking.  Returns true once after the daemon has
   exited, and sets STATUS as waitpid does; false at any other time.  */
bool
sep_has_ended (struct sep_process *process, int *status)
{
  if (process->pid <= 0 || waitpid (process->pid, status, WNOHANG) <= 0)
    {
      return false;
    }
  process->pid = 0;
  return true;
}

/* Returns true from sep_start until sep_has_ended has reported the exit.  */
bool
sep_is_running (const struct sep_process *process)
{
  return process->pid > 0;
}

/* Returns the daemon's resident memory in KiB, or 0 when the daemon isn't
   running.  */
uint64_t
sep_memory_kb (const struct sep_process *process)
{
  g_autofree char *path
      = g_strdup_printf ("/proc/%d/statm", (int)process->pid);
  g_autofree char *text = NULL;
  unsigned long total = 0;
  unsigned long resident = 0;
  if (process->pid <= 0 || !g_file_get_contents (path, &text, NULL, NULL)
      || sscanf (text, "%lu %lu", &total, &resident) != 2)
    {
      return 0;
    }
  return (uint64_t)resident * (uint64_t)sysconf (_SC_PAGESIZE) / 1024;
}

/* Makes sep_memory_peak_kb start again from the present memory.  Returns false
   when it can't.  */
bool
sep_reset_memory_peak (const struct sep_process *process)
{
  g_autofree char *path
      = g_strdup_printf ("/proc/%d/clear_refs", (int)process->pid);
  FILE *file = fopen (path, "w");
  if (file == NULL)
    {
      return false;
    }
  bool written = fputs ("5", file) >= 0;
  return fclose (file) == 0 && written;
}

/* Returns the most resident memory that the daemon has had, in KiB, or 0 when
   the daemon isn't running.  */
uint64_t
sep_memory_peak_kb (const struct sep_process *process)
{
  return pst_memory_peak_kb (process->pid);
}

/* Returns the number of descriptors that the daemon has open, or 0 when it
   isn't running.  */
uint32_t
sep_descriptor_count (const struct sep_process *process)
{
  return pst_descriptor_count (process->pid);
}

/* Returns the address on which the daemon serves callers.  */
const char *
sep_caller_address (const struct sep_process *process)
{
  return process->caller_address;
}

/* Returns the address on which the daemon reports whether it is ready.  */
const char *
sep_ready_address (const struct sep_process *process)
{
  return process->ready_address;
}

/* Returns the path of the log file, to which all starts of the daemon append.
 */
const char *
sep_log_path (const struct sep_process *process)
{
  return process->log_path;
}
