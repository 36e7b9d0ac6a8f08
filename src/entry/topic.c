#include "entry/topic.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "core/departures.h"
#include "core/era.h"
#include "entry/held_query.h"
#include "entry/relay.h"
#include "entry/store_probe.h"
#include "net/call.h"
#include "platform/headers.h"

#include <string.h>

/* Initial time-out of an answer, beyond the wait that was asked for.  A read
   that times out still counts against the store's rate limit, so with a fixed
   time-out every read might fail for ever; the time-out doubles after each
   answer that came too late. */
#define ANSWER_TIMEOUT_MS 900

/* First pause after a failed call; it doubles up to `retry_max_us'. */
#define RETRY_MIN_MS 150

/* A topic that couldn't be read for this long is reported as an outage. */
#define OUTAGE_US (1500 * CLK_MS_US)

/* Shortest time-out of a relay's answer. */
#define RELAY_TIMEOUT_MS 300

/* Pause between an answer of a relay and the next call. */
#define RELAY_INTERVAL_MS 150

struct tpc_topic
{
  struct tpc_params params;
  char *address;
  uv_timer_t timer;
  struct cal_call *call;
  struct spr_probe *probe;
  uint64_t era;         /* of the store, to which the offsets belong */
  bool has_records;     /* of that era */
  bool in_snapshot;     /* reading a snapshot */
  bool restored;        /* the snapshot in progress follows a restore */
  uint64_t lost_offset; /* end of what was read before that restore */
  uint64_t answer_era;  /* stated by the newest answer */
  bool answer_readable; /* that era, or its absence */
  bool holders_known;   /* in that era */
  bool holders_asked;   /* in that era */
  bool awaits_holders;  /* to ask them */
  bool awaits_members;  /* the same, of tpc_set_members */
  bool members_asked;   /* in that era */
  GPtrArray *holders;   /* addresses of the daemons to ask for what the
                           snapshot may lack */
  struct hqr_query *query;
  int64_t ask_until_us;       /* monotonic; nobody is asked later */
  int64_t snapshot_proved_us; /* proof that counts once they were asked */
  char *after_key; /* last key of the previous page; NULL at first */
  uint64_t snapshot_end_offset; /* offset up to which the snapshot holds */
  int64_t snapshot_sent_us; /* monotonic, when its first page was requested */
  uint64_t next_offset;     /* offset to read from */
  GPtrArray *relays;        /* addresses of other daemons' relays */
  struct tpc_topic *const *siblings; /* see tpc_set_siblings */
  uint32_t sibling_count;
  guint relay_index;          /* of the relay in use */
  bool uses_relay;            /* for the newest call */
  bool serves_relay;          /* other daemons rely on this one's proofs */
  int64_t sent_us;            /* newest call; this and the times below:
                                 monotonic */
  int64_t call_before_us;     /* newest call or probe of the store before it */
  int64_t proved_us;          /* newest proof; 0: none */
  int64_t relayless_since_us; /* no relay has answered since then, although
                                 the store has; 0: there is one */
  bool relay_known;           /* a relay has answered since the list was set */
  bool has_hint;              /* of a relay, which wasn't taken yet */
  struct rly_hint hint;
  uint64_t departures_mark; /* what is known of these */
  int64_t last_success_us;
  bool failed;         /* the previous call failed */
  bool store_failed;   /* the newest call of the store failed */
  bool relay_failed;   /* the newest call of a relay failed */
  bool hastened;       /* the next read of the store comes without a pause */
  bool needs_snapshot; /* only the store's snapshot can bring it up to date */
  uint32_t answer_timeout_ms; /* time-out of the next call, beyond its wait */
  uint32_t retry_ms;          /* pause after the next failure of the store */
  uint32_t relay_retry_ms;    /* pause after the next failure of a relay */
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

/* Returns the limit of the time-out of the store's answers.  */
static uint32_t
answer_timeout_max_ms (const struct tpc_topic *topic)
{
  return (uint32_t)(topic->params.plan.answer_timeout_max_us / CLK_MS_US);
}

/* Returns the limit of the pause after a failed call.  */
static uint32_t
retry_max_ms (const struct tpc_topic *topic)
{
  return (uint32_t)(topic->params.plan.retry_max_us / CLK_MS_US);
}

/* Makes the next call begin a snapshot.  */
static void
begin_snapshot (struct tpc_topic *topic)
{
  topic->in_snapshot = true;
  g_clear_pointer (&topic->after_key, g_free);
}

/* True when relays are read even while the store works.  */
bool
tpc_reads_relays (const struct tpc_topic *topic)
{
  return topic->params.prefers_relays && topic->relays->len > 0;
}

/* Passes a proof on: the topic held nothing after END at PROVED_US.  */
static void
report_current (struct tpc_topic *topic, int64_t proved_us, uint64_t end)
{
  topic->proved_us = MAX (topic->proved_us, proved_us);
  topic->params.events->current (topic->params.context, proved_us, end);
}

/* Decides whom the next call asks, and returns it.  After a failure of a relay
   another one is chosen, if there is one.  */
static struct rfs_call
choose_source (struct tpc_topic *topic)
{
  const struct rfs_situation situation = {
    .proof_age_us = topic->proved_us == 0
                        ? INT64_MAX / 2
                        : clk_monotonic_us () - topic->proved_us,
    .prefers_relays = tpc_reads_relays (topic),
    .has_relays = topic->relays->len > 0,
    .needs_snapshot = topic->needs_snapshot,
    .store_failed = topic->store_failed,
    .relay_failed = topic->uses_relay && topic->failed,
  };
  struct rfs_call call = rfs_next_call (&topic->params.plan, &situation);
  bool change = topic->relay_failed || !topic->relay_known;
  if (call.to_relay && change)
    {
      topic->relay_index += (guint)g_random_int_range (
          1, (gint32)MAX (topic->relays->len, 2));
    }
  if (topic->relays->len > 0)
    {
      topic->relay_index %= topic->relays->len;
    }
  topic->uses_relay = call.to_relay;
  return call;
}

/* Handles a failure of the relay: another one or the store is asked after a
   pause, which is cut short when the proof reaches its age limit.  */
static void
handle_relay_failure (struct tpc_topic *topic, uint32_t status,
                      const char *why)
{
  int64_t now_us = clk_monotonic_us ();
  /* The store's turn comes early for an old proof, unless it fails too. */
  int64_t left_us
      = topic->store_failed
            ? INT64_MAX
            : topic->proved_us + topic->params.plan.age_max_us - now_us;
  lg_line (LOG_INFO, "relay_left",
           "topic=%s relay=%s status=%u why=\"%s\" proof_age_ms=%ld",
           topic->params.topic,
           (char *)g_ptr_array_index (topic->relays, topic->relay_index),
           status, why, (long)((now_us - topic->proved_us) / CLK_MS_US));
  topic->failed = true;
  topic->relay_failed = true;
  int64_t pause_ms
      = topic->relay_retry_ms + g_random_int_range (0, RETRY_MIN_MS);
  topic->relay_retry_ms
      = MIN (topic->relay_retry_ms * 2, retry_max_ms (topic));
  schedule_call (topic, (uint64_t)CLAMP (left_us / CLK_MS_US, 0, pause_ms));
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
    }
  if (topic->in_outage)
    {
      topic->params.events->outage (topic->params.context, topic->sent_us,
                                    reason);
    }
  topic->failed = true;
  topic->store_failed = true;
  topic->relayless_since_us = 0;
  spr_start (topic->probe, topic->next_offset);
  if (status == 0)
    {
      /* After a time-out the records that were appended meanwhile may be
         larger than a snapshot. */
      topic->answer_timeout_ms
          = MIN (topic->answer_timeout_ms * 2, answer_timeout_max_ms (topic));
      begin_snapshot (topic);
    }
  /* The time that the call itself took counts towards the pause. */
  bool relay_next = tpc_reads_relays (topic) && !topic->needs_snapshot;
  int64_t pause_ms = (relay_next ? 0 : topic->retry_ms)
                     + g_random_int_range (0, RETRY_MIN_MS);
  int64_t spent_ms = (now_us - topic->sent_us) / CLK_MS_US;
  schedule_call (topic, (uint64_t)MAX (pause_ms - spent_ms, 0));
  topic->retry_ms = MIN (topic->retry_ms * 2, retry_max_ms (topic));
}

