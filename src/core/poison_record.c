/* How daemons share their evidence: each publishes one record for each trait,
   under a key of its own. */
#include "core/poison_private.h"

#include "base/error.h"
#include "proto/quarantine.pb-c.h"

#include <string.h>

#define US_PER_MS 1000

/* Limit on the length of a key, and of a text in a record of another
   daemon. */
#define KEY_BYTES_MAX 255
#define TEXT_BYTES_MAX 255

static void
destroy_record (gpointer data)
{
  struct psn_record *record = data;
  g_free (record->key);
  g_free (record->value);
  g_free (record);
}

/* Sets the value of RECORD to REPORT.  */
static void
encode (const struct psn_report *report, struct psn_record *record)
{
  QuarantineReport message = QUARANTINE_REPORT__INIT;
  message.n_ends = report->ends->len;
  message.ends = (char **)report->ends->pdata;
  message.position = report->position;
  message.sound_ms = report->sound_ms;
  message.updated_ms = report->updated_ms;
  record->value_bytes = quarantine_report__get_packed_size (&message);
  record->value = g_malloc (record->value_bytes + 1);
  quarantine_report__pack (&message, record->value);
}

/* Splits KEY into the name of a trait and a reporter, both allocated.  Returns
   false when it has no such form.  */
static bool
split_key (const char *key, char **trait, char **reporter)
{
  const char *mark = strrchr (key, PSN_MARK);
  if (mark == NULL || mark[1] == '\0'
      || memchr (key, PSN_MARK, (size_t)(mark - key)) == NULL)
    {
      return false;
    }
  *trait = g_strndup (key, (gsize)(mark - key));
  *reporter = g_strdup (mark + 1);
  return true;
}

/* Returns what SET holds under KEY, or NULL.  */
static struct psn_report *
find_report (const struct psn_set *set, const char *key)
{
  g_autofree char *trait = NULL;
  g_autofree char *reporter = NULL;
  if (!split_key (key, &trait, &reporter))
    {
      return NULL;
    }
  const struct psn_suspect *suspect
      = g_hash_table_lookup (set->suspects, trait);
  return suspect == NULL ? NULL
                         : g_hash_table_lookup (suspect->reports, reporter);
}

/* Returns the records that have changed, struct psn_record, and takes them for
   published.  The caller frees the array.  */
GPtrArray *
psn_take_changes (struct psn_set *set)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (destroy_record);
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, set->changed);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (strlen (key) > KEY_BYTES_MAX)
        {
          continue;
        }
      const struct psn_report *report = find_report (set, key);
      struct psn_record *record = g_new0 (struct psn_record, 1);
      record->key = g_strdup (key);
      if (report != NULL && !psn_is_empty (report))
        {
          encode (report, record);
        }
      g_ptr_array_add (records, record);
    }
  g_hash_table_remove_all (set->changed);
  return records;
}

/* Takes RECORDS, which couldn't be published, back: the next psn_take_changes
   returns them as they are then.  */
void
psn_return_changes (struct psn_set *set, const GPtrArray *records)
{
  for (guint i = 0; i < records->len; i++)
    {
      const struct psn_record *record = g_ptr_array_index (records, i);
      g_hash_table_add (set->changed, g_strdup (record->key));
    }
}

/* Makes the next psn_take_changes return all records of this daemon, and if
   OF_OTHERS those of other daemons too, since the store has lost some.  */
void
psn_publish_again (struct psn_set *set, bool of_others)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, set->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct psn_suspect *suspect = value;
      GHashTableIter reports;
      gpointer reporter;
      g_hash_table_iter_init (&reports, suspect->reports);
      while (g_hash_table_iter_next (&reports, &reporter, NULL))
        {
          if (of_others || g_str_equal (reporter, set->reporter))
            {
              psn_mark_changed (set, suspect, reporter);
            }
        }
    }
}

/* Replaces REPORT of SUSPECT by MESSAGE.  */
static void
apply (struct psn_set *set, struct psn_suspect *suspect,
       struct psn_report *report, const QuarantineReport *message,
       struct psn_time now)
{
  g_ptr_array_set_size (report->ends, 0);
  for (size_t i = 0; i < message->n_ends && i < PSN_ENDS_MAX; i++)
    {
      if (strlen (message->ends[i]) <= TEXT_BYTES_MAX)
        {
          g_ptr_array_add (report->ends, g_strdup (message->ends[i]));
        }
    }
  report->position = message->position;
  report->updated_ms = message->updated_ms;
  bool is_news = report->sound_ms != message->sound_ms;
  report->sound_ms = message->sound_ms;
  suspect->sound_ms = MAX (suspect->sound_ms, message->sound_ms);
  int64_t age_us
      = CLAMP ((now.unix_ms - message->sound_ms), 0, PSN_SOUND_US / US_PER_MS)
        * US_PER_MS;
  if (message->sound_ms > 0 && age_us < PSN_SOUND_US)
    {
      suspect->sound_until_us = MAX (suspect->sound_until_us,
                                     now.monotonic_us + PSN_SOUND_US - age_us);
      if (is_news)
        {
          psn_clear_evidence (set, suspect, now);
        }
    }
}

/* Takes the record VALUE of KEY, or its removal if VALUE is NULL, from the
   store.  This daemon's own record is published again if the store's differs.
   Returns false with ERR_PROTOCOL when it can't be read.  */
