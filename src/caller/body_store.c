#include "caller/body_store.h"

#include "base/clock.h"
#include "base/log.h"

#include <pthread.h>

/* Size of one read of a request body. */
#define READ_BYTES 16384

struct bst_store
{
  struct bst_params params;
  pthread_mutex_t lock;       /* guards the budget and its accounts */
  pthread_mutex_t parse_lock; /* see bst_begin_parse */
  struct bbg_budget *budget;
  struct cnt_series *used;
  struct cnt_series *refused;
  struct cnt_series *evicted;
};

/* Creates a store with PARAMS.  The caller frees it with bst_destroy.  */
struct bst_store *
bst_create (const struct bst_params *params)
{
  struct bst_store *store = g_new0 (struct bst_store, 1);
  store->params = *params;
  pthread_mutex_init (&store->lock, NULL);
  pthread_mutex_init (&store->parse_lock, NULL);
  store->budget = bbg_create (bbg_size_for_host (params->memory_mb));
  store->used = cnt_series (params->counters, CNT_GAUGE,
                            "kumquatthread_body_memory_bytes", "",
                            "Memory that the bodies of requests take");
  store->refused = cnt_series (params->counters, CNT_COUNTER,
                               "kumquatthread_memory_refused_total", "",
                               "Requests refused for want of memory, not run");
  store->evicted = cnt_series (
      params->counters, CNT_COUNTER, "kumquatthread_memory_evicted_total", "",
      "Stalled requests that were ended for want of memory, not run");
  return store;
}

/* Frees STORE, all of whose bodies must have been released.  */
void
bst_destroy (struct bst_store *store)
{
  bbg_destroy (store->budget);
  pthread_mutex_destroy (&store->lock);
  pthread_mutex_destroy (&store->parse_lock);
  g_free (store);
}

/* Publishes the memory that bodies take.  The caller holds the lock.  */
static void
publish_use (struct bst_store *store)
{
  struct bbg_state state;
  bbg_read (store->budget, &state);
  cnt_set_gauge (store->used, (int64_t)state.used);
}

/* Reserves memory for BYTES of BODY.  If there is none, marks the body that
   has stalled for the longest time, which its thread ends at its next read,
   and returns false.  */
static bool
reserve (struct bst_store *store, struct bst_body *body, size_t bytes)
{
  /* A GString has a null byte at its end. */
  uint64_t needed = bbg_allocated (bytes + 1);
  pthread_mutex_lock (&store->lock);
  bool fits = needed <= body->account.bytes[BBG_BODY]
              || bbg_resize (&body->account, BBG_BODY, needed);
  if (!fits)
    {
      struct bbg_account *stalled = bbg_find_stalled (
          &body->account, BBG_BODY, needed, clk_monotonic_us ());
      if (stalled != NULL)
        {
          struct bst_body *other = stalled->owner;
          other->evicted = true;
        }
    }
  publish_use (store);
  pthread_mutex_unlock (&store->lock);
  return fits;
}

/* Counts COUNT bytes of BODY that have arrived.  Returns false if it stalls
   while memory is short.  Sets SLOW if it has made no progress for the
   time-out.  */
static bool
note_progress (struct bst_store *store, struct bst_body *body, size_t count,
               bool *slow)
{
  int64_t now_us = clk_monotonic_us ();
  pthread_mutex_lock (&store->lock);
  bbg_add_progress (&body->account, count);
  bbg_mark_progress (&body->account, now_us);
  bool evicted = body->evicted;
  *slow = now_us - body->account.mark_us
          >= (int64_t)store->params.timeout_ms * CLK_MS_US;
  pthread_mutex_unlock (&store->lock);
  return !evicted;
}

/* Sets FAILURE to the refusal of a request for want of memory, counts it in
   SERIES and logs it as EVENT.  */
static void
refuse (struct cnt_series *series, const char *event,
        const struct bst_body *body, struct err_failure *failure)
{
  lg_line (LOG_NOTICE, event, "body_bytes=%zu why=\"memory is short\"",
           body->text->len);
  cnt_add (series, 1);
  err_set_failure (failure, ERR_OVERLOADED,
                   "the memory for bodies is used up");
}

/* Appends COUNT BYTES to BODY.  Returns false with FAILURE set if that isn't
   possible.  */
