#include "entry/topic.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "entry/relay.h"
#include "net/call.h"

#include <string.h>

/* Initial time-out of an answer, beyond the wait that was asked for.  A read
   that times out still counts against the store's rate limit, so with a fixed
   time-out every read might fail for ever; the time-out doubles after each
   answer that came too late. */
#define ANSWER_TIMEOUT_MS 900

/* Pause after a failed call: the first, and the upper bound of its
   doubling. */
#define RETRY_MIN_MS 150
#define RETRY_MAX_MS 1000

/* A topic that couldn't be read for this long is reported as an outage. */
#define OUTAGE_US (1500 * CLK_MS_US)

/* How long a relay may wait for changes, the time-out of its answer beyond
   that, and the age from which its proof is rejected.  A relay that is silent
   or has lost the store must not delay a change for long. */
#define RELAY_WAIT_MS 700
#define RELAY_TIMEOUT_MS 300
#define RELAY_PROOF_AGE_MAX_US (1600 * CLK_MS_US)

/* Pause between an answer of a relay and the next call. */
#define RELAY_INTERVAL_MS 150

/* After a start or a failure of a relay, only the store is read for a random
   time between this and twice this. */
#define STORE_ONLY_MIN_MS 3000

struct tpc_topic
{
  struct tpc_params params;
  char *address;
  uv_timer_t timer;
  struct cal_call *call;
  bool in_snapshot; /* reading a snapshot */
  char *after_key;  /* last key of the previous page; NULL at first */
  uint64_t snapshot_end_offset; /* offset up to which the snapshot holds */
  int64_t snapshot_sent_us; /* monotonic, when its first page was requested */
  uint64_t next_offset;     /* offset to read from */
  uint32_t relay_count;
  uint32_t relay_index; /* index of the relay in use */
  bool uses_relay;
  int64_t store_only_until_us; /* no relay is used before; this and the times
                                  below: monotonic */
  int64_t sent_us;             /* newest call */
  int64_t last_success_us;
  bool failed;         /* the previous call failed */
  bool store_failed;   /* and it was made to the store */
  bool needs_snapshot; /* only the store's snapshot can bring it up to date */
  uint32_t answer_timeout_ms; /* time-out of the next call, beyond its wait */
  uint32_t retry_ms;          /* pause after the next failure */
  bool in_outage;
};

static void send_call (struct tpc_topic *topic);

static void
on_timer (uv_timer_t *timer)
{
  send_call (timer->data);
}

static void
schedule_call (struct tpc_topic *topic, uint64_t delay_ms)
{
  uv_timer_start (&topic->timer, on_timer, delay_ms, 0);
}

/* Makes the next call begin a snapshot.  */
static void
begin_snapshot (struct tpc_topic *topic)
{
  topic->in_snapshot = true;
  g_clear_pointer (&topic->after_key, g_free);
}

/* Uses only the store for a while.  */
static void
use_store (struct tpc_topic *topic)
{
  topic->uses_relay = false;
  topic->store_only_until_us
      = clk_monotonic_us ()
        + g_random_int_range (STORE_ONLY_MIN_MS, 2 * STORE_ONLY_MIN_MS)
              * CLK_MS_US;
}

/* Switches to a random relay when relays are preferred or the store failed,
   unless a snapshot is needed, which only the store has.  */
static void
choose_source (struct tpc_topic *topic)
{
  bool preferred = topic->params.prefer_relays
                   && clk_monotonic_us () >= topic->store_only_until_us;
  if (topic->relay_count > 0 && !topic->uses_relay && !topic->needs_snapshot
      && (topic->store_failed || preferred))
    {
      topic->uses_relay = true;
      topic->relay_index
          = (uint32_t)g_random_int_range (0, (gint32)topic->relay_count);
    }
  topic->store_failed = false;
}

/* Handles a failure of the relay: the store is read at once instead.  */
static void
fall_back_to_store (struct tpc_topic *topic, uint32_t status, const char *why)
{
  lg_line (LOG_INFO, "relay_left", "topic=%s relay=%s status=%u why=\"%s\"",
           topic->params.topic, topic->params.relays[topic->relay_index],
           status, why);
  use_store (topic);
  topic->failed = true;
  send_call (topic);
}

/* Handles a failed call of the store: reports an outage if it lasts, and
   schedules a retry.  STATUS is the HTTP status, or 0 without a valid answer,
   for the reason WHY.  */
