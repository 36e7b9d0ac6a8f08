/* Builds records of the error budgets, and encodes and decodes them as
   protobuf messages. */
#include "core/burn_private.h"

#include "burn.pb-c.h"

#include <string.h>

#define FORMAT_VERSION 1

/* Limits on records that are read. */
#define ENTRIES_MAX 65536
#define NAMES_MAX 65536
#define TOTAL_MAX 100000000           /* requests in one bucket */
#define LOG2_TIME_MAX INT64_C (65536) /* log2 of one time, in 1024ths */

static void
destroy_entry (gpointer data)
{
  struct brn_entry *entry = data;
  g_array_free (entry->causes, TRUE);
  g_free (entry);
}

/* Returns a new record without entries.  The caller frees it with
   brn_record_destroy.  */
struct brn_record *
brn_record_create (uint64_t incarnation, uint32_t bucket, uint32_t sequence)
{
  struct brn_record *record = g_new (struct brn_record, 1);
  *record = (struct brn_record){
    .incarnation = incarnation,
    .bucket = bucket,
    .sequence = sequence,
    .entries = g_ptr_array_new_with_free_func (destroy_entry),
  };
  return record;
}

/* Frees RECORD; NULL is allowed.  */
void
brn_record_destroy (struct brn_record *record)
{
  if (record == NULL)
    {
      return;
    }
  g_ptr_array_free (record->entries, TRUE);
  g_free (record);
}

static void
destroy_record (gpointer data)
{
  brn_record_destroy (data);
}

/* Returns a new array of struct brn_record, which frees its elements.  */
GPtrArray *
brn_records_create (void)
{
  return g_ptr_array_new_with_free_func (destroy_record);
}

/* Returns a new entry of ACCOUNT and WORK, with counts of zero.  */
struct brn_entry *
brn_entry_create (const char *account, enum brn_work work)
{
  struct brn_entry *entry = g_new0 (struct brn_entry, 1);
  g_strlcpy (entry->key.account, account, sizeof entry->key.account);
  entry->key.work = work;
  entry->causes = g_array_new (FALSE, TRUE, sizeof (struct brn_cause));
  return entry;
}

/* The distinct names of a record that is being packed. */
struct name_table
{
  GPtrArray *names;    /* not owned; the first is empty */
  GHashTable *indices; /* name to index in `names' */
};

/* Returns the index of NAME in TABLE, to which it is added if it is missing.
   The index of an empty name is 0.  */
static uint32_t
get_name_index (struct name_table *table, const char *name)
{
  if (name[0] == '\0')
    {
      return 0;
    }
  gpointer index = g_hash_table_lookup (table->indices, name);
  if (index == NULL)
    {
      index = GUINT_TO_POINTER (table->names->len);
      g_ptr_array_add (table->names, (gpointer)name);
      g_hash_table_insert (table->indices, (gpointer)name, index);
    }
  return GPOINTER_TO_UINT (index);
}

static Burn__Cause *
pack_cause (struct name_table *table, const struct brn_cause *cause)
{
  Burn__Cause *packed = g_new (Burn__Cause, 1);
  burn__cause__init (packed);
  packed->objective = cause->objective;
  if (cause->error != ERR_NONE)
    {
      packed->error = get_name_index (table, err_info (cause->error)->name);
    }
  packed->endpoint = get_name_index (table, cause->endpoint);
  packed->data_centre = get_name_index (table, cause->data_centre);
  packed->count = cause->count;
  return packed;
}

static Burn__Entry *
pack_entry (struct name_table *table, const struct brn_entry *entry)
{
  Burn__Entry *packed = g_new (Burn__Entry, 1);
  burn__entry__init (packed);
  packed->account = get_name_index (table, entry->key.account);
  packed->work = entry->key.work;
  packed->total = g_new (uint32_t, BRN_OBJECTIVE_COUNT);
  packed->bad = g_new (uint32_t, BRN_OBJECTIVE_COUNT);
  packed->log_sum = g_new (int64_t, BRN_OBJECTIVE_COUNT);
  for (int i = 0; i < BRN_OBJECTIVE_COUNT; i++)
    {
      if (brn_objective_applies (entry->key.work, (enum brn_objective)i))
        {
          packed->total[packed->n_total++] = entry->counts[i].total;
          packed->bad[packed->n_bad++] = entry->counts[i].bad;
          packed->log_sum[packed->n_log_sum++] = entry->counts[i].log_sum;
        }
    }
  packed->n_causes = entry->causes->len;
  packed->causes = g_new (Burn__Cause *, entry->causes->len);
  for (guint i = 0; i < entry->causes->len; i++)
    {
      packed->causes[i] = pack_cause (
          table, &g_array_index (entry->causes, struct brn_cause, i));
    }
  return packed;
}

static void
free_packed_entry (Burn__Entry *packed)
{
  for (size_t i = 0; i < packed->n_causes; i++)
    {
      g_free (packed->causes[i]);
    }
  g_free (packed->causes);
  g_free (packed->total);
  g_free (packed->bad);
  g_free (packed->log_sum);
  g_free (packed);
}

/* Returns RECORD encoded for the log, from which the other daemons read it.
   Each name is written once.  The caller owns the result.  */
