/* The entry daemon as a process, started as the deploy file says. */
#include "lab2.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_TIMEOUT_MS 15000

#define DAEMONS_MAX 4

static struct lab_daemon *daemons[DAEMONS_MAX];
static int daemon_count;

/* Publishes a configuration with one service and three routes, one of them
   public, under the limits of a small deployment.  KEYS are the API keys, a
   list as in JSON.  */
void
lab_publish_config (int64_t version, int64_t timeout_ms, const char *keys)
{
  struct lab_text text = { 0 };
  lab_print (&text,
             "{\"Version\":%ld,\"Routes\":["
             "{\"Name\":\"issue\",\"Hostname\":\"" LAB_HOST
             "\",\"PathPrefix\":"
             "\"/issue/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":%ld,"
             "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"registry\","
             "\"MaxAttempts\":2,\"Public\":false},"
             "{\"Name\":\"read\",\"Hostname\":\"" LAB_HOST "\",\"PathPrefix\":"
             "\"/read/\",\"Kind\":\"idempotent\",\"TimeoutMs\":%ld,"
             "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"registry\","
             "\"MaxAttempts\":2,\"Public\":false},"
             "{\"Name\":\"open\",\"Hostname\":\"" LAB_HOST "\",\"PathPrefix\":"
             "\"/open/\",\"Kind\":\"idempotent\",\"TimeoutMs\":%ld,"
             "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"registry\","
             "\"MaxAttempts\":2,\"Public\":true}],"
             "\"Services\":[{\"Name\":\"registry\",\"HealthPath\":\"/health\","
             "\"MaxConns\":520,\"Protocol\":\"h1\",\"Tls\":false}],"
             "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
             "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
             "\"Tenants\":[{\"Name\":\"lab\",\"ApiKeys\":[%s],"
             "\"Priority\":1}]}",
             (long)version, (long)timeout_ms, (long)timeout_ms,
             (long)timeout_ms, keys);
  lab_publish ("keyed.op", "config", text.data);
  free (text.data);
}

/* Returns a loopback port on which nothing listens.  */
uint16_t
lab_free_port (void)
{
  int listener;
  uint16_t port = lab_listen (&listener);
  close (listener);
  return port;
}

static void
write_settings (struct lab_daemon *daemon)
{
  const char *folder = getenv ("LAB_FOLDER");
  snprintf (daemon->settings_path, sizeof daemon->settings_path, "%s/%s.yaml",
            folder == NULL ? "." : folder, daemon->name);
  FILE *file = fopen (daemon->settings_path, "w");
  if (file == NULL)
    {
      lab_fail ("the settings can't be written");
    }
  daemon->caller_port = lab_free_port ();
  daemon->ready_port = lab_free_port ();
  fprintf (file,
           "name: %s\ndata_centre: regina\n"
           "caller_address: \"127.0.0.1:%u\"\n"
           "ready_address: \"127.0.0.1:%u\"\n"
           "metrics_address: \"127.0.0.1:%u\"\n"
           "store_address: \"127.0.0.1:%u\"\n"
           "relay_address: \"127.0.0.1:%u\"\nrelays: [ %s ]\n"
           "store_partitions: 16\ndescriptors: 4100\nmemory_mb: 260\n"
           "drain_ms: 2000\nconfig_ms: 2000\nrevoke_ms: 5000\n"
           "quarantine_ms: 3000\nstop_s: 8\nretry_window_s: 10\n"
           "retry_ratio: 0.2\nretry_slack: 202\nmembership_min_ms: 1000\n"
           "log_level: info\n",
           daemon->name, daemon->caller_port, daemon->ready_port,
           lab_free_port (),
           daemon->store_port == 0 ? lab_store_port () : daemon->store_port,
           lab_free_port (), daemon->relays == NULL ? "" : daemon->relays);
  fclose (file);
}

/* Sends the standard output of the daemon NAME to a file in the folder that
   LAB_LOGS names, or nowhere.  */
static void
redirect_output (const char *name)
{
  const char *folder = getenv ("LAB_LOGS");
  char path[256] = "/dev/null";
  if (folder != NULL)
    {
      snprintf (path, sizeof path, "%s/%s.log", folder, name);
    }
  dup2 (open (path, O_WRONLY | O_CREAT | O_TRUNC, 0644), STDOUT_FILENO);
}

/* Starts DAEMON, or starts it again with the same settings.  */
void
lab_start_daemon (struct lab_daemon *daemon)
{
  const char *program = getenv ("LAB_DAEMON");
  pid_t parent = getpid ();
  if (daemon->caller_port == 0)
    {
      if (daemon_count == DAEMONS_MAX)
        {
          lab_fail ("too many daemons");
        }
      daemons[daemon_count++] = daemon;
      write_settings (daemon);
    }
  daemon->pid = fork ();
  if (daemon->pid == 0)
    {
      redirect_output (daemon->name);
      if (prctl (PR_SET_PDEATHSIG, SIGKILL) == 0 && getppid () == parent)
        {
          execl (program == NULL ? "target/kumquatthread" : program,
                 "kumquatthread", "entry", daemon->settings_path,
                 (char *)NULL);
        }
      _exit (127);
    }
  if (daemon->pid < 0)
    {
      lab_fail ("the daemon can't be started");
    }
}

/* Returns the status of DAEMON's readiness, or 0 without an answer within
   TIMEOUT_MS.  */
int
lab_probe_ready (const struct lab_daemon *daemon, int64_t timeout_ms)
{
  static const char request[]
      = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
  struct lab_answer answer = { 0 };
  int descriptor = lab_connect (daemon->ready_port);
  if (descriptor < 0)
    {
      return 0;
    }
  if (lab_write (descriptor, request, sizeof request - 1))
    {
      lab_read_answer (descriptor, lab_now_ms () + timeout_ms, &answer);
    }
  int status = answer.complete ? answer.status : 0;
  lab_clear_answer (&answer);
  close (descriptor);
  return status;
}

/* Waits until DAEMON is ready.  */
void
lab_await_ready (struct lab_daemon *daemon)
{
  int64_t until_ms = lab_now_ms () + READY_TIMEOUT_MS;
  while (lab_probe_ready (daemon, 1000) != 200)
    {
      if (lab_now_ms () > until_ms || !lab_daemon_runs (daemon))
        {
          lab_fail ("the daemon isn't ready");
        }
      lab_sleep_ms (20);
    }
}

/* Returns true once after DAEMON's process has ended, and sets SIGNAL_NUMBER
   to the signal that ended it, or 0.  */
bool
lab_reap (struct lab_daemon *daemon, int *signal_number)
{
  int status = 0;
  if (daemon->pid <= 0
      || waitpid (daemon->pid, &status, WNOHANG) != daemon->pid)
    {
      return false;
    }
  daemon->pid = 0;
  *signal_number = WIFSIGNALED (status) ? WTERMSIG (status) : 0;
  return true;
}

/* Returns whether DAEMON's process hasn't ended.  */
bool
lab_daemon_runs (struct lab_daemon *daemon)
{
  int signal_number = 0;
  lab_reap (daemon, &signal_number);
  return daemon->pid > 0;
}

/* Kills the daemons and removes their settings.  */
void
lab_end_daemons (void)
{
  for (int i = 0; i < daemon_count; i++)
    {
      if (daemons[i]->pid > 0)
        {
          kill (daemons[i]->pid, SIGKILL);
          waitpid (daemons[i]->pid, NULL, 0);
          daemons[i]->pid = 0;
        }
      unlink (daemons[i]->settings_path);
    }
}
