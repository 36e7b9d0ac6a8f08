/* Restores the simulated store from an older copy, and writes again what the
   operator and the endpoints had written since. */
#include "standin/fleet_private.h"

#include "base/clock.h"

static void
destroy_lost (gpointer data)
{
  struct sfl_lost *lost = data;
  g_bytes_unref (lost->record);
  g_free (lost);
}

/* Returns true when TOPIC has a record with KEY that was appended after
   AT_US.  */
static bool
has_newer_record (const struct sfl_topic *topic, const char *key,
                  int64_t at_us)
{
  for (guint i = topic->records->len;
       i-- > 0 && g_array_index (topic->times_us, int64_t, i) > at_us;)
    {
      g_autofree char *other
          = sfl_record_key (g_ptr_array_index (topic->records, i), NULL);
      if (g_str_equal (key, other))
        {
          return true;
        }
    }
  return false;
}

/* Writes the last lost record of each key again, the latest one first.  Keys
   that have got a newer record meanwhile are left out.  */
static void
rewrite_lost (struct sfl_fleet *fleet)
{
  GPtrArray *lost = fleet->lost;
  fleet->lost = g_ptr_array_new_with_free_func (destroy_lost);
  for (guint i = lost->len; i-- > 0;)
    {
      const struct sfl_lost *item = g_ptr_array_index (lost, i);
      g_autofree char *key = sfl_record_key (item->record, NULL);
      if (!has_newer_record (item->topic, key, item->at_us))
        {
          sfl_append_record (fleet, item->topic, g_bytes_ref (item->record));
        }
    }
  g_ptr_array_free (lost, TRUE);
}

static void
on_rewrite_due (uv_timer_t *timer)
{
  rewrite_lost (timer->data);
}

/* Drops the records of TOPIC that were appended after COPIED_US.  They are
   written again later if REWRITES.  */
static void
restore_topic (struct sfl_fleet *fleet, struct sfl_topic *topic,
               int64_t copied_us, bool rewrites)
{
  guint kept = 0;
  while (kept < topic->records->len
         && g_array_index (topic->times_us, int64_t, kept) <= copied_us)
    {
      kept++;
    }
  for (guint i = kept; rewrites && i < topic->records->len; i++)
    {
      struct sfl_lost *lost = g_new0 (struct sfl_lost, 1);
      lost->topic = topic;
      lost->at_us = g_array_index (topic->times_us, int64_t, i);
      lost->record = g_bytes_ref (g_ptr_array_index (topic->records, i));
      g_ptr_array_add (fleet->lost, lost);
    }
  g_ptr_array_set_size (topic->records, (gint)kept);
  g_array_set_size (topic->times_us, kept);
  topic->first_offset = MIN (topic->first_offset, kept);
  g_hash_table_remove_all (topic->newest);
  for (guint i = 0; i < kept; i++)
    {
      sfl_index_record (topic, i);
    }
}

/* Prepares the store of FLEET for restores.  */
void
sfl_restore_open (struct sfl_fleet *fleet)
{
  fleet->era = 1;
  fleet->lost = g_ptr_array_new_with_free_func (destroy_lost);
  uv_timer_init (fleet->params.loop, &fleet->rewrite_timer);
  fleet->rewrite_timer.data = fleet;
}

/* Frees what sfl_restore_open created.  */
void
sfl_restore_close (struct sfl_fleet *fleet)
{
  g_ptr_array_free (fleet->lost, TRUE);
  uv_close ((uv_handle_t *)&fleet->rewrite_timer, NULL);
}

/* Restores the store from a copy that is AGE_US old: its topics and its group
   are as they were then, and it gives out the offsets since then again.
   Waiting reads end without an answer.  REWRITE_US later (0: at once) the
   operator and the endpoints write their lost records again, in another order;
   the daemons have to write theirs again themselves.
   After a restore during that time, they write the records lost by either
   REWRITE_US after the second.  */
void
sfl_restore_store (struct sfl_fleet *fleet, int64_t age_us, int64_t rewrite_us)
{
  int64_t copied_us = clk_monotonic_us () - age_us;
  fleet->era++;
  sfl_drop_readers (fleet, true);
  restore_topic (fleet, &fleet->operator_topic, copied_us, true);
  restore_topic (fleet, &fleet->endpoint_topic, copied_us, true);
  restore_topic (fleet, &fleet->daemon_topic, copied_us, false);
  restore_topic (fleet, &fleet->directory_topic, copied_us, false);
  sfl_group_restore (fleet, copied_us);
  uv_timer_stop (&fleet->rewrite_timer);
  if (rewrite_us == 0)
    {
      rewrite_lost (fleet);
    }
  else
    {
      uv_timer_start (&fleet->rewrite_timer, on_rewrite_due,
                      (uint64_t)(rewrite_us / CLK_MS_US), 0);
    }
}

/* Returns the era of the store, which begins at 1 and rises with each
   restore.  */
uint64_t
sfl_store_era (const struct sfl_fleet *fleet)
{
  return fleet->era;
}