/* Makes the next call at once, since the store answers again.  A call that it
   hasn't answered is repeated; a relay goes on holding one.  */
static void
repeat_call (struct tpc_topic *topic)
{
  bool waits_for_relay = topic->uses_relay && topic->call != NULL;
  topic->store_failed = false;
  if (waits_for_relay)
    {
      return;
    }
  if (topic->call != NULL)
    {
      cal_cancel (topic->call);
      topic->call = NULL;
    }
  schedule_call (topic, 0);
}

/* Repeats the calls of the other topics of the store that have failed, since
   it has answered TOPIC.  */
static void
repeat_siblings (const struct tpc_topic *topic)
{
  for (uint32_t i = 0; i < topic->sibling_count; i++)
    {
      struct tpc_topic *sibling = topic->siblings[i];
      if (sibling != topic && sibling->store_failed)
        {
          repeat_call (sibling);
        }
    }
}

/* Resets the state of failures after a valid answer of the store, or of a
   relay if RELAYED.  */
static void
record_success (struct tpc_topic *topic, bool relayed)
{
  bool had_failed = topic->store_failed;
  int64_t unread_us = clk_monotonic_us () - topic->last_success_us;
  topic->failed = false;
  topic->last_success_us = clk_monotonic_us ();
  spr_stop (topic->probe);
  if (relayed)
    {
      topic->relay_failed = false;
      topic->relay_retry_ms = RETRY_MIN_MS;
      topic->relay_known = true;
      topic->relayless_since_us = 0;
    }
  else
    {
      topic->store_failed = false;
      topic->answer_timeout_ms
          = MIN (ANSWER_TIMEOUT_MS, answer_timeout_max_ms (topic));
      topic->retry_ms = RETRY_MIN_MS;
      if (tpc_reads_relays (topic) && topic->relay_failed
          && topic->relayless_since_us == 0)
        {
          topic->relayless_since_us = topic->last_success_us;
        }
      if (had_failed)
        {
          repeat_siblings (topic);
        }
    }
  if (topic->in_outage)
    {
      topic->in_outage = false;
      if (!relayed)
        {
          topic->params.events->outage (topic->params.context,
                                        topic->call_before_us, "regained");
        }
      lg_line (LOG_NOTICE, "store_regained",
               "topic=%s relayed=%d unread_ms=%ld unanswered_ms_ago=%ld",
               topic->params.topic, relayed, (long)(unread_us / CLK_MS_US),
               (long)((topic->last_success_us - topic->call_before_us)
                      / CLK_MS_US));
    }
}