bool
psn_merge (struct psn_set *set, const char *key, const uint8_t *value,
           size_t value_bytes, struct psn_time now, GError **error)
{
  g_autofree char *trait = NULL;
  g_autofree char *reporter = NULL;
  if (!split_key (key, &trait, &reporter))
    {
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "the key of a quarantine record has no trait or reporter");
      return false;
    }
  struct psn_suspect *suspect = g_hash_table_lookup (set->suspects, trait);
  if (g_str_equal (reporter, set->reporter))
    {
      const struct psn_report *own = find_report (set, key);
      struct psn_record record = { 0 };
      if (own != NULL && !psn_is_empty (own))
        {
          encode (own, &record);
        }
      if (record.value_bytes != value_bytes
          || (value_bytes > 0
              && memcmp (record.value, value, value_bytes) != 0))
        {
          g_hash_table_add (set->changed, g_strdup (key));
        }
      g_free (record.value);
      return true;
    }
  if (value == NULL)
    {
      if (suspect != NULL)
        {
          psn_drop_report (set, suspect, reporter);
        }
      return true;
    }
  QuarantineReport *message
      = quarantine_report__unpack (NULL, value_bytes, value);
  if (message == NULL)
    {
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "can't decode a quarantine record");
      return false;
    }
  suspect = psn_suspect_of (set, trait);
  struct psn_report *report = psn_report_of (suspect, reporter);
  report->named = true;
  apply (set, suspect, report, message, now);
  quarantine_report__free_unpacked (message, NULL);
  set->outdated = true;
  return true;
}

/* Tells whether the REPORT about SUSPECT is to be dropped at NOW_MS.  */
typedef bool (*is_dropped) (const struct psn_suspect *suspect,
                            const struct psn_report *report, int64_t now_ms);

/* Drops the reports about SUSPECT for which CHECK returns true, of this daemon
   if OWN or else of the others, and removes them from the store if PUBLISH.
   SUSPECT may be invalid then.  */
static void
drop_reports_of (struct psn_set *set, struct psn_suspect *suspect, bool own,
                 bool publish, is_dropped check, int64_t now_ms)
{
  g_autoptr (GPtrArray) dropped = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer reporter;
  gpointer report;
  g_hash_table_iter_init (&iter, suspect->reports);
  while (g_hash_table_iter_next (&iter, &reporter, &report))
    {
      bool is_own = g_str_equal (reporter, set->reporter);
      if (is_own == own && check (suspect, report, now_ms))
        {
          g_ptr_array_add (dropped, g_strdup (reporter));
        }
    }
  for (guint i = 0; i < dropped->len; i++)
    {
      if (publish)
        {
          psn_mark_changed (set, suspect, g_ptr_array_index (dropped, i));
        }
      psn_drop_report (set, suspect, g_ptr_array_index (dropped, i));
    }
}

/* Does the same for all suspects.  */
static void
drop_reports (struct psn_set *set, bool own, bool publish, is_dropped check,
              int64_t now_ms)
{
  guint count = 0;
  g_autofree gpointer *traits
      = g_hash_table_get_keys_as_array (set->suspects, &count);
  for (guint i = 0; i < count; i++)
    {
      struct psn_suspect *suspect
          = g_hash_table_lookup (set->suspects, traits[i]);
      drop_reports_of (set, suspect, own, publish, check, now_ms);
    }
}

/* Returns true if REPORT is too old to mean anything, or from before an
   endpoint wrote on the trait.  */
static bool
is_expired (const struct psn_suspect *suspect, const struct psn_report *report,
            int64_t now_ms)
{
  bool once = psn_is_request (suspect->trait) && !suspect->quarantined;
  int64_t kept_ms = report->ends->len == 0 ? PSN_SOUND_US / US_PER_MS
                    : once                 ? PSN_REPEATS_KEPT_MS
                                           : PSN_KEPT_MS;
  return now_ms - report->updated_ms > kept_ms
         || (report->sound_ms == 0 && report->updated_ms < suspect->sound_ms);
}

static bool
is_unnamed (const struct psn_suspect *suspect, const struct psn_report *report,
            int64_t now_ms)
{
  (void)suspect;
  (void)now_ms;
  return !report->named;
}

/* Drops what is too old at NOW.  This daemon's records are removed from the
   store too, and so are those of others if OF_OTHERS: their owners may be
   gone.  */
void
psn_expire (struct psn_set *set, bool of_others, struct psn_time now)
{
  drop_reports (set, true, true, is_expired, now.unix_ms);
  drop_reports (set, false, of_others, is_expired, now.unix_ms);
}

/* Records that a snapshot of the store's records begins.  */
void
psn_begin_snapshot (struct psn_set *set)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, set->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GHashTableIter reports;
      gpointer report;
      g_hash_table_iter_init (&reports,
                              ((struct psn_suspect *)value)->reports);
      while (g_hash_table_iter_next (&reports, NULL, &report))
        {
          ((struct psn_report *)report)->named = false;
        }
    }
}

/* Drops what the snapshot that has ended doesn't have: other daemons have
   removed it.  */
void
psn_end_snapshot (struct psn_set *set)
{
  drop_reports (set, false, false, is_unnamed, 0);
}