GBytes *
brn_pack (const struct brn_record *record)
{
  struct name_table table = {
    .names = g_ptr_array_new (),
    .indices = g_hash_table_new (g_str_hash, g_str_equal),
  };
  g_ptr_array_add (table.names, (gpointer) "");
  Burn__Record packed = BURN__RECORD__INIT;
  packed.format = FORMAT_VERSION;
  packed.incarnation = record->incarnation;
  packed.bucket = record->bucket;
  packed.sequence = record->sequence;
  packed.n_entries = record->entries->len;
  packed.entries = g_new (Burn__Entry *, record->entries->len);
  for (guint i = 0; i < record->entries->len; i++)
    {
      packed.entries[i]
          = pack_entry (&table, g_ptr_array_index (record->entries, i));
    }
  packed.n_names = table.names->len;
  packed.names = (char **)table.names->pdata;
  size_t size = burn__record__get_packed_size (&packed);
  uint8_t *bytes = g_malloc (size);
  burn__record__pack (&packed, bytes);
  for (size_t i = 0; i < packed.n_entries; i++)
    {
      free_packed_entry (packed.entries[i]);
    }
  g_free (packed.entries);
  g_ptr_array_free (table.names, TRUE);
  g_hash_table_destroy (table.indices);
  return g_bytes_new_take (bytes, size);
}

/* Copies the name at INDEX in PACKED to NAME, of CFG_NAME_BYTES.  Returns
   false when there is none or it is too long.  */
static bool
copy_name (const Burn__Record *packed, uint32_t index, char *name)
{
  return index < packed->n_names
         && g_strlcpy (name, packed->names[index], CFG_NAME_BYTES)
                < CFG_NAME_BYTES;
}

/* Returns the kind of error called NAME, or ERR_INTERNAL when this version
   does not know it, as for a kind that a later version added.  */
static enum err_kind
find_error_kind (const char *name)
{
  for (int i = 0; i < ERR_KIND_COUNT; i++)
    {
      if (strcmp (err_info ((enum err_kind)i)->name, name) == 0)
        {
          return (enum err_kind)i;
        }
    }
  return ERR_INTERNAL;
}

static bool
unpack_cause (const Burn__Record *packed, const Burn__Cause *from,
              struct brn_cause *cause)
{
  char error[CFG_NAME_BYTES];
  if (from->objective >= BRN_OBJECTIVE_COUNT
      || !copy_name (packed, from->error, error)
      || !copy_name (packed, from->endpoint, cause->endpoint)
      || !copy_name (packed, from->data_centre, cause->data_centre))
    {
      return false;
    }
  cause->objective = (enum brn_objective)from->objective;
  cause->error = from->error == 0 ? ERR_NONE : find_error_kind (error);
  cause->count = from->count;
  return true;
}

/* Fills the counts of ENTRY, which are present only for the objectives that
   apply to its kind of work.  Returns false when one is missing or out of
   range.  */
static bool
unpack_counts (const Burn__Entry *from, struct brn_entry *entry)
{
  size_t next = 0;
  for (int i = 0; i < BRN_OBJECTIVE_COUNT; i++)
    {
      if (!brn_objective_applies (entry->key.work, (enum brn_objective)i))
        {
          continue;
        }
      if (next >= from->n_total || next >= from->n_bad
          || next >= from->n_log_sum || from->total[next] > TOTAL_MAX
          || from->bad[next] > from->total[next] || from->log_sum[next] < 0
          || from->log_sum[next] > from->total[next] * LOG2_TIME_MAX)
        {
          return false;
        }
      entry->counts[i] = (struct brn_count){
        .total = from->total[next],
        .bad = from->bad[next],
        .log_sum = from->log_sum[next],
      };
      next++;
    }
  return true;
}

static bool
unpack_entry (const Burn__Record *packed, const Burn__Entry *from,
              struct brn_record *record)
{
  char account[CFG_NAME_BYTES];
  if (from->work >= BRN_WORK_COUNT
      || !copy_name (packed, from->account, account) || account[0] == '\0')
    {
      return false;
    }
  struct brn_entry *entry
      = brn_entry_create (account, (enum brn_work)from->work);
  g_ptr_array_add (record->entries, entry);
  for (size_t i = 0; i < from->n_causes; i++)
    {
      struct brn_cause cause = { 0 };
      if (!unpack_cause (packed, from->causes[i], &cause))
        {
          return false;
        }
      g_array_append_val (entry->causes, cause);
    }
  return unpack_counts (from, entry);
}

/* Decodes a record from BYTES.  Returns a record that the caller frees with
   brn_record_destroy, or NULL when BYTES are malformed or of another
   format.  */
struct brn_record *
brn_unpack (GBytes *bytes)
{
  gsize size = 0;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  Burn__Record *packed = burn__record__unpack (NULL, size, data);
  if (packed == NULL)
    {
      return NULL;
    }
  bool valid = packed->format == FORMAT_VERSION
               && packed->sequence < BRN_SEQUENCES_MAX
               && packed->n_entries <= ENTRIES_MAX
               && packed->n_names <= NAMES_MAX;
  struct brn_record *record = brn_record_create (
      packed->incarnation, packed->bucket, packed->sequence);
  for (size_t i = 0; valid && i < packed->n_entries; i++)
    {
      valid = unpack_entry (packed, packed->entries[i], record);
    }
  burn__record__free_unpacked (packed, NULL);
  if (!valid)
    {
      brn_record_destroy (record);
      return NULL;
    }
  return record;
}