/* Asks the daemons at ADDRESSES for what the snapshot may lack.  */
static void
ask_holders (struct tpc_topic *topic, const GPtrArray *addresses,
             bool until_known)
{
  const struct hqr_question question = {
    .era = topic->era,
    .addresses = addresses,
    .until_known = until_known,
    .until_us = topic->ask_until_us,
  };
  hqr_start (topic->query, &question);
}

/* Begins to ask the daemons that may hold more than the snapshot.  */
static void
begin_asking (struct tpc_topic *topic)
{
  topic->awaits_holders = false;
  topic->ask_until_us = clk_monotonic_us () + topic->params.plan.age_max_us;
  ask_holders (topic, topic->holders, false);
}

/* Passes on what another daemon holds.  */
static void
on_held (void *context, const struct pfs_record *record, uint64_t era)
{
  struct tpc_topic *topic = context;
  topic->params.events->held (topic->params.context, record,
                              era == topic->era);
}

/* Handles that the daemons were asked.  If none of them knows the topic, that
   doesn't show that nobody does, so members of the group are asked too, where
   the callbacks provide for it.  After these the snapshot is current.  */
static void
on_query_ended (void *context, bool known)
{
  struct tpc_topic *topic = context;
  if (!known && !topic->members_asked && topic->params.events->unknown != NULL)
    {
      topic->members_asked = true;
      topic->awaits_members = true;
      topic->params.events->unknown (topic->params.context);
      return;
    }
  report_current (topic, topic->snapshot_proved_us, topic->next_offset);
  schedule_call (topic, 0);
}

static const struct hqr_events query_events = {
  .held = on_held,
  .ended = on_query_ended,
};

/* Ends the snapshot up to the offset END, which shows the topic at PROVED_US.
   A store that states its era may have been restored: the first snapshot of an
   era becomes current only when other daemons have been asked.  */
