/* The workers: threads that start calls when scheduled events are due. */
#include "standin/load_private.h"

#include "base/clock.h"

#include <inttypes.h>
#include <math.h>
#include <pthread.h>

/* Longest wait for transfers while no event is due. */
#define POLL_MAX_MS 20

struct scheduled_event
{
  enum lt_event_type type;
  int64_t due_us;
  uint32_t account;
  struct lt_booking *booking;
};

static gint
compare_due_times (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct scheduled_event *left = a;
  const struct scheduled_event *right = b;
  return left->due_us < right->due_us ? -1 : left->due_us > right->due_us;
}

/* Schedules an event of TYPE for WORKER at the monotonic time DUE_US.  ACCOUNT
   is for drafts, BOOKING for retries.  */
void
lt_schedule (struct lt_worker *worker, enum lt_event_type type, int64_t due_us,
             uint32_t account, struct lt_booking *booking)
{
  struct scheduled_event *event = g_new (struct scheduled_event, 1);
  *event = (struct scheduled_event){
    .type = type,
    .due_us = due_us,
    .account = account,
    .booking = booking,
  };
  g_sequence_insert_sorted (worker->events, event, compare_due_times, NULL);
}

/* Schedules the next arrival after FROM_US in this worker's equal share of a
   Poisson process with PER_S arrivals a second over all workers.  */
static void
schedule_arrival (struct lt_worker *worker, enum lt_event_type type,
                  uint32_t account, double per_s, int64_t from_us)
{
  if (per_s <= 0)
    {
      return;
    }
  double mean_s = worker->options->threads / per_s;
  double wait_s = -log (1 - g_rand_double (worker->random)) * mean_s;
  lt_schedule (worker, type, from_us + (int64_t)(wait_s * CLK_S_US), account,
               NULL);
}

/* Starts the call of EVENT and, in an open loop, schedules the next
   arrival.  */
static void
run_event (struct lt_worker *worker, const struct scheduled_event *event)
{
  const struct lt_options *options = worker->options;
  switch (event->type)
    {
    case LT_EVENT_DRAFT:
      schedule_arrival (worker, event->type, event->account,
                        options->accounts[event->account].drafts_per_s,
                        event->due_us);
      lt_start_draft (worker, event->account, false);
      break;
    case LT_EVENT_NEXT_DRAFT:
      lt_start_draft (worker, event->account, true);
      break;
    case LT_EVENT_BOOKING:
      schedule_arrival (worker, event->type, 0, options->bookings_per_s,
                        event->due_us);
      lt_start_booking (worker);
      break;
    case LT_EVENT_LOOKUP:
      schedule_arrival (worker, event->type, 0, options->lookups_per_s,
                        event->due_us);
      lt_start_lookup (worker);
      break;
    case LT_EVENT_RETRY:
      lt_retry_booking (worker, event->booking);
      break;
    }
}

/* Runs every event that is due; after the measured time only retries.  Returns
   the time until the next event in milliseconds, at most POLL_MAX_MS.  */
static int
run_due_events (struct lt_worker *worker)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (worker->events);
      if (g_sequence_iter_is_end (first))
        {
          return POLL_MAX_MS;
        }
      int64_t now_us = clk_monotonic_us ();
      struct scheduled_event event
          = *(struct scheduled_event *)g_sequence_get (first);
      if (event.due_us > now_us)
        {
          int64_t wait_ms = (event.due_us - now_us) / CLK_MS_US;
          return (int)MIN (wait_ms, POLL_MAX_MS);
        }
      g_sequence_remove (first);
      if (now_us < worker->end_us || event.type == LT_EVENT_RETRY)
        {
          run_event (worker, &event);
        }
    }
}

/* Records the end of CALL with RESULT and frees CALL.  */
static void
finish_call (struct lt_worker *worker, struct lt_call *call, CURLcode result)
{
  curl_multi_remove_handle (worker->multi, call->curl);
  g_hash_table_remove (worker->calls, call);
  switch (call->type)
    {
    case LT_DRAFT:
      lt_finish_draft (call, result);
      break;
    case LT_BOOKING:
      lt_finish_booking (call, result);
      break;
    case LT_LOOKUP:
      lt_finish_lookup (call, result);
      break;
    }
  lt_call_destroy (call);
}

/* Finishes every call whose transfer has ended.  */
static void
finish_calls (struct lt_worker *worker)
{
  int left;
  CURLMsg *message;
  while ((message = curl_multi_info_read (worker->multi, &left)) != NULL)
    {
      CURLcode result = message->data.result;
      struct lt_call *call = NULL;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      finish_call (worker, call, result);
    }
}

/* Schedules the first arrivals and this worker's share of the closed-loop
   drafts.  */
