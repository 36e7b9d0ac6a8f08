/* A second answer of a runner, which arrives late, is taken for the answer to
   the next attempt of the same request: a stream that may not be repeated is
   run twice.

   Engine F holds the first half of the layers, P and Q the second half each.
   In the window of the disruption, 40 streams are sent in 5 s.  P is short of
   memory for one of them: F answers that one with 503, not executed, and names
   P.  With the disruption, this answer of F (1 of more than 34, so less than
   0.03) is also sent a second time, where the next answer on its connection is
   expected.  */
#include "lab.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STREAMS 40
#define WINDOW_S 5.0
#define REFUSED_AT 20 /* index of the first stream that may be refused */
#define EVENTS 20
#define FIRST_S 0.08
#define INTERVAL_S 0.05

/* The retry budget of a daemon has its slack after this time. */
#define WARM_UP_S 12.0
#define WARM_UP_STREAMS 20

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct lab_runner first = { .id = "i-f" };
static struct lab_runner second_p = { .id = "i-p" };
static struct lab_runner second_q = { .id = "i-q" };
static bool refuses;     /* P is short of memory for the next stream */
static char refused[64]; /* id of the stream for which it was */
static struct lab_daemon entry
    = { .name = "front-regina-1", .zone = "regina" };

/* What is to be sent where the next answer on a connection is expected. */
struct late_answer
{
  char text[512];
};

/* Answers a request at the first engine.  */
static bool
run_first (struct lab_runner *runner, struct lab_connection *connection,
           const struct lab_message *request, const char *id)
{
  char path[512] = "";
  struct late_answer *late = connection->note;
  lab_header (request, "X-Kumquatthread-Hop-Count", path, sizeof path);
  lab_record ("request %s arrives at %s, path %s", id, runner->id, path);
  if (late != NULL)
    {
      lab_record ("the second answer to request %s is sent now", refused);
      connection->note = NULL;
      lab_send (connection->fd, late->text, strlen (late->text));
      free (late);
    }
  pthread_mutex_lock (&lock);
  bool refuse = refuses && strstr (path, second_p.address) != NULL;
  if (refuse)
    {
      refuses = false;
      snprintf (refused, sizeof refused, "%s", id);
    }
  pthread_mutex_unlock (&lock);
  if (!refuse)
    {
      return lab_stream (runner, connection, id, EVENTS, FIRST_S, INTERVAL_S,
                         true);
    }
  late = calloc (1, sizeof *late);
  snprintf (late->text, sizeof late->text,
            "HTTP/1.1 503 Service Unavailable\r\n"
            "X-Kumquatthread-Attempt-Id: %s\r\n"
            "X-Kumquatthread-Not-Executed: 1\r\nAt-Server: %s\r\n"
            "Content-Length: 0\r\n\r\n",
            id, second_p.address);
  lab_record ("request %s isn't executed: %s is short of memory", id,
              second_p.id);
  bool sent = lab_send (connection->fd, late->text, strlen (late->text));
  if (lab_has_trouble ())
    {
      connection->note = late;
    }
  else
    {
      free (late);
    }
  return sent;
}

/* The engines of the second half get no requests of their own.  */
static bool
run_second (struct lab_runner *runner, struct lab_connection *connection,
            const struct lab_message *request, const char *id)
{
  (void)connection;
  (void)request;
  lab_record ("request %s arrives at %s", id, runner->id);
  return false;
}

struct stream
{
  char id[32];
  struct lab_answer answer;
};

static void *
send_stream (void *data)
{
  struct stream *stream = data;
  char request[1024];
  lab_format_request (request, sizeof request, "POST", LAB_DRAFT_PATH "1",
                      stream->id, 20000, 2 * EVENTS);
  lab_record ("request %s is sent", stream->id);
  lab_ask (entry.front, request, 25, &stream->answer);
  lab_record ("request %s is answered: status %d, %s, %zu bytes", stream->id,
              stream->answer.status, lab_ending_name (stream->answer.ending),
              stream->answer.body_bytes);
  return NULL;
}

static void
start_engine (struct lab_runner *runner, uint32_t first_layer,
              uint32_t end_layer, lab_run run)
{
  runner->service = "drafter";
  runner->kind = "t4";
  runner->slots = 192;
  runner->first_layer = first_layer;
  runner->end_layer = end_layer;
  runner->run = run;
  lab_runner_start (runner);
}

/* Sends COUNT streams, one after the other in SPAN_S, and waits for them.
   Returns how many of them ran more often than once or ran though they were
   refused.  */
static uint32_t
send_streams (struct stream *streams, const char *prefix, uint32_t count,
              double span_s, uint32_t refused_at)
{
  pthread_t threads[STREAMS];
  uint32_t broken = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (streams[i].id, sizeof streams[i].id, "%s%04x", prefix, i);
      pthread_mutex_lock (&lock);
      refuses |= i == refused_at;
      pthread_mutex_unlock (&lock);
      if (pthread_create (&threads[i], NULL, send_stream, &streams[i]) != 0)
        {
          lab_fail ("no thread can be started");
        }
      lab_sleep_s (span_s / count);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      pthread_join (threads[i], NULL);
    }
  lab_sleep_s (3);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t runs = lab_runs (streams[i].id);
      int status = streams[i].answer.status;
      if (runs > 1)
        {
          lab_record ("TWICE: request %s ran %u times (status %d)",
                      streams[i].id, runs, status);
          broken++;
        }
      if (runs > 0 && (status == 503 || status == 429))
        {
          lab_record ("REFUSED: request %s was answered %d and ran",
                      streams[i].id, status);
          broken++;
        }
    }
  return broken;
}

int
main (int argc, char **argv)
{
  static struct stream streams[STREAMS];
  char store[LAB_ADDRESS_BYTES];
  (void)argc;
  lab_begin (argv[1]);
  lab_record ("disruption: %s", lab_has_trouble () ? "yes" : "no");
  lab_store_start (store);
  lab_publish_config (1, false);
  start_engine (&first, 0, LAB_LAYERS / 2, run_first);
  start_engine (&second_p, LAB_LAYERS / 2, LAB_LAYERS, run_second);
  start_engine (&second_q, LAB_LAYERS / 2, LAB_LAYERS, run_second);
  lab_runners_beat ();
  lab_daemon_start (&entry, store);
  lab_daemon_await_ready (&entry);
  uint32_t broken
      = send_streams (streams, "a1", WARM_UP_STREAMS, WARM_UP_S, UINT32_MAX);
  uint32_t served = 0;
  for (uint32_t i = 0; i < WARM_UP_STREAMS; i++)
    {
      served += streams[i].answer.status == 200;
      lab_answer_clear (&streams[i].answer);
    }
  if (served < WARM_UP_STREAMS)
    {
      lab_fail ("only %u of %u streams are served at first", served,
                WARM_UP_STREAMS);
    }
  broken += send_streams (streams, "b2", STREAMS, WINDOW_S, REFUSED_AT);
  if (refused[0] == '\0')
    {
      lab_fail ("no stream was refused");
    }
  return lab_end (broken > 0 ? LAB_BROKEN : LAB_HELD);
}