static void
end_snapshot (struct tpc_topic *topic, uint64_t end, int64_t proved_us)
{
  topic->in_snapshot = false;
  topic->needs_snapshot = false;
  topic->next_offset = end;
  topic->params.events->snapshot_end (topic->params.context, end);
  if (topic->restored)
    {
      topic->restored = false;
      lg_line (LOG_NOTICE, "store_read_again",
               "topic=%s era=%lu offset=%lu offset_before=%lu",
               topic->params.topic, (unsigned long)topic->era,
               (unsigned long)end, (unsigned long)topic->lost_offset);
      topic->lost_offset = 0;
    }
  if (topic->era == ERA_UNKNOWN || topic->holders_asked)
    {
      report_current (topic, proved_us, end);
      return;
    }
  topic->holders_asked = true;
  topic->snapshot_proved_us = proved_us;
  topic->awaits_holders = !topic->holders_known;
  if (!topic->awaits_holders)
    {
      begin_asking (topic);
    }
}

/* Begins to read the topic in ERA of the store: what was read in another era
   is no position to continue from.  */
static void
begin_era (struct tpc_topic *topic, uint64_t era)
{
  bool restored = topic->has_records || topic->era != ERA_UNKNOWN;
  if (restored)
    {
      lg_line (LOG_WARNING, "store_restored",
               "topic=%s era=%lu before=%lu offset=%lu", topic->params.topic,
               (unsigned long)era, (unsigned long)topic->era,
               (unsigned long)topic->next_offset);
      topic->restored = true;
      topic->lost_offset = MAX (topic->lost_offset, topic->next_offset);
    }
  topic->era = era;
  topic->has_records = false;
  topic->holders_asked = false;
  topic->awaits_holders = false;
  topic->awaits_members = false;
  topic->members_asked = false;
  topic->holders_known = false;
  hqr_stop (topic->query);
  topic->proved_us = 0;
  topic->next_offset = 0;
  begin_snapshot (topic);
  topic->needs_snapshot = true;
  topic->params.events->era (topic->params.context, era, restored);
}

/* Passes the records of PAGE to the callback.  */
static void
deliver_records (struct tpc_topic *topic, const struct pfs_page *page)
{
  topic->has_records = true;
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
      record_success (topic, false);
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
          end_snapshot (topic, topic->snapshot_end_offset,
                        topic->snapshot_sent_us);
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
      record_success (topic, false);
      deliver_records (topic, &page);
      if (page.end < topic->next_offset)
        {
          begin_snapshot (topic); /* the topic was deleted and created again */
          topic->needs_snapshot = true;
        }
      else if (!page.more)
        {
          topic->next_offset = page.end;
          report_current (topic, topic->sent_us, topic->next_offset);
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

/* Takes the records of PAGE, which continue the position, with the proof of
   PROVED_US.  */
static void
continue_from_relay (struct tpc_topic *topic, const struct pfs_page *page,
                     int64_t proved_us)
{
  /* The relay may have been through an outage of the store that this daemon
     hasn't noticed. */
  if (topic->proved_us != 0
      && proved_us - topic->proved_us > topic->params.plan.gap_max_us)
    {
      topic->params.events->outage (topic->params.context, topic->sent_us,
                                    "no proof for too long");
    }
  deliver_records (topic, page);
  topic->in_snapshot = false;
  topic->next_offset = MAX (topic->next_offset, page->end);
  report_current (topic, proved_us, topic->next_offset);
}

/* Takes PAGE, which has all records of a topic in ERA, with the proof of
   PROVED_US.  */
static void
restart_from_relay (struct tpc_topic *topic, const struct pfs_page *page,
                    uint64_t era, int64_t proved_us)
{
  begin_era (topic, era);
  topic->params.events->snapshot_begin (topic->params.context);
  deliver_records (topic, page);
  end_snapshot (topic, page->end, proved_us);
}

/* Passes on the departures that HEAD has.  They hold whatever the era and the
   proof are.  */
static void
deliver_departures (struct tpc_topic *topic, const struct rly_head *head)
{
  if (topic->params.events->departure == NULL)
    {
      return;
    }
  for (guint i = 0; i < head->departures->len; i++)
    {
      const struct dep_departure *departure
          = g_ptr_array_index (head->departures, i);
      topic->params.events->departure (topic->params.context, departure->id,
                                       departure->born_ms);
    }
  if (head->departures_mark != RLY_NO_DEPARTURES)
    {
      topic->departures_mark = head->departures_mark;
    }
}

/* Handles an answer of a relay.  Returns false when it is invalid, its proof
   is too old or its era is no continuation.  */
static bool
handle_relay_answer (struct tpc_topic *topic, const uint8_t *body,
                     size_t body_bytes, GError **error)
{
  struct pfs_page page;
  struct rly_head head = { 0 };
  bool valid = rly_decode (body, body_bytes, &page, &head, error);
  if (valid)
    {
      deliver_departures (topic, &head);
    }
  int64_t proved_us = topic->sent_us + head.proof_lead_us;
  enum era_use use = era_use_of_page (topic->era, head.era, head.whole);
  if (valid && use == ERA_REJECT)
    {
      valid = false;
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "the relay's era of the store is %" G_GUINT64_FORMAT
                   " instead of %" G_GUINT64_FORMAT,
                   head.era, topic->era);
    }
  if (valid && clk_monotonic_us () - proved_us > topic->params.plan.age_max_us)
    {
      valid = false;
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "the relay's proof is too old");
    }
  if (valid)
    {
      record_success (topic, true);
      topic->hint = head.hint;
      topic->has_hint = true;
      if (use == ERA_RESTART)
        {
          restart_from_relay (topic, &page, head.era, proved_us);
        }
      else
        {
          continue_from_relay (topic, &page, proved_us);
        }
    }
  pfs_clear_page (&page);
  rly_clear_head (&head);
  return valid;
}