static void
handle_failure (struct tpc_topic *topic, uint32_t status, const char *why)
{
  char reason[64];
  g_snprintf (reason, sizeof reason, "%s",
              status == 0 ? why : msg_reason (status));
  int64_t now_us = clk_monotonic_us ();
  if (!topic->in_outage && now_us - topic->last_success_us >= OUTAGE_US)
    {
      topic->in_outage = true;
      lg_line (LOG_WARNING, "store_lost",
               "topic=%s status=%u why=\"%s\" good_ms_ago=%ld",
               topic->params.topic, status, reason,
               (long)((now_us - topic->last_success_us) / CLK_MS_US));
      topic->params.events->outage (topic->params.context, reason);
    }
  topic->failed = true;
  topic->store_failed = true;
  if (status == 0)
    {
      /* After a time-out the records that were appended meanwhile may be
         larger than a snapshot. */
      topic->answer_timeout_ms
          = MAX (MIN (topic->answer_timeout_ms * 2,
                      topic->params.answer_timeout_max_ms),
                 ANSWER_TIMEOUT_MS);
      begin_snapshot (topic);
    }
  /* The time that the call itself took counts towards the pause. */
  int64_t pause_ms = topic->retry_ms + g_random_int_range (0, RETRY_MIN_MS);
  int64_t spent_ms = (now_us - topic->sent_us) / CLK_MS_US;
  schedule_call (topic, (uint64_t)MAX (pause_ms - spent_ms, 0));
  topic->retry_ms = MIN (topic->retry_ms * 2, RETRY_MAX_MS);
}

/* Resets the state of failures after a valid answer.  */
static void
record_success (struct tpc_topic *topic)
{
  topic->failed = false;
  topic->answer_timeout_ms = ANSWER_TIMEOUT_MS;
  topic->retry_ms = RETRY_MIN_MS;
  topic->last_success_us = clk_monotonic_us ();
  if (topic->in_outage)
    {
      topic->in_outage = false;
      lg_line (LOG_NOTICE, "store_regained", "topic=%s", topic->params.topic);
    }
}

/* Passes the records of PAGE to the callback.  */
static void
deliver_records (struct tpc_topic *topic, const struct pfs_page *page)
{
  for (guint i = 0; i < page->records->len; i++)
    {
      topic->params.events->record (topic->params.context,
                                    g_ptr_array_index (page->records, i));
    }
}

/* Handles a page of a snapshot.  Returns false when it is invalid.  */
static bool
handle_snapshot_page (struct tpc_topic *topic, const uint8_t *body,
                      size_t body_bytes, GError **error)
{
  struct pfs_page page;
  bool valid = pfs_decode_newest (body, body_bytes, &page, error);
  if (valid)
    {
      record_success (topic);
      if (topic->after_key == NULL)
        {
          topic->snapshot_end_offset = page.end;
          topic->snapshot_sent_us = topic->sent_us;
          topic->params.events->snapshot_begin (topic->params.context);
        }
      deliver_records (topic, &page);
      g_clear_pointer (&topic->after_key, g_free);
      if (page.more && page.records->len > 0)
        {
          const struct pfs_record *last
              = g_ptr_array_index (page.records, page.records->len - 1);
          topic->after_key = g_strdup (last->key);
        }
      else
        {
          topic->in_snapshot = false;
          topic->needs_snapshot = false;
          topic->next_offset = topic->snapshot_end_offset;
          topic->params.events->snapshot_end (topic->params.context,
                                              topic->snapshot_end_offset);
          topic->params.events->current (topic->params.context,
                                         topic->snapshot_sent_us,
                                         topic->snapshot_end_offset);
        }
    }
  pfs_clear_page (&page);
  return valid;
}

/* Handles a page of appended records.  Returns false when it is invalid.  */
static bool
handle_read (struct tpc_topic *topic, const uint8_t *body, size_t body_bytes,
             GError **error)
{
  struct pfs_page page;
  bool valid
      = pfs_decode_read (body, body_bytes, topic->next_offset, &page, error);
  if (valid)
    {
      record_success (topic);
      deliver_records (topic, &page);
      if (page.end < topic->next_offset)
        {
          begin_snapshot (topic); /* the topic was deleted and created again */
          topic->needs_snapshot = true;
        }
      else if (!page.more)
        {
          topic->next_offset = page.end;
          topic->params.events->current (topic->params.context, topic->sent_us,
                                         topic->next_offset);
        }
      else if (page.records->len > 0)
        {
          const struct pfs_record *last
              = g_ptr_array_index (page.records, page.records->len - 1);
          topic->next_offset = last->offset + 1;
        }
    }
  pfs_clear_page (&page);
  return valid;
}

/* Handles an answer of a relay.  Returns false when it is invalid or its proof
   is too old.  */
static bool
handle_relay_answer (struct tpc_topic *topic, const uint8_t *body,
                     size_t body_bytes, GError **error)
{
  struct pfs_page page;
  int64_t lead_us = 0;
  bool valid = rly_decode (body, body_bytes, &page, &lead_us, error);
  int64_t proved_us = topic->sent_us + lead_us;
  if (valid && clk_monotonic_us () - proved_us > RELAY_PROOF_AGE_MAX_US)
    {
      valid = false;
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "the relay's proof is too old");
    }
  if (valid)
    {
      record_success (topic);
      deliver_records (topic, &page);
      topic->in_snapshot = false;
      topic->next_offset = MAX (topic->next_offset, page.end);
      topic->params.events->current (topic->params.context, proved_us,
                                     topic->next_offset);
    }
  pfs_clear_page (&page);
  return valid;
}

