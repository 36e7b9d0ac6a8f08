/* A runner's entry is removed while an entry daemon is cut off from the store:
   the daemon goes on sending requests to it when it has been in touch again
   for longer than the bounds allow. */
#include "lab2.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DRAIN_MS 2000
#define STABLE_MS 3000

#define CUT_MS 4800 /* at least; the largest dose is 5.5 s */
#define CUT_MAX_MS 5450
#define REMOVED_MS 4000 /* after the beginning of the cut */
#define CALLS_MS 3050   /* when clients come, after its end */
#define EXIT_MS 200     /* when the removed runner exits, after that */
#define WORK_MS 300     /* of a request */
#define CALLS 12

struct call
{
  int64_t sent_ms;
  int64_t ran_ms; /* by the removed runner; 0: not there */
  int status;
};

static struct call calls[CALLS];
static struct lab_daemon entry = { .name = "front-regina-1" };
static volatile bool leaves; /* the runner i-3 */
static volatile bool exits;  /* the same */

/* Runs a request.  The runner i-3 says in its answers that it leaves when its
   entry has been removed, and closes its connections when it exits.  */
static bool
run_request (int descriptor, const struct lab_request *request, void *context)
{
  static const char body[] = "the whole body";
  bool is_leaving = leaves && strcmp (context, "i-3") == 0;
  char *id = lab_header (request->head, "X-Kumquatthread-Attempt-Id");
  struct lab_text answer = { 0 };
  lab_record ("runner %s runs %s", (const char *)context,
              id == NULL ? "a request without an id" : id);
  if (id != NULL && strncmp (id, "late-", 5) == 0 && is_leaving)
    {
      calls[atoi (id + 5)].ran_ms = lab_now_ms ();
    }
  for (int i = 0; i < WORK_MS / 10; i++)
    {
      lab_sleep_ms (10);
      if (is_leaving && exits)
        {
          lab_record ("runner i-3 exits while it runs %s", id);
          free (id);
          return false;
        }
    }
  lab_print (&answer,
             "HTTP/1.1 200 OK\r\nX-Kumquatthread-Attempt-Id: %s\r\n"
             "X-Kumquatthread-Response-Stamp: stamp-%s\r\n%s"
             "Content-Length: %zu\r\n\r\n%s",
             id == NULL ? "-" : id, (const char *)context,
             is_leaving ? "Server-Leaving: 1\r\n" : "", strlen (body), body);
  bool sent = lab_write (descriptor, answer.data, answer.length);
  free (answer.data);
  free (id);
  return sent;
}

/* Sends a booking with ID and waits for the answer.  */
static void
book (const char *id, struct call *call)
{
  struct lab_text request = { 0 };
  struct lab_answer answer = { 0 };
  lab_print (&request,
             "POST /issue/record HTTP/1.1\r\nHost: " LAB_HOST "\r\n"
             "X-Api-Key: " LAB_KEY "\r\n"
             "X-Kumquatthread-Attempt-Id: %s\r\n"
             "X-Kumquatthread-Deadline-Ms: 4000\r\n"
             "Content-Length: 4\r\n\r\nbook",
             id);
  int descriptor = lab_connect (entry.caller_port);
  call->sent_ms = lab_now_ms ();
  if (descriptor >= 0 && lab_write (descriptor, request.data, request.length))
    {
      lab_read_answer (descriptor, call->sent_ms + 4500, &answer);
    }
  call->status = answer.status;
  lab_record ("%s: status=%d", id, answer.status);
  close (descriptor);
  lab_clear_answer (&answer);
  free (request.data);
}

static void *
run_call (void *context)
{
  struct call *call = context;
  char id[32];
  snprintf (id, sizeof id, "late-%d", (int)(call - calls));
  book (id, call);
  return NULL;
}

/* Waits until the daemon has asked for the list after AFTER_MS, in vain.  */
static void
await_list_call (int64_t after_ms, int64_t until_ms)
{
  while (lab_newest_list_ms () < after_ms && lab_now_ms () < until_ms)
    {
      lab_sleep_ms (5);
    }
}

int
main (void)
{
  pthread_t threads[CALLS];
  struct call early;
  bool trouble = lab_has_trouble ();
  lab_open_record ();
  lab_start_store ();
  entry.store_port = lab_start_proxy ();
  lab_publish_config (3, 4000, LAB_KEYS);
  lab_start_runner ("i-1", run_request, "i-1");
  lab_start_runner ("i-2", run_request, "i-2");
  lab_start_runner ("i-3", run_request, "i-3");
  lab_start_daemon (&entry);
  lab_await_ready (&entry);
  for (int i = 0; i < 8; i++)
    {
      char id[32];
      snprintf (id, sizeof id, "early-%d", i);
      book (id, &early);
    }
  lab_sleep_ms (STABLE_MS);
  int64_t cut_ms = lab_now_ms ();
  lab_set_cut (trouble);
  lab_record (trouble ? "the daemon is cut off from the store" : "no cut");
  lab_sleep_ms (REMOVED_MS);
  leaves = true;
  lab_publish ("keyed.servers", "i-3", NULL);
  int64_t removed_ms = lab_now_ms ();
  lab_record ("the store has removed the entry of i-3, which leaves");
  lab_sleep_ms (cut_ms + CUT_MS - lab_now_ms ());
  if (trouble)
    {
      await_list_call (cut_ms + CUT_MS, cut_ms + CUT_MAX_MS);
      lab_sleep_ms (20);
    }
  lab_set_cut (false);
  int64_t healed_ms = lab_now_ms ();
  lab_record ("the cut has healed after %ld ms", (long)(healed_ms - cut_ms));
  lab_sleep_ms (CALLS_MS);
  for (int i = 0; i < CALLS; i++)
    {
      pthread_create (&threads[i], NULL, run_call, &calls[i]);
    }
  lab_sleep_ms (EXIT_MS);
  exits = true;
  int late = 0;
  int lost = 0;
  for (int i = 0; i < CALLS; i++)
    {
      pthread_join (threads[i], NULL);
      if (calls[i].ran_ms > removed_ms + DRAIN_MS
          && calls[i].sent_ms > healed_ms + STABLE_MS)
        {
          late++;
          lost += calls[i].status != 200;
          lab_record ("late-%d was sent %ld ms after the cut and reached i-3 "
                      "%ld ms after the removal: status=%d",
                      i, (long)(calls[i].sent_ms - healed_ms),
                      (long)(calls[i].ran_ms - removed_ms), calls[i].status);
        }
    }
  lab_record ("%d requests reached i-3 late, %d of them were cut off", late,
              lost);
  lab_record (late > 0 ? "DRAIN is broken" : "DRAIN holds");
  lab_end_daemons ();
  return late > 0 ? 1 : 0;
}