/* Reads the era of the store that RESPONSE states.  */
static void
on_headers (void *context, uint32_t status, const struct msg_message *response)
{
  (void)status;
  struct tpc_topic *topic = context;
  g_autoptr (GError) error = NULL;
  topic->answer_readable = pfs_decode_era (msg_find (response, PFH_STORE_ERA),
                                           &topic->answer_era, &error);
  if (!topic->answer_readable)
    {
      lg_line (LOG_ERR, "store_era_refused", "topic=%s why=\"%s\"",
               topic->params.topic, error->message);
    }
}

/* Handles the era of an answer of the store with STATUS.  Returns false when
   the answer can't be used beyond that; the next call is scheduled then.  */
static bool
handle_era (struct tpc_topic *topic, uint32_t status)
{
  if (!topic->answer_readable)
    {
      handle_failure (topic, 0, "the era can't be read");
      return false;
    }
  switch (era_compare (topic->era, topic->answer_era))
    {
    case ERA_SAME:
      return true;
    case ERA_STALE:
      lg_line (LOG_NOTICE, "store_answer_stale", "topic=%s era=%lu known=%lu",
               topic->params.topic, (unsigned long)topic->answer_era,
               (unsigned long)topic->era);
      schedule_call (topic, RETRY_MIN_MS);
      return false;
    case ERA_RISEN:
      break;
    }
  bool is_first_page = topic->in_snapshot && topic->after_key == NULL;
  begin_era (topic, topic->answer_era);
  if (!is_first_page
      && (status == HTTP_STATUS_OK || status == HTTP_STATUS_GONE))
    {
      send_call (topic);
      return false;
    }
  return true;
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
      handle_relay_failure (topic, status, why);
      return;
    }
  if (!relayed && !handle_era (topic, status))
    {
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
      handle_relay_failure (topic, status, error->message);
      return;
    }
  if (!valid)
    {
      handle_failure (topic, 0, error->message);
      return;
    }
  int64_t interval_us = relayed ? RELAY_INTERVAL_MS * CLK_MS_US
                                : topic->params.plan.interval_us;
  /* Relays pass changes on at once, so a reader asks one without delay. */
  bool at_once
      = was_snapshot || topic->in_snapshot
        || (!relayed && (topic->hastened || tpc_reads_relays (topic)));
  schedule_call (topic, at_once ? 0 : (uint64_t)(interval_us / CLK_MS_US));
}

/* Returns how long a store read waits for a record, in milliseconds.  After a
   failure the answer must come at once: it shows whether the topic can be
   read, even without a new record.  So it must for a reader of relays, which
   only needs a proof.  */
