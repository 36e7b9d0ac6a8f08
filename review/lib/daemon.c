/* Entry daemons as separate processes, with the command of the deploy file. */
#include "lab.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define DAEMONS_MAX 16
#define READY_LIMIT_S 20

static struct lab_daemon *daemons[DAEMONS_MAX];
static size_t daemon_count;

/* Writes the settings that platform/settings.yaml.in gives for a machine of
   the site ptt-fleet, with loopback addresses.  */
static void
write_settings (struct lab_daemon *daemon, const char *path,
                const char *store_address)
{
  char metrics[LAB_ADDRESS_BYTES];
  char control[LAB_ADDRESS_BYTES];
  lab_free_port (metrics);
  lab_free_port (control);
  lab_free_port (daemon->front);
  lab_free_port (daemon->ready);
  FILE *file = fopen (path, "w");
  if (file == NULL)
    {
      lab_fail ("can't write %s", path);
    }
  fprintf (file,
           "name: %s\ndata_centre: %s\ncaller_address: \"%s\"\n"
           "ready_address: \"%s\"\nmetrics_address: \"%s\"\n"
           "store_address: \"%s\"\nrelay_address: \"%s\"\nrelays: [ \"%s\" ]\n"
           "store_partitions: 16\ndescriptors: 4100\ndrain_ms: 2000\n"
           "config_ms: 2000\nrevoke_ms: 5000\nquarantine_ms: 3000\n"
           "stop_s: 8\nretry_window_s: 10\nretry_ratio: 0.2\n"
           "retry_slack: 202\nmembership_min_ms: 1000\nlog_level: info\n",
           daemon->name, daemon->zone, daemon->front, daemon->ready, metrics,
           store_address, control, control);
  fclose (file);
}

/* Starts DAEMON; call this in the root of the repository.  */
void
lab_daemon_start (struct lab_daemon *daemon, const char *store_address)
{
  char settings[128];
  char log[128];
  snprintf (settings, sizeof settings, "%s/%s.yaml", lab_folder (),
            daemon->name);
  snprintf (log, sizeof log, "%s/%s.log", lab_folder (), daemon->name);
  if (daemon->front[0] == '\0')
    {
      write_settings (daemon, settings, store_address);
      daemons[daemon_count++] = daemon;
    }
  pid_t parent = getpid ();
  daemon->pid = fork ();
  if (daemon->pid < 0)
    {
      lab_fail ("no process can be started");
    }
  if (daemon->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (prctl (PR_SET_PDEATHSIG, SIGKILL) != 0 || getppid () != parent
          || fd < 0 || dup2 (fd, STDOUT_FILENO) < 0)
        {
          _exit (127);
        }
      setenv ("KUMQUATTHREAD_CONFIG", settings, 1);
      execl ("target/kumquatthread", "target/kumquatthread", "entry",
             (char *)NULL);
      _exit (127);
    }
  lab_record ("%s starts, callers' address %s", daemon->name, daemon->front);
}

/* Waits until DAEMON says that it is ready.  */
void
lab_daemon_await_ready (const struct lab_daemon *daemon)
{
  double end_s = lab_now_s () + READY_LIMIT_S;
  int status = 0;
  while (status != 200 && lab_now_s () < end_s)
    {
      struct lab_answer answer;
      lab_ask (daemon->ready, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1,
               &answer);
      status = answer.status;
      lab_answer_clear (&answer);
      lab_sleep_s (status == 200 ? 0 : 0.1);
    }
  if (status != 200)
    {
      lab_fail ("%s isn't ready after %d s", daemon->name, READY_LIMIT_S);
    }
  lab_record ("%s is ready", daemon->name);
}

void
lab_daemon_signal (const struct lab_daemon *daemon, int number)
{
  if (daemon->pid > 0)
    {
      kill (daemon->pid, number);
      lab_record ("%s gets signal %d", daemon->name, number);
    }
}

/* Waits until DAEMON has ended.  Returns false after LIMIT_S.  */
bool
lab_daemon_await_end (struct lab_daemon *daemon, double limit_s)
{
  double end_s = lab_now_s () + limit_s;
  int status = 0;
  while (daemon->pid > 0 && lab_now_s () < end_s)
    {
      if (waitpid (daemon->pid, &status, WNOHANG) == daemon->pid)
        {
          daemon->pid = 0;
          lab_record ("%s has ended: %s %d", daemon->name,
                      WIFEXITED (status) ? "exit code" : "signal",
                      WIFEXITED (status) ? WEXITSTATUS (status)
                                         : WTERMSIG (status));
        }
      lab_sleep_s (0.01);
    }
  return daemon->pid == 0;
}

/* Ends all daemons at the end of the script.  */
void
lab_daemons_end (void)
{
  for (size_t i = 0; i < daemon_count; i++)
    {
      if (daemons[i]->pid > 0)
        {
          kill (daemons[i]->pid, SIGKILL);
          waitpid (daemons[i]->pid, NULL, 0);
          daemons[i]->pid = 0;
        }
    }
}
