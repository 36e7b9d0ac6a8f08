/* A stream without a length that a stopping daemon cuts off looks complete.

   Streams take 15 s.  One of 20 comes from its engine without a length, so
   that only the end of the connection ends it.  The daemon gets SIGTERM while
   they are under way.  At the end of its grace period it closes their
   connections in order, not by a reset.  */
#include "lab.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STREAMS 20
#define UNFRAMED 10 /* index of the stream without a length */
#define SPAN_S 2.0
#define EVENTS 188
#define FIRST_S 0.1
#define INTERVAL_S 0.08
#define STOP_AFTER_S 1.0
#define GRACE_S 8.0

static struct lab_runner first = { .id = "i-f" };
static struct lab_runner second = { .id = "i-s" };
static struct lab_daemon entry
    = { .name = "front-regina-1", .zone = "regina" };

struct stream
{
  char id[32];
  bool chunked;
  struct lab_answer answer;
};

static struct stream streams[STREAMS];

static bool
run_first (struct lab_runner *runner, struct lab_connection *connection,
           const struct lab_message *request, const char *id)
{
  (void)request;
  bool chunked = strcmp (id, streams[UNFRAMED].id) != 0;
  lab_record ("request %s arrives at %s%s", id, runner->id,
              chunked ? "" : ", the answer has no length");
  return lab_stream (runner, connection, id, EVENTS, FIRST_S, INTERVAL_S,
                     chunked);
}

static bool
run_second (struct lab_runner *runner, struct lab_connection *connection,
            const struct lab_message *request, const char *id)
{
  (void)connection;
  (void)request;
  lab_record ("request %s arrives at %s", id, runner->id);
  return false;
}

static void *
send_stream (void *data)
{
  struct stream *stream = data;
  char request[1024];
  lab_format_request (request, sizeof request, "POST", LAB_DRAFT_PATH "1",
                      stream->id, 20000, 2 * EVENTS);
  lab_record ("request %s is sent", stream->id);
  lab_ask (entry.front, request, 25, &stream->answer);
  lab_record ("request %s is answered: status %d, %s, %s, %zu bytes",
              stream->id, stream->answer.status,
              stream->answer.has_length ? "with a length" : "without a length",
              lab_ending_name (stream->answer.ending),
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

/* Returns the bytes of a whole stream of the request ID.  */
static size_t
whole_bytes (const char *id)
{
  char event[256];
  size_t bytes = 0;
  for (uint32_t i = 1; i <= EVENTS; i++)
    {
      bytes += lab_event (id, i, event, sizeof event);
    }
  return bytes;
}

/* Returns whether the answer of STREAM, a success, ends early and looks
   complete: a client can't tell it from a whole one.  */
static bool
is_torn (const struct stream *stream)
{
  const struct lab_answer *answer = &stream->answer;
  bool looks_complete
      = answer->ending == LAB_COMPLETE
        || (answer->ending == LAB_CLOSED && !answer->has_length);
  size_t whole = whole_bytes (stream->id);
  if (answer->status != 200 || !looks_complete || answer->body_bytes == whole)
    {
      return false;
    }
  lab_record ("MIXED: request %s has %zu of %zu bytes and looks complete",
              stream->id, answer->body_bytes, whole);
  return true;
}

int
main (int argc, char **argv)
{
  pthread_t threads[STREAMS];
  char store[LAB_ADDRESS_BYTES];
  uint32_t broken = 0;
  uint32_t begun = 0;
  (void)argc;
  lab_begin (argv[1]);
  lab_record ("disruption: %s", lab_has_trouble () ? "yes" : "no");
  lab_store_start (store);
  lab_publish_config (1, true);
  start_engine (&first, 0, LAB_LAYERS / 2, run_first);
  start_engine (&second, LAB_LAYERS / 2, LAB_LAYERS, run_second);
  lab_runners_beat ();
  lab_daemon_start (&entry, store);
  lab_daemon_await_ready (&entry);
  lab_sleep_s (2);
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      snprintf (streams[i].id, sizeof streams[i].id, "c3%04x", i);
    }
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      if (pthread_create (&threads[i], NULL, send_stream, &streams[i]) != 0)
        {
          lab_fail ("no thread can be started");
        }
      lab_sleep_s (SPAN_S / STREAMS);
    }
  lab_sleep_s (STOP_AFTER_S);
  if (lab_has_trouble ())
    {
      lab_daemon_signal (&entry, SIGTERM);
      if (!lab_daemon_await_end (&entry, GRACE_S))
        {
          lab_daemon_signal (&entry, SIGKILL);
          lab_daemon_await_end (&entry, 1);
        }
    }
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      pthread_join (threads[i], NULL);
      begun += streams[i].answer.status == 200;
      broken += is_torn (&streams[i]);
    }
  if (begun < STREAMS)
    {
      lab_fail ("only %u of %u streams began", begun, STREAMS);
    }
  return lab_end (broken > 0 ? LAB_BROKEN : LAB_HELD);
}