static uint32_t
store_wait_ms (const struct tpc_topic *topic)
{
  const struct rfs_topic *plan = &topic->params.plan;
  if (topic->in_snapshot || topic->failed || tpc_reads_relays (topic))
    {
      return 0;
    }
  return (uint32_t)((topic->serves_relay ? plan->relay_wait_us : plan->wait_us)
                    / CLK_MS_US);
}

/* Sends the next call, to the store or a relay.  */
static void
send_call (struct tpc_topic *topic)
{
  if (topic->awaits_holders || topic->awaits_members
      || hqr_is_active (topic->query))
    {
      return;
    }
  struct rfs_call call = choose_source (topic);
  uint32_t wait_ms = call.to_relay ? (uint32_t)(call.wait_us / CLK_MS_US)
                                   : store_wait_ms (topic);
  /* A relay that holds the call has an old proof too. */
  uint32_t age_max_ms
      = call.holds ? UINT32_MAX
                   : (uint32_t)(topic->params.plan.age_max_us / CLK_MS_US);
  const struct rly_request request = {
    .topic = topic->params.topic,
    .era = topic->era,
    .from = topic->next_offset,
    .wait_ms = wait_ms,
    .age_max_ms = age_max_ms,
    .departures_mark = topic->departures_mark,
  };
  char *path
      = call.to_relay ? rly_path (&request)
        : topic->in_snapshot
            ? pfs_newest_path (topic->params.topic, topic->after_key)
            : pfs_read_path (topic->params.topic, topic->next_offset, wait_ms);
  const struct cal_params params = {
    .client = topic->params.client,
    .loop = topic->params.loop,
    .address = call.to_relay
                   ? g_ptr_array_index (topic->relays, topic->relay_index)
                   : topic->address,
    .method = "GET",
    .path = path,
    .reuses_connection = true,
    .timeout_ms = call.to_relay ? MAX (wait_ms, RELAY_TIMEOUT_MS)
                                : wait_ms + topic->answer_timeout_ms,
    .headers = on_headers,
    .done = on_answer,
    .context = topic,
  };
  topic->hastened = false;
  topic->answer_era = ERA_UNKNOWN;
  topic->answer_readable = true;
  topic->sent_us = clk_monotonic_us ();
  if (!call.to_relay)
    {
      topic->call_before_us = spr_add_call (topic->probe, topic->sent_us);
    }
  /* Relays answer waiting readers as soon as one of them reads the store. */
  if (call.to_relay && call.holds)
    {
      spr_stop (topic->probe);
    }
  else if (topic->store_failed)
    {
      spr_start (topic->probe, topic->next_offset);
    }
  topic->call = cal_send (&params);
  g_free (path);
}

/* Handles an answer of the store to a probe.  */
static void
on_probe_answered (void *context)
{
  struct tpc_topic *topic = context;
  repeat_call (topic);
  repeat_siblings (topic);
}

/* Creates the probe of the store that TOPIC reads.  */
static struct spr_probe *
create_probe (struct tpc_topic *topic)
{
  const struct spr_params params = {
    .client = topic->params.client,
    .loop = topic->params.loop,
    .address = topic->address,
    .topic = topic->params.topic,
    .interval_us = topic->params.plan.probe_us,
    .timeout_ms = answer_timeout_max_ms (topic),
    .answered = on_probe_answered,
    .context = topic,
  };
  return spr_create (&params);
}

/* Creates the query at other daemons about TOPIC.  */
static struct hqr_query *
create_query (struct tpc_topic *topic)
{
  const struct hqr_params params = {
    .client = topic->params.client,
    .loop = topic->params.loop,
    .topic = topic->params.topic,
    .age_max_us = topic->params.plan.age_max_us,
    .events = &query_events,
    .context = topic,
  };
  return hqr_create (&params);
}

