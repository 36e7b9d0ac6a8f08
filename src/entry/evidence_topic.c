#include "entry/evidence_topic.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/poison.h"
#include "net/call.h"

/* Time-out of a call that publishes records. */
#define PUBLISH_TIMEOUT_MS 900

/* First pause after a call that failed; it doubles up to the plan's limit. */
#define RETRY_MIN_US (150 * CLK_MS_US)

/* Interval of dropping old evidence. */
#define EXPIRE_INTERVAL_US (5 * CLK_S_US)

/* After a restore of the store, the leader publishes the records of daemons
   that may be gone.  It is known again once earlier memberships are over. */
#define RESTORE_US (20 * CLK_S_US)

struct evt_topic
{
  struct evt_params params;
  char *store_address;
  struct tpc_topic *source;
  struct cal_call *call;     /* that publishes records; NULL: none */
  GPtrArray *published;      /* struct psn_record, by that call */
  int64_t publish_us;        /* no call before, monotonic */
  int64_t retry_us;          /* pause after the next failure */
  int64_t expire_us;         /* when old evidence is dropped next */
  int64_t restored_until_us; /* see RESTORE_US; 0: not restored lately */
  bool in_restore_snapshot;  /* it lacks what the restore has lost */
};

static void
on_era (void *context, uint64_t era, bool restored)
{
  struct evt_topic *evidence = context;
  evidence->params.era (evidence->params.context, PFS_QUARANTINE_TOPIC, era,
                        restored);
  if (restored)
    {
      evidence->in_restore_snapshot = true;
      evidence->restored_until_us = clk_monotonic_us () + RESTORE_US;
      qrn_publish_again (evidence->params.quarantine, false);
    }
}

static void
on_snapshot_begin (void *context)
{
  struct evt_topic *evidence = context;
  rly_begin_snapshot (evidence->params.relay, PFS_QUARANTINE_TOPIC);
  qrn_begin_snapshot (evidence->params.quarantine);
}

static void
on_snapshot_end (void *context, uint64_t end)
{
  struct evt_topic *evidence = context;
  rly_end_snapshot (evidence->params.relay, PFS_QUARANTINE_TOPIC, end);
  if (!evidence->in_restore_snapshot)
    {
      qrn_end_snapshot (evidence->params.quarantine);
    }
  evidence->in_restore_snapshot = false;
}

static void
on_record (void *context, const struct pfs_record *record)
{
  struct evt_topic *evidence = context;
  rly_add_record (evidence->params.relay, PFS_QUARANTINE_TOPIC, record);
  qrn_merge (evidence->params.quarantine, record);
  evidence->params.changed (evidence->params.context);
}

/* Handles what another daemon's relay holds.  The removal of a record may have
   been lost in a restore, but holds no evidence.  */
static void
on_held (void *context, const struct pfs_record *record, bool same_era)
{
  struct evt_topic *evidence = context;
  if (same_era || record->value != NULL)
    {
      qrn_merge (evidence->params.quarantine, record);
      evidence->params.changed (evidence->params.context);
    }
}

static void
on_current (void *context, int64_t proved_us, uint64_t end)
{
  struct evt_topic *evidence = context;
  rly_set_current (evidence->params.relay, PFS_QUARANTINE_TOPIC, end,
                   proved_us);
}

static void
on_outage (void *context, int64_t away_us, const char *why)
{
  (void)context;
  (void)away_us;
  (void)why;
}

static const struct tpc_events events = {
  .era = on_era,
  .snapshot_begin = on_snapshot_begin,
  .snapshot_end = on_snapshot_end,
  .record = on_record,
  .held = on_held,
  .current = on_current,
  .outage = on_outage,
};

