#include "entry/topic.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "entry/relay.h"
#include "net/call.h"

#include <string.h>

/* How long an answer may take at first, beyond the wait that was asked for.
   Reads that are given up still cost the store its rate, so that ever the same
   bound could end them all: it grows after answers that came too late. */
#define ANSWER_MS 900

/* Pauses after failed calls: the first, and the longest. */
#define RETRY_FIRST_MS 150
#define RETRY_LONGEST_MS 1000

/* A topic that can't be read so long is out. */
#define OUTAGE_US (1500 * CLK_MS_US)

/* How long a relay may wait for news, and its answer may take beyond that.  A
   relay that is silent or out of touch must not hold a change up for long. */
#define RELAY_WAIT_MS 700
#define RELAY_ANSWER_MS 300
#define RELAY_PROOF_AGE_US (1600 * CLK_MS_US)

/* At least this passes between two answers of a relay. */
#define RELAY_PACE_MS 150

/* After a start or a failure the store itself is read for this time at least,
   and twice as long at most, before a relay is asked. */
#define STORE_ONLY_MS 3000

struct tpc_topic
{
  struct tpc_params params;
  char *address;
  uv_timer_t timer;
  struct cal_call *call;
  bool listing;      /* reading all keys */
  char *after;       /* last key of the page before; NULL at the first */
  uint64_t list_end; /* of the topic when the listing began */
  int64_t list_us;   /* when that was */
  uint64_t next;     /* offset to read from */
  uint32_t relay_count;
  uint32_t relay; /* index of the one in use */
  bool at_relay;
  int64_t store_until_us; /* no relay is asked before */
  int64_t sent_us;
  int64_t last_good_us;
  bool failed;        /* the call before this one */
  bool store_failed;  /* it was made to the store */
  bool must_list;     /* only a reading of all keys helps */
  uint32_t answer_ms; /* how long the next answer may take */
  uint32_t retry_ms;
  bool out;
};

static void step (struct tpc_topic *topic);

static void
on_timer (uv_timer_t *timer)
{
  step (timer->data);
}

static void
step_after (struct tpc_topic *topic, uint64_t delay_ms)
{
  uv_timer_start (&topic->timer, on_timer, delay_ms, 0);
}

/* Begins a reading of all keys.  */
static void
begin_listing (struct tpc_topic *topic)
{
  topic->listing = true;
  g_clear_pointer (&topic->after, g_free);
}

/* Lets the store itself be read for a while.  */
static void
go_to_store (struct tpc_topic *topic)
{
  topic->at_relay = false;
  topic->store_until_us
      = clk_monotonic_us ()
        + g_random_int_range (STORE_ONLY_MS, 2 * STORE_ONLY_MS) * CLK_MS_US;
}

/* Moves on to a relay when it is time for that, or when the store failed.  A
   topic that has to be read as a whole is read in the store.  */
static void
choose_source (struct tpc_topic *topic)
{
  bool chosen = topic->params.relays_first
                && clk_monotonic_us () >= topic->store_until_us;
  if (topic->relay_count > 0 && !topic->at_relay && !topic->must_list
      && (topic->store_failed || chosen))
    {
      topic->at_relay = true;
      topic->relay
          = (uint32_t)g_random_int_range (0, (gint32)topic->relay_count);
    }
  topic->store_failed = false;
}

/* Takes a relay's failure: the store is read at once instead.  */
static void
leave_relay (struct tpc_topic *topic, uint32_t status, const char *why)
{
  lg_line (LOG_INFO, "relay_left", "topic=%s relay=%s status=%u why=\"%s\"",
           topic->params.topic, topic->params.relays[topic->relay], status,
           why);
  go_to_store (topic);
  topic->failed = true;
  step (topic);
}