/* Starts to follow the topic of PARAMS.  */
struct tpc_topic *
tpc_create (const struct tpc_params *params)
{
  struct tpc_topic *topic = g_new0 (struct tpc_topic, 1);
  topic->params = *params;
  topic->address = g_strdup (params->address);
  topic->relays = g_ptr_array_new_with_free_func (g_free);
  topic->holders = g_ptr_array_new_with_free_func (g_free);
  topic->departures_mark = params->events->departure == NULL
                               ? RLY_NO_DEPARTURES
                               : RLY_ALL_DEPARTURES;
  topic->retry_ms = RETRY_MIN_MS;
  topic->relay_retry_ms = RETRY_MIN_MS;
  topic->answer_timeout_ms
      = MIN (ANSWER_TIMEOUT_MS, answer_timeout_max_ms (topic));
  topic->last_success_us = clk_monotonic_us ();
  uv_timer_init (params->loop, &topic->timer);
  topic->timer.data = topic;
  topic->probe = create_probe (topic);
  topic->query = create_query (topic);
  begin_snapshot (topic);
  topic->needs_snapshot = true;
  send_call (topic);
  return topic;
}

/* Replaces the relays of other daemons by those at ADDRESSES.  */
void
tpc_set_relays (struct tpc_topic *topic, const GPtrArray *addresses)
{
  g_ptr_array_set_size (topic->relays, 0);
  for (guint i = 0; i < addresses->len; i++)
    {
      g_ptr_array_add (topic->relays,
                       g_strdup (g_ptr_array_index (addresses, i)));
    }
  topic->relay_index = 0;
  topic->relay_known = false;
}

/* Sets the daemons that are asked for what the first snapshot of the present
   era may lack to those at ADDRESSES.  */
void
tpc_set_holders (struct tpc_topic *topic, const GPtrArray *addresses)
{
  if (topic->holders_known)
    {
      return;
    }
  topic->holders_known = true;
  g_ptr_array_set_size (topic->holders, 0);
  for (guint i = 0; i < addresses->len; i++)
    {
      g_ptr_array_add (topic->holders,
                       g_strdup (g_ptr_array_index (addresses, i)));
    }
  if (topic->awaits_holders)
    {
      begin_asking (topic);
    }
}

/* Sets the members of the group that are asked after `unknown', until one
   knows the topic, to those at ADDRESSES.  */
void
tpc_set_members (struct tpc_topic *topic, const GPtrArray *addresses)
{
  if (topic->awaits_members)
    {
      topic->awaits_members = false;
      ask_holders (topic, addresses, true);
    }
}

/* Uses relays even while the store works if PREFER, or else only while the
   store fails.  */
void
tpc_prefer_relays (struct tpc_topic *topic, bool prefer)
{
  topic->params.prefers_relays = prefer;
}

/* Sets the COUNT topics of the same store, TOPIC among them, that learn from
   one another that it answers again.  The array must outlive their calls.  */
void
tpc_set_siblings (struct tpc_topic *topic, struct tpc_topic *const *siblings,
                  uint32_t count)
{
  topic->siblings = siblings;
  topic->sibling_count = count;
}

/* Reads the store more often if SERVES, since other daemons rely on the proofs
   of this one.  */
void
tpc_serve_relay (struct tpc_topic *topic, bool serves)
{
  topic->serves_relay = serves;
}

/* Reads the store once without a pause, unless relays are read or the newest
   call failed.  If a call is under way, the read follows its answer.  */
void
tpc_read_now (struct tpc_topic *topic)
{
  if (tpc_reads_relays (topic) || topic->failed)
    {
      return;
    }
  topic->hastened = true;
  if (topic->call == NULL)
    {
      schedule_call (topic, 0);
    }
}

/* Sets HINT to what a relay told in its newest answer.  Returns false when
   that was taken before.  */
bool
tpc_take_hint (struct tpc_topic *topic, struct rly_hint *hint)
{
  bool is_new = topic->has_hint;
  topic->has_hint = false;
  *hint = topic->hint;
  return is_new;
}

/* Returns for how long, at the monotonic time NOW_US, no relay has answered
   although the store has; 0: there is one.  */
int64_t
tpc_relayless_us (const struct tpc_topic *topic, int64_t now_us)
{
  return topic->relayless_since_us == 0 ? 0
                                        : now_us - topic->relayless_since_us;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  struct tpc_topic *topic = handle->data;
  g_free (topic->after_key);
  g_free (topic->address);
  g_ptr_array_free (topic->relays, TRUE);
  g_ptr_array_free (topic->holders, TRUE);
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
  spr_destroy (topic->probe);
  hqr_destroy (topic->query);
  uv_close ((uv_handle_t *)&topic->timer, on_timer_closed);
}
