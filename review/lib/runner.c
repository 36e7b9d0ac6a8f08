/* Runners: engines that hold layers, and plain services.  */
#include "lab.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define RUNNERS_MAX 64
#define RUNS_MAX 65536
#define HEARTBEAT_S 1.2

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct lab_runner *runners[RUNNERS_MAX];
static size_t runner_count;

static struct
{
  char id[32];
  uint32_t count;
} runs[RUNS_MAX];
static size_t run_count;

/* Writes the entry of RUNNER into the list of runners.  */
static void
publish (struct lab_runner *runner)
{
  char text[1024];
  char layers[256] = "";
  pthread_mutex_lock (&lock);
  runner->sequence++;
  if (runner->kind != NULL)
    {
      snprintf (layers, sizeof layers,
                ",\"Kind\":\"%s\",\"Stage\":\"colocated\",\"Models\":[{"
                "\"Name\":\"m0\",\"Version\":1,\"Adapters\":[],\"Layers\":{"
                "\"From\":%u,\"Target\":%u,\"Version\":1}}]",
                runner->kind, runner->first_layer, runner->end_layer);
    }
  snprintf (text, sizeof text,
            "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"regina\","
            "\"Version\":\"v1\",\"Slots\":%u,\"State\":\"ready\","
            "\"ColdLeftMs\":0,\"Seq\":%lu,\"born\":%lu%s}",
            runner->service, runner->address, runner->slots,
            (unsigned long)runner->sequence, (unsigned long)runner->born_ms,
            layers);
  pthread_mutex_unlock (&lock);
  lab_store_put ("keyed.servers", runner->id, text);
}

static void *
beat (void *data)
{
  while (data == NULL)
    {
      lab_sleep_s (HEARTBEAT_S);
      for (size_t i = 0; i < runner_count; i++)
        {
          if (runners[i]->listed)
            {
              publish (runners[i]);
            }
        }
    }
  return NULL;
}

/* Starts the heartbeats of all runners.  */
void
lab_runners_beat (void)
{
  pthread_t thread;
  if (pthread_create (&thread, NULL, beat, NULL) != 0)
    {
      lab_fail ("no thread can be started");
    }
  pthread_detach (thread);
}

static bool
send_report (struct lab_runner *runner, int fd)
{
  char body[512];
  int bytes = snprintf (
      body, sizeof body,
      "{\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,"
      "\"Adapters\":[],\"Layers\":{\"From\":%u,\"Target\":%u,\"Version\":1}}],"
      "\"Busy\":false,\"Seq\":%lu,\"Queued\":0,\"Running\":0,\"KvUsed\":0,"
      "\"KvTotal\":90000,\"Handles\":0,\"Stalled\":[],\"pace\":1}",
      runner->first_layer, runner->end_layer, (unsigned long)runner->orders);
  return lab_send_text (fd,
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        "Content-Length: %d\r\n\r\n%s",
                        bytes, body);
}

static uint64_t
number_field (const char *json, const char *name)
{
  char pattern[64];
  snprintf (pattern, sizeof pattern, "\"%s\":", name);
  const char *found = json == NULL ? NULL : strstr (json, pattern);
  return found == NULL ? 0 : strtoull (found + strlen (pattern), NULL, 10);
}

static bool
take_order (struct lab_runner *runner, int fd,
            const struct lab_message *request)
{
  uint64_t fence = number_field (request->body, "FencingToken");
  uint32_t first = (uint32_t)number_field (request->body, "From");
  uint32_t end = (uint32_t)number_field (request->body, "Target");
  lab_record ("order at %s: layers %u to %u, fencing token %lu", runner->id,
              first, end, (unsigned long)fence);
  if (fence < runner->fence)
    {
      return lab_send_text (fd, "HTTP/1.1 412 Refused\r\n"
                                "Content-Length: 0\r\n\r\n");
    }
  if (runner->ordered != NULL && !runner->ordered (runner, first, end))
    {
      return false;
    }
  bool begins = first != runner->first_layer || end != runner->end_layer;
  runner->fence = fence;
  runner->orders += begins;
  runner->first_layer = first;
  runner->end_layer = end;
  publish (runner);
  return lab_send_text (fd, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n",
                        begins ? "202 Accepted" : "200 OK");
}

/* Returns whether the path of REQUEST begins at RUNNER, with layers that it
   holds, or whether RUNNER has no layers at all.  */
bool
lab_check_path (const struct lab_runner *runner,
                const struct lab_message *request)
{
  char path[1024];
  char address[64];
  unsigned first = 0;
  unsigned end = 0;
  if (runner->kind == NULL)
    {
      return true;
    }
  return lab_header (request, "X-Kumquatthread-Hop-Count", path, sizeof path)
         && sscanf (path, "%63[^=]=%u-%u", address, &first, &end) == 3
         && strcmp (address, runner->address) == 0
         && first >= runner->first_layer && end <= runner->end_layer;
}