/* Starts to follow the topic.  */
struct evt_topic *
evt_create (const struct evt_params *params)
{
  struct evt_topic *evidence = g_new0 (struct evt_topic, 1);
  evidence->params = *params;
  evidence->store_address = g_strdup (params->store_address);
  evidence->retry_us = RETRY_MIN_US;
  const struct tpc_params topic_params = {
    .client = params->client,
    .loop = params->loop,
    .address = params->store_address,
    .topic = PFS_QUARANTINE_TOPIC,
    .plan = params->plan,
    .prefers_relays = params->prefers_relays,
    .events = &events,
    .context = evidence,
  };
  evidence->source = tpc_create (&topic_params);
  return evidence;
}

/* Stops following the topic and frees EVIDENCE.  */
void
evt_destroy (struct evt_topic *evidence)
{
  if (evidence->call != NULL)
    {
      cal_cancel (evidence->call);
      g_ptr_array_unref (evidence->published);
    }
  tpc_destroy (evidence->source);
  g_free (evidence->store_address);
  g_free (evidence);
}

/* Returns the topic that EVIDENCE follows.  */
struct tpc_topic *
evt_source (const struct evt_topic *evidence)
{
  return evidence->source;
}

static void
on_published (void *context, uint32_t status, const uint8_t *body,
              size_t body_bytes, const char *why)
{
  (void)body;
  (void)body_bytes;
  struct evt_topic *evidence = context;
  evidence->call = NULL;
  if (status == HTTP_STATUS_OK)
    {
      evidence->retry_us = RETRY_MIN_US;
      lg_line (LOG_INFO, "evidence_published", "records=%u",
               evidence->published->len);
    }
  else
    {
      lg_line (LOG_WARNING, "evidence_not_published",
               "records=%u status=%u why=\"%s\"", evidence->published->len,
               status, why);
      qrn_return_changes (evidence->params.quarantine, evidence->published);
      evidence->publish_us = clk_monotonic_us () + evidence->retry_us;
      evidence->retry_us
          = MIN (evidence->retry_us * 2, evidence->params.plan.retry_max_us);
    }
  g_ptr_array_unref (evidence->published);
  evidence->published = NULL;
}

/* Publishes what has changed, in one call.  */
static void
publish (struct evt_topic *evidence)
{
  GPtrArray *records = qrn_take_changes (evidence->params.quarantine);
  if (records->len == 0)
    {
      g_ptr_array_unref (records);
      return;
    }
  evidence->published = records;
  g_autoptr (GByteArray) body = g_byte_array_new ();
  for (guint i = 0; i < records->len; i++)
    {
      const struct psn_record *record = g_ptr_array_index (records, i);
      pfs_append_record (body, record->key, record->value,
                         record->value_bytes);
    }
  g_autofree char *path = pfs_append_path (PFS_QUARANTINE_TOPIC);
  const struct cal_params params = {
    .client = evidence->params.client,
    .loop = evidence->params.loop,
    .address = evidence->store_address,
    .method = "POST",
    .path = path,
    .data = body->data,
    .data_bytes = body->len,
    .timeout_ms = PUBLISH_TIMEOUT_MS,
    .done = on_published,
    .context = evidence,
  };
  lg_line (LOG_INFO, "evidence_published", "records=%u bytes=%u", records->len,
           body->len);
  evidence->call = cal_send (&params);
}

/* Publishes what has changed and drops what is too old; to be called often.
   LEADS: this daemon leads the fleet.  */
void
evt_step (struct evt_topic *evidence, bool leads, int64_t now_us)
{
  qrn_set_leader (evidence->params.quarantine, leads);
  if (now_us >= evidence->expire_us)
    {
      evidence->expire_us = now_us + EXPIRE_INTERVAL_US;
      qrn_expire (evidence->params.quarantine);
    }
  if (leads && evidence->restored_until_us > now_us)
    {
      evidence->restored_until_us = 0;
      qrn_publish_again (evidence->params.quarantine, true);
    }
  if (evidence->call == NULL && now_us >= evidence->publish_us)
    {
      publish (evidence);
    }
}