static bool
append (struct bst_store *store, struct bst_body *body, const char *bytes,
        size_t count, struct err_failure *failure)
{
  bool slow = false;
  if (body->text->len + count > store->params.bytes_max)
    {
      err_set_failure (failure, ERR_TOO_LARGE, NULL);
      return false;
    }
  if (!reserve (store, body, body->text->len + count))
    {
      refuse (store->refused, "body_refused", body, failure);
      return false;
    }
  g_string_append_len (body->text, bytes, (gssize)count);
  if (!note_progress (store, body, count, &slow))
    {
      refuse (store->evicted, "stalled_request_ended", body, failure);
      return false;
    }
  if (slow)
    {
      err_set_failure (failure, ERR_BAD_REQUEST, "the body comes too slowly");
      return false;
    }
  return true;
}

/* Reads all of the body of CONNECTION's request, of ANNOUNCED bytes or -1.
   Returns false with FAILURE set if that isn't possible.  */
static bool
read_all (struct bst_store *store, struct mg_connection *connection,
          struct bst_body *body, long long announced,
          struct err_failure *failure)
{
  char chunk[READ_BYTES];
  int bytes = mg_read (connection, chunk, sizeof chunk);
  while (bytes > 0)
    {
      if (!append (store, body, chunk, (size_t)bytes, failure))
        {
          return false;
        }
      bytes = mg_read (connection, chunk, sizeof chunk);
    }
  if (bytes < 0
      || (announced > 0 && body->text->len < (unsigned long long)announced))
    {
      err_set_failure (failure, ERR_BAD_REQUEST, "the body broke off");
      return false;
    }
  return true;
}

/* Opens the account of BODY, which begins to arrive now.  */
static void
open_body (struct bst_store *store, struct bst_body *body)
{
  *body = (struct bst_body){ .text = g_string_new (NULL) };
  pthread_mutex_lock (&store->lock);
  bbg_open (&body->account, store->budget, body);
  bbg_begin (&body->account, clk_monotonic_us ());
  pthread_mutex_unlock (&store->lock);
}

/* Reads the body of CONNECTION's request into BODY, which is released with
   bst_release.  Returns false, with BODY released, after setting FAILURE:
   ERR_TOO_LARGE, ERR_OVERLOADED for want of memory, or ERR_BAD_REQUEST when
   the connection ended before the body did or the body came too slowly.  */
bool
bst_read (struct bst_store *store, struct mg_connection *connection,
          struct bst_body *body, struct err_failure *failure)
{
  long long announced = mg_get_request_info (connection)->content_length;
  *failure = (struct err_failure){ .kind = ERR_NONE };
  open_body (store, body);
  bool complete = false;
  if (announced > (long long)store->params.bytes_max)
    {
      err_set_failure (failure, ERR_TOO_LARGE, NULL);
    }
  else if (announced > 0 && !reserve (store, body, (size_t)announced))
    {
      refuse (store->refused, "body_refused", body, failure);
    }
  else
    {
      complete = read_all (store, connection, body, announced, failure);
    }
  if (!complete)
    {
      bst_release (store, body);
      return false;
    }
  pthread_mutex_lock (&store->lock);
  bbg_end (&body->account);
  pthread_mutex_unlock (&store->lock);
  return true;
}

/* Frees BODY and its memory in the budget.  */
void
bst_release (struct bst_store *store, struct bst_body *body)
{
  g_string_free (body->text, TRUE);
  body->text = NULL;
  pthread_mutex_lock (&store->lock);
  bbg_close (&body->account);
  publish_use (store);
  pthread_mutex_unlock (&store->lock);
}

/* Waits until BODY may be parsed.  Large bodies are parsed one at a time: the
   tree of a JSON text may take fifty times the memory of the text.  */
void
bst_begin_parse (struct bst_store *store, const struct bst_body *body)
{
  if (body->text->len > BBG_SMALL_BYTES)
    {
      pthread_mutex_lock (&store->parse_lock);
    }
}

/* Ends what bst_begin_parse began; the tree must have been freed.  */
void
bst_end_parse (struct bst_store *store, const struct bst_body *body)
{
  if (body->text->len > BBG_SMALL_BYTES)
    {
      pthread_mutex_unlock (&store->parse_lock);
    }
}
