#include "standin/log_store.h"

#include "base/clock.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <time.h>

/* A burst may have a tenth of a second's appends, plus one. */
#define BURST_DIVISOR 10

#define WAIT_SLICE_US (100 * CLK_MS_US) /* longest single wait of a reader */

struct record
{
  int64_t time_us;        /* wall clock, returned to readers */
  int64_t appended_at_us; /* monotonic */
  char *base64;
};

struct stream
{
  GQueue records; /* struct record *, oldest first */
  int64_t first;  /* offset of the oldest record that isn't expired */
};

struct ls_store
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GHashTable *streams; /* name to struct stream */
  uint32_t appends_per_s;
  int64_t retention_us;
  double allowance;        /* token bucket: appends allowed now */
  int64_t allowance_at_us; /* monotonic time of the last refill */
  int64_t down_until_us;   /* monotonic end of the outage */
  bool stopping;
};

static void
free_record (gpointer data)
{
  struct record *record = data;
  g_free (record->base64);
  g_free (record);
}

static void
free_stream (gpointer data)
{
  struct stream *stream = data;
  g_queue_clear_full (&stream->records, free_record);
  g_free (stream);
}

/* Creates an empty log that accepts APPENDS_PER_S on average and expires
   records after RETENTION_US.  */
struct ls_store *
ls_create (uint32_t appends_per_s, int64_t retention_us)
{
  struct ls_store *store = g_new0 (struct ls_store, 1);
  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->streams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_stream);
  store->appends_per_s = appends_per_s;
  store->retention_us = retention_us;
  return store;
}

/* Frees STORE.  No other call on STORE may be running.  */
void
ls_destroy (struct ls_store *store)
{
  g_hash_table_destroy (store->streams);
  pthread_cond_destroy (&store->changed);
  pthread_mutex_destroy (&store->lock);
  g_free (store);
}

/* Makes all waiting reads return; later reads don't wait.  */
void
ls_stop (struct ls_store *store)
{
  pthread_mutex_lock (&store->lock);
  store->stopping = true;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

/* Makes every append and read fail until the monotonic time UNTIL_US.  */
void
ls_set_down_until (struct ls_store *store, int64_t until_us)
{
  pthread_mutex_lock (&store->lock);
  store->down_until_us = until_us;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

/* Refills the token bucket and takes one append from it.  Returns false when
   the append exceeds the rate limit.  */
static bool
allow_append (struct ls_store *store, int64_t now_us)
{
  double burst = (double)store->appends_per_s / BURST_DIVISOR + 1;
  double refill = (double)(now_us - store->allowance_at_us)
                  * store->appends_per_s / CLK_S_US;
  store->allowance = MIN (store->allowance + refill, burst);
  store->allowance_at_us = now_us;
  if (store->allowance < 1)
    {
      return false;
    }
  store->allowance -= 1;
  return true;
}

/* Removes the records of STREAM that are older than the retention time.  */
static void
expire_records (const struct ls_store *store, struct stream *stream,
                int64_t now_us)
{
  struct record *oldest;
  while ((oldest = g_queue_peek_head (&stream->records)) != NULL
         && oldest->appended_at_us + store->retention_us < now_us)
    {
      free_record (g_queue_pop_head (&stream->records));
      stream->first++;
    }
}

static int64_t
next_offset (const struct stream *stream)
{
  return stream->first + stream->records.length;
}

/* Appends RECORD, in base64, to the stream NAME and sets *OFFSET to its
   offset.  The first append to a stream creates the stream.  Returns ERR_NONE,
   or, without an append, ERR_LOG_UNAVAILABLE during an outage or
   ERR_RATE_LIMITED above the append rate.  */
enum err_kind
ls_append (struct ls_store *store, const char *name, const char *record,
           int64_t *offset)
{
  int64_t now_us = clk_monotonic_us ();
  enum err_kind kind = ERR_NONE;
  pthread_mutex_lock (&store->lock);
  if (now_us < store->down_until_us)
    {
      kind = ERR_LOG_UNAVAILABLE;
    }
  else if (!allow_append (store, now_us))
    {
      kind = ERR_RATE_LIMITED;
    }
  if (kind == ERR_NONE)
    {
      struct stream *stream = g_hash_table_lookup (store->streams, name);
      if (stream == NULL)
        {
          stream = g_new0 (struct stream, 1);
          g_hash_table_insert (store->streams, g_strdup (name), stream);
        }
      struct record *appended = g_new (struct record, 1);
      appended->time_us = clk_real_us ();
      appended->appended_at_us = now_us;
      appended->base64 = g_strdup (record);
      *offset = next_offset (stream);
      g_queue_push_tail (&stream->records, appended);
      pthread_cond_broadcast (&store->changed);
    }
  pthread_mutex_unlock (&store->lock);
  return kind;
}

/* Waits for a change of STORE for at most WAIT_SLICE_US.  The caller holds the
   lock.  */
static void
wait_for_change (struct ls_store *store)
{
  struct timespec until;
  clock_gettime (CLOCK_REALTIME, &until);
  int64_t nanoseconds = until.tv_nsec + WAIT_SLICE_US * 1000;
  until.tv_sec += nanoseconds / 1000000000;
  until.tv_nsec = nanoseconds % 1000000000;
  pthread_cond_timedwait (&store->changed, &store->lock, &until);
}

/* Appends up to MAX records of STREAM from offset FROM on to OUT as JSON, with
   the first and the next offset of STREAM.  A NULL STREAM is empty.  */
static void
render_records (const struct stream *stream, int64_t from, int64_t max,
                GString *out)
{
  int64_t first = stream == NULL ? 0 : stream->first;
  int64_t next = stream == NULL ? 0 : next_offset (stream);
  g_string_append_printf (
      out, "{\"first\":%" PRId64 ",\"next\":%" PRId64 ",\"records\":[", first,
      next);
  int64_t offset = MAX (from, first);
  const char *separator = "";
  GList *link = NULL;
  if (offset < next)
    {
      link = g_queue_peek_nth_link ((GQueue *)&stream->records,
                                    (guint)(offset - first));
    }
  for (; link != NULL && max > 0; link = link->next, max--)
    {
      const struct record *record = link->data;
      g_string_append_printf (out,
                              "%s{\"offset\":%" PRId64 ",\"time_us\":%" PRId64
                              ",\"record\":\"%s\"}",
                              separator, offset++, record->time_us,
                              record->base64);
      separator = ",";
    }
  g_string_append (out, "]}");
}

/* Appends up to MAX records of the stream NAME from offset FROM on to OUT as
   JSON.  Waits up to WAIT_US for a record at FROM or later.  Returns ERR_NONE,
   or ERR_LOG_UNAVAILABLE during an outage.  */
enum err_kind
ls_read (struct ls_store *store, const char *name, int64_t from, int64_t max,
         int64_t wait_us, GString *out)
{
  int64_t end_us = clk_monotonic_us () + wait_us;
  enum err_kind kind = ERR_NONE;
  pthread_mutex_lock (&store->lock);
  for (;;)
    {
      int64_t now_us = clk_monotonic_us ();
      if (now_us < store->down_until_us)
        {
          kind = ERR_LOG_UNAVAILABLE;
          break;
        }
      struct stream *stream = g_hash_table_lookup (store->streams, name);
      if (stream != NULL)
        {
          expire_records (store, stream, now_us);
        }
      bool ready = stream != NULL && from < next_offset (stream);
      if (ready || now_us >= end_us || store->stopping)
        {
          render_records (stream, from, max, out);
          break;
        }
      wait_for_change (store);
    }
  pthread_mutex_unlock (&store->lock);
  return kind;
}
