#include "entry/load_aggregator.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/load_message.h"

#include <string.h>

/* Waiting requests are answered at this interval when their time is over, all
   with one message. */
#define ANSWER_INTERVAL_MS 20

/* Limit on the time that an answer waits. */
#define WAIT_MAX_MS 1000

/* A request whose answer waits. */
struct poll
{
  struct lag_waiter waiter;
  struct lag_aggregator *aggregator;
  struct nsv_connection *connection;
  int64_t due_us; /* monotonic */
};

struct lag_aggregator
{
  struct flo_table *table;
  GPtrArray *polls; /* struct poll */
  uv_timer_t timer; /* runs while requests wait */
  uint64_t refused; /* statements */
};

/* Ends POLL without an answer.  */
static void
on_poll_gone (struct lag_waiter *waiter)
{
  struct poll *poll = (struct poll *)waiter;
  g_ptr_array_remove_fast (poll->aggregator->polls, poll);
  g_free (poll);
}

/* Answers the requests whose time is over at NOW_US.  */
static void
answer_due (struct lag_aggregator *aggregator, int64_t now_us)
{
  g_autoptr (GByteArray) answer = NULL;
  for (guint i = aggregator->polls->len; i-- > 0;)
    {
      struct poll *poll = g_ptr_array_index (aggregator->polls, i);
      if (now_us < poll->due_us)
        {
          continue;
        }
      if (answer == NULL)
        {
          answer = lmg_pack_answer (aggregator->table, now_us);
        }
      struct nsv_connection *connection = poll->connection;
      g_ptr_array_remove_index_fast (aggregator->polls, i);
      g_free (poll);
      nsv_respond (connection, HTTP_STATUS_OK, "", answer->data, answer->len);
    }
  if (aggregator->polls->len == 0)
    {
      uv_timer_stop (&aggregator->timer);
    }
}

static void
on_timer (uv_timer_t *timer)
{
  answer_due (timer->data, clk_monotonic_us ());
}

/* Returns an aggregator without statements, which runs on LOOP.  */
struct lag_aggregator *
lag_create (uv_loop_t *loop)
{
  struct lag_aggregator *aggregator = g_new0 (struct lag_aggregator, 1);
  aggregator->table = flo_create ();
  aggregator->polls = g_ptr_array_new ();
  uv_timer_init (loop, &aggregator->timer);
  aggregator->timer.data = aggregator;
  return aggregator;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  struct lag_aggregator *aggregator = handle->data;
  g_ptr_array_free (aggregator->polls, TRUE);
  flo_destroy (aggregator->table);
  g_free (aggregator);
}

/* Closes AGGREGATOR, after the server of its requests; the loop must run once
   more to free it.  */
void
lag_destroy (struct lag_aggregator *aggregator)
{
  uv_close ((uv_handle_t *)&aggregator->timer, on_timer_closed);
}

/* Returns the number of requests whose answers wait.  */
uint32_t
lag_waiting (const struct lag_aggregator *aggregator)
{
  return aggregator->polls->len;
}

/* Counts a statement that was refused; the first ones go into the log, and
   then every tenfold of their number.  */
static void
count_refused (struct lag_aggregator *aggregator, const char *name,
               size_t bytes)
{
  aggregator->refused++;
  uint64_t rest = aggregator->refused;
  while (rest % 10 == 0)
    {
      rest /= 10;
    }
  if (rest == 1)
    {
      lg_line (LOG_WARNING, "load_statement_refused",
               "daemon=%s bytes=%zu refused=%lu",
               flo_is_valid_id (name) ? name : "-", bytes,
               (unsigned long)aggregator->refused);
    }
}

/* Makes the answer to CONNECTION wait until DUE_US.  */
static void
add_poll (struct lag_aggregator *aggregator, struct nsv_connection *connection,
          int64_t due_us)
{
  struct poll *poll = g_new0 (struct poll, 1);
  poll->waiter.gone = on_poll_gone;
  poll->aggregator = aggregator;
  poll->connection = connection;
  poll->due_us = due_us;
  if (aggregator->polls->len == 0)
    {
      uv_timer_start (&aggregator->timer, on_timer, ANSWER_INTERVAL_MS,
                      ANSWER_INTERVAL_MS);
    }
  g_ptr_array_add (aggregator->polls, poll);
  nsv_set_request_context (connection, poll);
}

/* Makes all waiting requests due, since there is a new death.  */
static void
hurry (struct lag_aggregator *aggregator, int64_t now_us)
{
  for (guint i = 0; i < aggregator->polls->len; i++)
    {
      struct poll *poll = g_ptr_array_index (aggregator->polls, i);
      poll->due_us = now_us;
    }
  answer_due (aggregator, now_us);
}

/* Merges the statement of REQUEST, and answers it on CONNECTION now or later.
   With a new death in it, or if its daemon doesn't know the newest one, the
   answer doesn't wait.  */
static void
take (struct lag_aggregator *aggregator, struct nsv_connection *connection,
      const struct lmg_request *request, size_t bytes)
{
  int64_t now_us = clk_monotonic_us ();
  uint64_t before = flo_deaths_version (aggregator->table);
  if (flo_merge (aggregator->table, &request->statement, now_us)
      == FLO_REFUSED)
    {
      count_refused (aggregator, request->statement.name, bytes);
      nsv_respond (connection, HTTP_STATUS_BAD_REQUEST, "", "", 0);
      return;
    }
  uint64_t version = flo_deaths_version (aggregator->table);
  int64_t wait_ms = version != request->deaths_version
                        ? 0
                        : MIN (request->wait_ms, WAIT_MAX_MS);
  add_poll (aggregator, connection, now_us + wait_ms * CLK_MS_US);
  if (version != before)
    {
      hurry (aggregator, now_us);
    }
  else if (wait_ms == 0)
    {
      answer_due (aggregator, now_us);
    }
}

/* Handles REQUEST on CONNECTION if it is a statement; returns false if it
   isn't.  */
bool
lag_handle (struct lag_aggregator *aggregator,
            struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  if (strcmp (request->url->str, LMG_PATH) != 0
      || strcmp (method, "POST") != 0)
    {
      return false;
    }
  struct lmg_request read;
  size_t bytes = request->body->len;
  if (!lmg_read_request (request->body->data, bytes, &read))
    {
      count_refused (aggregator, "-", bytes);
      nsv_respond (connection, HTTP_STATUS_BAD_REQUEST, "", "", 0);
      return true;
    }
  take (aggregator, connection, &read, bytes);
  lmg_clear_request (&read);
  return true;
}