static bool
handle (void *context, struct lab_connection *connection,
        const struct lab_message *request)
{
  struct lab_runner *runner = context;
  int fd = connection->fd;
  char id[64];
  char expected[64];
  if (strcmp (request->url, "/api/report") == 0)
    {
      return send_report (runner, fd);
    }
  bool misdirected = lab_header (request, "X-Kumquatthread-Expect-Instance",
                                 expected, sizeof expected)
                     && strcmp (expected, runner->id) != 0;
  if (strcmp (request->url, "/api/order") == 0 && misdirected)
    {
      return lab_send_text (fd, "HTTP/1.1 421 Misdirected Request\r\n"
                                "Content-Length: 0\r\n\r\n");
    }
  if (strcmp (request->url, "/api/order") == 0)
    {
      return take_order (runner, fd, request);
    }
  if (strcmp (request->url, "/health") == 0)
    {
      return lab_send_text (fd,
                            "HTTP/1.1 200 OK\r\nX-Kumquatthread-Instance-Id: "
                            "%s\r\nContent-Length: 0\r\n\r\n",
                            runner->id);
    }
  if (!lab_header (request, "X-Kumquatthread-Attempt-Id", id, sizeof id))
    {
      return lab_send_text (fd, "HTTP/1.1 400 Bad Request\r\n"
                                "X-Kumquatthread-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n");
    }
  if (misdirected || !lab_check_path (runner, request))
    {
      return lab_send_text (fd,
                            "HTTP/1.1 421 Misdirected Request\r\n"
                            "X-Kumquatthread-Attempt-Id: %s\r\n"
                            "X-Kumquatthread-Instance-Id: %s\r\n"
                            "At-Server: %s\r\nContent-Length: 0\r\n\r\n",
                            id, runner->id, runner->address);
    }
  return runner->run (runner, connection, request, id);
}

/* Registers RUNNER, which serves at its address.  */
static void
list_runner (struct lab_runner *runner)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  runner->born_ms
      = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
  pthread_mutex_lock (&lock);
  runners[runner_count++] = runner;
  runner->listed = true;
  pthread_mutex_unlock (&lock);
  publish (runner);
  lab_record ("%s of service %s starts at %s", runner->id, runner->service,
              runner->address);
}

void
lab_runner_start (struct lab_runner *runner)
{
  runner->server = lab_serve (handle, runner, runner->address);
  list_runner (runner);
}

/* Starts RUNNER at ADDRESS, which another runner had.  */
bool
lab_runner_start_at (struct lab_runner *runner, const char *address)
{
  snprintf (runner->address, sizeof runner->address, "%s", address);
  runner->server = lab_serve_at (handle, runner, address);
  if (runner->server != NULL)
    {
      list_runner (runner);
    }
  return runner->server != NULL;
}

/* Ends RUNNER as a crash does: it says nothing more, and its entry stays until
   lab_runner_unlist.  */
void
lab_runner_end (struct lab_runner *runner)
{
  runner->listed = false;
  lab_stop_serving (runner->server);
  lab_record ("%s at %s crashes", runner->id, runner->address);
}

/* Removes the entry of RUNNER, as the platform does after three heartbeats of
   silence.  */
void
lab_runner_unlist (struct lab_runner *runner)
{
  lab_store_put ("keyed.servers", runner->id, NULL);
  lab_record ("the entry of %s is removed", runner->id);
}

/* Records that RUNNER begins to run the request ID.  */
void
lab_count_run (const char *id, const char *runner)
{
  pthread_mutex_lock (&lock);
  size_t i = 0;
  while (i < run_count && strcmp (runs[i].id, id) != 0)
    {
      i++;
    }
  if (i == run_count && run_count < RUNS_MAX)
    {
      snprintf (runs[run_count++].id, sizeof runs[0].id, "%s", id);
    }
  uint32_t count = ++runs[i].count;
  pthread_mutex_unlock (&lock);
  lab_record ("run %u of request %s begins at %s", count, id, runner);
}

uint32_t
lab_runs (const char *id)
{
  uint32_t count = 0;
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < run_count; i++)
    {
      count += strcmp (runs[i].id, id) == 0 ? runs[i].count : 0;
    }
  pthread_mutex_unlock (&lock);
  return count;
}

/* Writes the event NUMBER of the stream of the request ID.  */
size_t
lab_event (const char *id, uint32_t number, char *text, size_t bytes)
{
  return (size_t)snprintf (text, bytes, "id: %u\ndata: %s piece %u\n\n",
                           number, id, number);
}

bool
lab_stream (struct lab_runner *runner, struct lab_connection *connection,
            const char *id, uint32_t count, double first_s, double interval_s,
            bool chunked)
{
  char event[256];
  int fd = connection->fd;
  lab_sleep_s (first_s);
  lab_count_run (id, runner->id);
  bool sent = lab_send_text (fd,
                             "HTTP/1.1 200 OK\r\n"
                             "X-Kumquatthread-Attempt-Id: %s\r\n"
                             "X-Kumquatthread-Response-Stamp: %s.1\r\n"
                             "X-Kumquatthread-Weight-Versions: 1\r\n"
                             "Content-Type: text/event-stream\r\n%s\r\n",
                             id, id,
                             chunked ? "Transfer-Encoding: chunked\r\n"
                                     : "Connection: close\r\n");
  for (uint32_t i = 1; sent && i <= count; i++)
    {
      size_t bytes = lab_event (id, i, event, sizeof event);
      sent = chunked ? lab_send_text (fd, "%zx\r\n%s\r\n", bytes, event)
                     : lab_send (fd, event, bytes);
      lab_sleep_s (i < count ? interval_s : 0);
    }
  sent = sent && (!chunked || lab_send_text (fd, "0\r\n\r\n"));
  lab_record ("run of request %s at %s ends: %s", id, runner->id,
              sent ? "whole" : "its connection is closed");
  return sent && chunked;
}