/* Takes a failed call: tries again after a pause.  */
static void
take_failure (struct tpc_topic *topic, uint32_t status, const char *why)
{
  char reason[64];
  g_snprintf (reason, sizeof reason, "%s",
              status == 0 ? why : msg_reason (status));
  int64_t now_us = clk_monotonic_us ();
  if (!topic->out && now_us - topic->last_good_us >= OUTAGE_US)
    {
      topic->out = true;
      lg_line (LOG_WARNING, "store_lost",
               "topic=%s status=%u why=\"%s\" good_ms_ago=%ld",
               topic->params.topic, status, reason,
               (long)((now_us - topic->last_good_us) / CLK_MS_US));
      topic->params.events->outage (topic->params.context, reason);
    }
  topic->failed = true;
  topic->store_failed = true;
  if (status == 0)
    {
      /* What was appended meanwhile may be more than all keys together. */
      topic->answer_ms
          = MAX (MIN (topic->answer_ms * 2, topic->params.answer_longest_ms),
                 ANSWER_MS);
      begin_listing (topic);
    }
  /* A call that was silent for long has kept the pause already. */
  int64_t pause_ms = topic->retry_ms + g_random_int_range (0, RETRY_FIRST_MS);
  int64_t spent_ms = (now_us - topic->sent_us) / CLK_MS_US;
  step_after (topic, (uint64_t)MAX (pause_ms - spent_ms, 0));
  topic->retry_ms = MIN (topic->retry_ms * 2, RETRY_LONGEST_MS);
}

/* Takes a good answer: what failed before is over.  */
static void
take_success (struct tpc_topic *topic)
{
  topic->failed = false;
  topic->answer_ms = ANSWER_MS;
  topic->retry_ms = RETRY_FIRST_MS;
  topic->last_good_us = clk_monotonic_us ();
  if (topic->out)
    {
      topic->out = false;
      lg_line (LOG_NOTICE, "store_regained", "topic=%s", topic->params.topic);
    }
}

static void
tell_records (struct tpc_topic *topic, const struct pfs_page *page)
{
  for (guint i = 0; i < page->records->len; i++)
    {
      topic->params.events->record (topic->params.context,
                                    g_ptr_array_index (page->records, i));
    }
}

/* Takes one page of all keys.  */
static bool
take_listing (struct tpc_topic *topic, const uint8_t *body, size_t body_bytes,
              GError **error)
{
  struct pfs_page page;
  bool valid = pfs_decode_newest (body, body_bytes, &page, error);
  if (valid)
    {
      take_success (topic);
      if (topic->after == NULL)
        {
          topic->list_end = page.end;
          topic->list_us = topic->sent_us;
          topic->params.events->begin_full (topic->params.context);
        }
      tell_records (topic, &page);
      g_clear_pointer (&topic->after, g_free);
      if (page.more && page.records->len > 0)
        {
          const struct pfs_record *last
              = g_ptr_array_index (page.records, page.records->len - 1);
          topic->after = g_strdup (last->key);
        }
      else
        {
          topic->listing = false;
          topic->must_list = false;
          topic->next = topic->list_end;
          topic->params.events->end_full (topic->params.context,
                                          topic->list_end);
          topic->params.events->current (topic->params.context, topic->list_us,
                                         topic->list_end);
        }
    }
  pfs_clear_page (&page);
  return valid;
}

/* Takes what was appended.  */
static bool
take_read (struct tpc_topic *topic, const uint8_t *body, size_t body_bytes,
           GError **error)
{
  struct pfs_page page;
  bool valid = pfs_decode_read (body, body_bytes, topic->next, &page, error);
  if (valid)
    {
      take_success (topic);
      tell_records (topic, &page);
      if (page.end < topic->next)
        {
          begin_listing (topic); /* the topic was made anew */
          topic->must_list = true;
        }
      else if (!page.more)
        {
          topic->next = page.end;
          topic->params.events->current (topic->params.context, topic->sent_us,
                                         topic->next);
        }
      else if (page.records->len > 0)
        {
          const struct pfs_record *last
              = g_ptr_array_index (page.records, page.records->len - 1);
          topic->next = last->offset + 1;
        }
    }
  pfs_clear_page (&page);
  return valid;
}

/* Takes an answer of a relay.  */
static bool
take_relayed (struct tpc_topic *topic, const uint8_t *body, size_t body_bytes,
              GError **error)
{
  struct pfs_page page;
  int64_t lead_us = 0;
  bool valid = rly_decode (body, body_bytes, &page, &lead_us, error);
  int64_t proved_us = topic->sent_us + lead_us;
  if (valid && clk_monotonic_us () - proved_us > RELAY_PROOF_AGE_US)
    {
      valid = false;
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "the relay itself is out of touch");
    }
  if (valid)
    {
      take_success (topic);
      tell_records (topic, &page);
      topic->listing = false;
      topic->next = MAX (topic->next, page.end);
      topic->params.events->current (topic->params.context, proved_us,
                                     topic->next);
    }
  pfs_clear_page (&page);
  return valid;
}