static void
schedule_initial_events (struct lt_worker *worker)
{
  const struct lt_options *options = worker->options;
  for (uint32_t i = 0; i < options->account_count; i++)
    {
      const struct lt_account *account = &options->accounts[i];
      schedule_arrival (worker, LT_EVENT_DRAFT, i, account->drafts_per_s,
                        worker->start_us);
      for (uint32_t stream = worker->index; stream < account->streams;
           stream += options->threads)
        {
          lt_schedule (worker, LT_EVENT_NEXT_DRAFT, worker->start_us, i, NULL);
        }
    }
  if (options->service != NULL)
    {
      schedule_arrival (worker, LT_EVENT_BOOKING, 0, options->bookings_per_s,
                        worker->start_us);
      schedule_arrival (worker, LT_EVENT_LOOKUP, 0, options->lookups_per_s,
                        worker->start_us);
    }
}

/* Counts, journals and frees the calls that are still open.  */
static void
abandon_calls (struct lt_worker *worker)
{
  GHashTableIter iterator;
  gpointer key;
  g_hash_table_iter_init (&iterator, worker->calls);
  while (g_hash_table_iter_next (&iterator, &key, NULL))
    {
      struct lt_call *call = key;
      worker->stats->outcomes[call->type][LT_UNFINISHED]++;
      jn_write (worker->options->journal, "unfinished",
                ",\"type\":%d,\"request\":\"%s\",\"caller\":\"%s\","
                "\"tokens\":%u,\"sent\":%" PRId64,
                (int)call->type, call->request_id,
                worker->options->daemon_urls[call->daemon], call->tokens,
                call->sent_us);
      curl_multi_remove_handle (worker->multi, call->curl);
      if (call->booking != NULL && --call->booking->open_calls == 0)
        {
          g_free (call->booking);
        }
      lt_call_destroy (call);
    }
}

/* The thread of one worker: runs until the measured time is over and every
   call has ended, or until the drain time is over too.  */
static void *
run_worker (void *data)
{
  struct lt_worker *worker = data;
  int64_t drain_end_us
      = worker->end_us + (int64_t)(worker->options->drain_s * CLK_S_US);
  schedule_initial_events (worker);
  for (;;)
    {
      int64_t now_us = clk_monotonic_us ();
      bool idle = g_hash_table_size (worker->calls) == 0
                  && g_sequence_is_empty (worker->events);
      if (now_us >= drain_end_us || (now_us >= worker->end_us && idle))
        {
          break;
        }
      int wait_ms = run_due_events (worker);
      int running;
      curl_multi_perform (worker->multi, &running);
      finish_calls (worker);
      curl_multi_poll (worker->multi, NULL, 0, wait_ms, NULL);
    }
  abandon_calls (worker);
  return NULL;
}

/* Initialises WORKER as worker INDEX.  */
static void
init_worker (struct lt_worker *worker, const struct lt_options *options,
             struct lt_balancer *balancer, uint32_t index, int64_t start_us)
{
  double total_s = options->warmup_s + options->measure_s;
  *worker = (struct lt_worker){
    .options = options,
    .balancer = balancer,
    .index = index,
    .random = g_rand_new_with_seed (options->seed * LT_DAEMONS_MAX + index),
    .multi = curl_multi_init (),
    .events = g_sequence_new (g_free),
    .calls = g_hash_table_new (NULL, NULL),
    .start_us = start_us,
    .measure_start_us = start_us + (int64_t)(options->warmup_s * CLK_S_US),
    .end_us = start_us + (int64_t)(total_s * CLK_S_US),
  };
  double window_count = total_s * CLK_S_US / LT_WINDOW_US;
  worker->stats = lt_stats_create ((uint32_t)window_count + 1);
}

static void
free_worker (struct lt_worker *worker)
{
  lt_stats_destroy (worker->stats);
  g_hash_table_destroy (worker->calls);
  g_sequence_free (worker->events);
  curl_multi_cleanup (worker->multi);
  g_rand_free (worker->random);
}

/* Runs the load that OPTIONS describe, which takes its warm-up, measured and
   drain times.  Returns the summary as JSON, to be freed by the caller.  */
char *
lt_run (const struct lt_options *options)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  struct lt_balancer *balancer = lt_balancer_create (options);
  struct lt_worker *workers = g_new0 (struct lt_worker, options->threads);
  pthread_t *threads = g_new (pthread_t, options->threads);
  int64_t start_us = clk_monotonic_us ();
  for (uint32_t i = 0; i < options->threads; i++)
    {
      init_worker (&workers[i], options, balancer, i, start_us);
      pthread_create (&threads[i], NULL, run_worker, &workers[i]);
    }
  for (uint32_t i = 0; i < options->threads; i++)
    {
      pthread_join (threads[i], NULL);
    }
  for (uint32_t i = 1; i < options->threads; i++)
    {
      lt_stats_merge (workers[0].stats, workers[i].stats);
    }
  char *summary = lt_stats_summary (workers[0].stats, options, start_us);
  for (uint32_t i = 0; i < options->threads; i++)
    {
      free_worker (&workers[i]);
    }
  lt_balancer_destroy (balancer);
  g_free (threads);
  g_free (workers);
  return summary;
}
