/* Runners of a plain service. */
#include "lab2.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

struct runner
{
  int listener;
  lab_run run;
  void *context;
};

struct visit
{
  struct runner *runner;
  int descriptor;
};

static void *
serve_connection (void *context)
{
  struct visit *visit = context;
  struct lab_text unread = { 0 };
  struct lab_request request;
  bool open = true;
  while (open && lab_read_request (visit->descriptor, &unread, &request))
    {
      open = visit->runner->run (visit->descriptor, &request,
                                 visit->runner->context);
      lab_clear_request (&request);
    }
  close (visit->descriptor);
  free (unread.data);
  free (visit);
  return NULL;
}

static void *
accept_connections (void *context)
{
  struct runner *runner = context;
  while (true)
    {
      int descriptor = accept4 (runner->listener, NULL, NULL, SOCK_CLOEXEC);
      if (descriptor >= 0)
        {
          struct visit *visit = malloc (sizeof *visit);
          visit->runner = runner;
          visit->descriptor = descriptor;
          lab_start_thread (serve_connection, visit);
        }
    }
  return NULL;
}

/* Starts a runner of the service `registry', whose requests RUN handles with
   CONTEXT, and lists it under ID.  Returns its port.  */
uint16_t
lab_start_runner (const char *id, lab_run run, void *context)
{
  struct runner *runner = malloc (sizeof *runner);
  runner->run = run;
  runner->context = context;
  uint16_t port = lab_listen (&runner->listener);
  lab_start_thread (accept_connections, runner);
  struct lab_text entry = { 0 };
  lab_print (&entry,
             "{\"Service\":\"registry\",\"Address\":\"127.0.0.1:%u\","
             "\"Zone\":\"regina\",\"Version\":\"v1\",\"Slots\":6,"
             "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,"
             "\"born\":1767225600000}",
             port);
  lab_publish ("keyed.servers", id, entry.data);
  free (entry.data);
  return port;
}