static void
on_answer (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  struct tpc_topic *topic = context;
  topic->call = NULL;
  bool relayed = topic->at_relay;
  if (relayed && status != HTTP_STATUS_OK)
    {
      leave_relay (topic, status, why);
      return;
    }
  if (status == HTTP_STATUS_GONE && !topic->listing)
    {
      lg_line (LOG_NOTICE, "history_lost", "topic=%s offset=%lu",
               topic->params.topic, (unsigned long)topic->next);
      begin_listing (topic);
      topic->must_list = true;
      step (topic);
      return;
    }
  if (status != HTTP_STATUS_OK)
    {
      take_failure (topic, status, why);
      return;
    }
  g_autoptr (GError) error = NULL;
  bool listed = topic->listing;
  bool valid = relayed  ? take_relayed (topic, body, body_bytes, &error)
               : listed ? take_listing (topic, body, body_bytes, &error)
                        : take_read (topic, body, body_bytes, &error);
  if (!valid && relayed)
    {
      leave_relay (topic, status, error->message);
      return;
    }
  if (!valid)
    {
      take_failure (topic, 0, error->message);
      return;
    }
  uint32_t pace_ms = relayed ? RELAY_PACE_MS : topic->params.pace_ms;
  step_after (topic, listed || topic->listing ? 0 : pace_ms);
}

/* Makes the next call.  */
static void
step (struct tpc_topic *topic)
{
  choose_source (topic);
  /* After a failure the state is wanted now, not with the next change. */
  bool at_once = topic->listing || topic->failed;
  uint32_t wait_ms = topic->at_relay ? RELAY_WAIT_MS
                     : at_once       ? 0
                                     : topic->params.wait_ms;
  char *path = topic->at_relay
                   ? rly_path (topic->params.topic, topic->next, wait_ms)
               : topic->listing
                   ? pfs_newest_path (topic->params.topic, topic->after)
                   : pfs_read_path (topic->params.topic, topic->next, wait_ms);
  const struct cal_params params = {
    .client = topic->params.client,
    .loop = topic->params.loop,
    .address
    = topic->at_relay ? topic->params.relays[topic->relay] : topic->address,
    .method = "GET",
    .path = path,
    .timeout_ms
    = wait_ms + (topic->at_relay ? RELAY_ANSWER_MS : topic->answer_ms),
    .done = on_answer,
    .context = topic,
  };
  topic->sent_us = clk_monotonic_us ();
  topic->call = cal_send (&params);
  g_free (path);
}

/* Begins to follow the topic of PARAMS.  */
struct tpc_topic *
tpc_create (const struct tpc_params *params)
{
  struct tpc_topic *topic = g_new0 (struct tpc_topic, 1);
  topic->params = *params;
  topic->address = g_strdup (params->address);
  topic->retry_ms = RETRY_FIRST_MS;
  topic->answer_ms = ANSWER_MS;
  topic->last_good_us = clk_monotonic_us ();
  while (params->relays != NULL && params->relays[topic->relay_count] != NULL)
    {
      topic->relay_count++;
    }
  go_to_store (topic);
  uv_timer_init (params->loop, &topic->timer);
  topic->timer.data = topic;
  begin_listing (topic);
  topic->must_list = true;
  step (topic);
  return topic;
}

/* Lets relays be asked FIRST, or only while the store fails.  */
void
tpc_ask_relays (struct tpc_topic *topic, bool first)
{
  topic->params.relays_first = first;
}

/* Lets the store's answers wait WAIT_MS for a record from the next call on. */
void
tpc_set_wait (struct tpc_topic *topic, uint32_t wait_ms)
{
  topic->params.wait_ms = wait_ms;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  struct tpc_topic *topic = handle->data;
  g_free (topic->after);
  g_free (topic->address);
  g_free (topic);
}

/* Ends what tpc_create began.  */
void
tpc_destroy (struct tpc_topic *topic)
{
  if (topic->call != NULL)
    {
      cal_cancel (topic->call);
    }
  uv_close ((uv_handle_t *)&topic->timer, on_timer_closed);
}