/* Handles the answer to a call and schedules the next one.  */
static void
on_answer (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  struct tpc_topic *topic = context;
  topic->call = NULL;
  bool relayed = topic->uses_relay;
  if (relayed && status != HTTP_STATUS_OK)
    {
      fall_back_to_store (topic, status, why);
      return;
    }
  if (status == HTTP_STATUS_GONE && !topic->in_snapshot)
    {
      lg_line (LOG_NOTICE, "history_lost", "topic=%s offset=%lu",
               topic->params.topic, (unsigned long)topic->next_offset);
      begin_snapshot (topic);
      topic->needs_snapshot = true;
      send_call (topic);
      return;
    }
  if (status != HTTP_STATUS_OK)
    {
      handle_failure (topic, status, why);
      return;
    }
  g_autoptr (GError) error = NULL;
  bool was_snapshot = topic->in_snapshot;
  bool valid = relayed ? handle_relay_answer (topic, body, body_bytes, &error)
               : was_snapshot
                   ? handle_snapshot_page (topic, body, body_bytes, &error)
                   : handle_read (topic, body, body_bytes, &error);
  if (!valid && relayed)
    {
      fall_back_to_store (topic, status, error->message);
      return;
    }
  if (!valid)
    {
      handle_failure (topic, 0, error->message);
      return;
    }
  uint32_t interval_ms
      = relayed ? RELAY_INTERVAL_MS : topic->params.poll_interval_ms;
  schedule_call (topic, was_snapshot || topic->in_snapshot ? 0 : interval_ms);
}

/* Sends the next call, to the store or a relay.  */
static void
send_call (struct tpc_topic *topic)
{
  choose_source (topic);
  /* After a failure the answer must come at once: it shows whether the topic
     can be read, even without a new record. */
  bool at_once = topic->in_snapshot || topic->failed;
  uint32_t wait_ms = topic->uses_relay ? RELAY_WAIT_MS
                     : at_once         ? 0
                                       : topic->params.wait_ms;
  char *path
      = topic->uses_relay
            ? rly_path (topic->params.topic, topic->next_offset, wait_ms)
        : topic->in_snapshot
            ? pfs_newest_path (topic->params.topic, topic->after_key)
            : pfs_read_path (topic->params.topic, topic->next_offset, wait_ms);
  const struct cal_params params = {
    .client = topic->params.client,
    .loop = topic->params.loop,
    .address = topic->uses_relay ? topic->params.relays[topic->relay_index]
                                 : topic->address,
    .method = "GET",
    .path = path,
    .timeout_ms
    = wait_ms
      + (topic->uses_relay ? RELAY_TIMEOUT_MS : topic->answer_timeout_ms),
    .done = on_answer,
    .context = topic,
  };
  topic->sent_us = clk_monotonic_us ();
  topic->call = cal_send (&params);
  g_free (path);
}

/* Starts to follow the topic of PARAMS.  */
struct tpc_topic *
tpc_create (const struct tpc_params *params)
{
  struct tpc_topic *topic = g_new0 (struct tpc_topic, 1);
  topic->params = *params;
  topic->address = g_strdup (params->address);
  topic->retry_ms = RETRY_MIN_MS;
  topic->answer_timeout_ms = ANSWER_TIMEOUT_MS;
  topic->last_success_us = clk_monotonic_us ();
  while (params->relays != NULL && params->relays[topic->relay_count] != NULL)
    {
      topic->relay_count++;
    }
  use_store (topic);
  uv_timer_init (params->loop, &topic->timer);
  topic->timer.data = topic;
  begin_snapshot (topic);
  topic->needs_snapshot = true;
  send_call (topic);
  return topic;
}

/* Uses relays even while the store works if PREFER, or else only while the
   store fails.  */
void
tpc_prefer_relays (struct tpc_topic *topic, bool prefer)
{
  topic->params.prefer_relays = prefer;
}

/* Sets how long reads of the store wait for a record, from the next call
   on. */
void
tpc_set_wait (struct tpc_topic *topic, uint32_t wait_ms)
{
  topic->params.wait_ms = wait_ms;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  struct tpc_topic *topic = handle->data;
  g_free (topic->after_key);
  g_free (topic->address);
  g_free (topic);
}

/* Stops following TOPIC and frees it; the loop must run once more
   afterwards.  */
void
tpc_destroy (struct tpc_topic *topic)
{
  if (topic->call != NULL)
    {
      cal_cancel (topic->call);
    }
  uv_close ((uv_handle_t *)&topic->timer, on_timer_closed);
}
