#include "core/fleet_load.h"

#include <string.h>

/* Limit on the length of names and ids. */
#define ID_BYTES_MAX 255

/* Limit on the daemons that are remembered as reporters of one death. */
#define REPORTERS_MAX 16

/* The rate of arrivals is averaged over this time. */
#define RATE_US 1000000.0

/* Limit on the rate of arrivals of one daemon at one rank, which bounds the
   effect of false numbers. */
#define RATE_MAX_PER_S 10000.0

/* An incarnation of an engine; the first member of what is kept for it. */
struct key
{
  const char *id;
  int64_t born_ms;
};

/* An engine that a statement in force names. */
struct engine
{
  struct key key; /* owns `id' */
  struct flo_total total;
  int64_t oldest_us; /* when the oldest statement that names it came */
};

struct part
{
  struct engine *engine;
  uint32_t requests;
  uint32_t waiting[FLT_RANKS_MAX];
};

/* The newest statement of one daemon. */
struct daemon
{
  uint64_t sequence;
  int64_t merged_us;
  GArray *parts; /* struct part */
  uint64_t arrived[FLT_RANKS_MAX];
  double per_s[FLT_RANKS_MAX];
  bool has_rates; /* there were two statements */
};

struct report
{
  char *name; /* of the daemon */
  int64_t found_us;
  bool renewed; /* by the statement that is being merged */
};

struct death
{
  struct key key;   /* owns `id' */
  GArray *reports;  /* struct report */
  int64_t ended_us; /* reports from before are void, since the engine answered;
                       0: it hasn't */
  uint32_t known;   /* reporters that the version counts */
};

struct flo_table
{
  GHashTable *daemons; /* name to struct daemon */
  GHashTable *engines; /* set of struct engine */
  GHashTable *deaths;  /* set of struct death */
  bool outdated;       /* the totals of the engines are */
  int64_t expires_us;  /* when the first statement expires */
  uint64_t deaths_version;
};

static guint
hash_key (gconstpointer data)
{
  const struct key *key = data;
  return g_str_hash (key->id) ^ g_int64_hash (&key->born_ms);
}

static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  const struct key *left = a;
  const struct key *right = b;
  return left->born_ms == right->born_ms && strcmp (left->id, right->id) == 0;
}

static void
destroy_engine (gpointer data)
{
  struct engine *engine = data;
  g_free ((char *)engine->key.id);
  g_free (engine);
}

static void
destroy_daemon (gpointer data)
{
  struct daemon *daemon = data;
  g_array_free (daemon->parts, TRUE);
  g_free (daemon);
}

static void
clear_report (gpointer data)
{
  g_free (((struct report *)data)->name);
}

static void
destroy_death (gpointer data)
{
  struct death *death = data;
  g_free ((char *)death->key.id);
  g_array_free (death->reports, TRUE);
  g_free (death);
}

/* Returns an empty table.  The caller frees it with flo_destroy.  */
struct flo_table *
flo_create (void)
{
  struct flo_table *table = g_new0 (struct flo_table, 1);
  table->daemons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          destroy_daemon);
  table->engines
      = g_hash_table_new_full (hash_key, equal_keys, destroy_engine, NULL);
  table->deaths
      = g_hash_table_new_full (hash_key, equal_keys, destroy_death, NULL);
  table->expires_us = INT64_MAX;
  return table;
}

/* Frees TABLE.  */
void
flo_destroy (struct flo_table *table)
{
  g_hash_table_destroy (table->daemons);
  g_hash_table_destroy (table->engines);
  g_hash_table_destroy (table->deaths);
  g_free (table);
}

/* True when ID may be the id of an engine or the name of a daemon.  */
bool
flo_is_valid_id (const char *id)
{
  size_t bytes = strlen (id);
  if (bytes == 0 || bytes > ID_BYTES_MAX
      || !g_utf8_validate (id, (gssize)bytes, NULL))
    {
      return false;
    }
  for (const char *byte = id; *byte != '\0'; byte++)
    {
      if (g_ascii_iscntrl (*byte))
        {
          return false;
        }
    }
  return true;
}

static bool
is_valid_part (const struct flo_part *part)
{
  uint64_t waiting = 0;
  for (uint32_t rank = 0; rank < FLT_RANKS_MAX; rank++)
    {
      waiting += part->waiting[rank];
    }
  return flo_is_valid_id (part->id) && part->born_ms >= 0
         && part->requests <= FLO_REQUESTS_MAX && waiting <= part->requests;
}

/* True when STATEMENT is within the limits and may be true.  The engines that
   it names are mostly known ones, so their limit has room for one statement.
 */
static bool
is_valid (const struct flo_table *table, const struct flo_statement *statement)
{
  if (!flo_is_valid_id (statement->name)
      || statement->part_count > FLO_PARTS_MAX
      || statement->report_count > FLO_DEATHS_MAX
      || (g_hash_table_size (table->daemons) >= FLO_DAEMONS_MAX
          && !g_hash_table_contains (table->daemons, statement->name))
      || g_hash_table_size (table->engines) + statement->part_count
             > FLO_ENGINES_MAX + FLO_PARTS_MAX)
    {
      return false;
    }
  for (size_t i = 0; i < statement->part_count; i++)
    {
      if (!is_valid_part (&statement->parts[i]))
        {
          return false;
        }
    }
  for (size_t i = 0; i < statement->report_count; i++)
    {
      const struct flo_report *report = &statement->reports[i];
      if (!flo_is_valid_id (report->id) || report->born_ms < 0
          || report->age_us < 0)
        {
          return false;
        }
    }
  return true;
}

/* Removes the statements that have expired at NOW_US.  */
static void
expire (struct flo_table *table, int64_t now_us)
{
  if (now_us < table->expires_us)
    {
      return;
    }
  GHashTableIter iter;
  gpointer value;
  table->expires_us = INT64_MAX;
  g_hash_table_iter_init (&iter, table->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct daemon *daemon = value;
      if (now_us - daemon->merged_us >= FLO_EXPIRY_US)
        {
          table->outdated = true;
          g_hash_table_iter_remove (&iter);
        }
      else
        {
          table->expires_us
              = MIN (table->expires_us, daemon->merged_us + FLO_EXPIRY_US);
        }
    }
}

/* Adds what DAEMON states to the totals of its engines.  */
static void
add_parts (const struct daemon *daemon)
{
  for (guint i = 0; i < daemon->parts->len; i++)
    {
      const struct part *part = &g_array_index (daemon->parts, struct part, i);
      struct engine *engine = part->engine;
      engine->total.requests += part->requests;
      engine->total.daemons++;
      engine->oldest_us = MIN (engine->oldest_us, daemon->merged_us);
      for (uint32_t rank = 0; rank < FLT_RANKS_MAX; rank++)
        {
          engine->total.waiting[rank] += part->waiting[rank];
        }
    }
}

/* Computes the totals of all engines as of NOW_US, if they have changed, and
   forgets the engines that no statement names any more.  */
static void
update_totals (struct flo_table *table, int64_t now_us)
{
  expire (table, now_us);
  if (!table->outdated)
    {
      return;
    }
  table->outdated = false;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->engines);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      struct engine *engine = value;
      engine->total = (struct flo_total){ 0 };
      engine->oldest_us = INT64_MAX;
    }
  g_hash_table_iter_init (&iter, table->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      add_parts (value);
    }
  g_hash_table_iter_init (&iter, table->engines);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      if (((const struct engine *)value)->total.daemons == 0)
        {
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Returns the engine that PART names, created if it is new.  */
static struct engine *
find_engine (struct flo_table *table, const struct flo_part *part)
{
  const struct key key = { .id = part->id, .born_ms = part->born_ms };
  struct engine *engine = g_hash_table_lookup (table->engines, &key);
  if (engine == NULL)
    {
      engine = g_new0 (struct engine, 1);
      engine->key.id = g_strdup (part->id);
      engine->key.born_ms = part->born_ms;
      g_hash_table_add (table->engines, engine);
    }
  return engine;
}

/* Updates the rates of DAEMON from the arrivals that STATEMENT counts.  A
   lower count than before comes from a restart of the daemon.  */
static void
update_rates (struct daemon *daemon, const struct flo_statement *statement,
              int64_t now_us)
{
  double elapsed_us = (double)(now_us - daemon->merged_us);
  for (uint32_t rank = 0; rank < FLT_RANKS_MAX && elapsed_us > 0; rank++)
    {
      uint64_t arrived = statement->arrived[rank];
      uint64_t before = daemon->arrived[rank];
      double count = arrived < before ? 0 : (double)(arrived - before);
      double per_s = MIN (count * 1e6 / elapsed_us, RATE_MAX_PER_S);
      double weight
          = daemon->has_rates ? MIN (elapsed_us / RATE_US, 1.0) : 1.0;
      daemon->per_s[rank] += (per_s - daemon->per_s[rank]) * weight;
    }
  daemon->has_rates |= elapsed_us > 0;
}

/* Replaces what DAEMON states by STATEMENT.  */
static void
replace_statement (struct flo_table *table, struct daemon *daemon,
                   const struct flo_statement *statement, int64_t now_us)
{
  daemon->sequence = statement->sequence;
  daemon->merged_us = now_us;
  memcpy (daemon->arrived, statement->arrived, sizeof daemon->arrived);
  g_array_set_size (daemon->parts, 0);
  for (size_t i = 0; i < statement->part_count; i++)
    {
      const struct flo_part *stated = &statement->parts[i];
      struct part part = {
        .engine = find_engine (table, stated),
        .requests = stated->requests,
      };
      memcpy (part.waiting, stated->waiting, sizeof part.waiting);
      g_array_append_val (daemon->parts, part);
    }
  table->outdated = true;
  table->expires_us = MIN (table->expires_us, now_us + FLO_EXPIRY_US);
}

/* Returns the death that REPORT names, created if REPORT is the first that
   says so, or NULL if there are too many.  */
static struct death *
find_death (struct flo_table *table, const struct flo_report *report)
{
  const struct key key = { .id = report->id, .born_ms = report->born_ms };
  struct death *death = g_hash_table_lookup (table->deaths, &key);
  if (death == NULL && !report->alive
      && g_hash_table_size (table->deaths) < FLO_DEATHS_MAX)
    {
      death = g_new0 (struct death, 1);
      death->key.id = g_strdup (report->id);
      death->key.born_ms = report->born_ms;
      death->reports = g_array_new (FALSE, FALSE, sizeof (struct report));
      g_array_set_clear_func (death->reports, clear_report);
      g_hash_table_add (table->deaths, death);
    }
  return death;
}

/* Records that the daemon NAME found the engine of DEATH dead at FOUND_US.  */
static void
add_report (struct death *death, const char *name, int64_t found_us)
{
  if (death->ended_us != 0 && found_us <= death->ended_us)
    {
      return;
    }
  for (guint i = 0; i < death->reports->len; i++)
    {
      struct report *known = &g_array_index (death->reports, struct report, i);
      if (strcmp (known->name, name) == 0)
        {
          known->found_us = MAX (known->found_us, found_us);
          known->renewed = true;
          return;
        }
    }
  if (death->reports->len < REPORTERS_MAX)
    {
      const struct report report = {
        .name = g_strdup (name),
        .found_us = found_us,
        .renewed = true,
      };
      g_array_append_val (death->reports, report);
    }
}

/* Removes the reports of DEATH that are void: those that have expired at
   NOW_US or that the engine has disproved, and those of the daemon NAME,
   unless that is NULL, that its newest statement doesn't have any more.  */
static void
remove_void_reports (struct death *death, const char *name, int64_t now_us)
{
  for (guint i = death->reports->len; i-- > 0;)
    {
      struct report *report
          = &g_array_index (death->reports, struct report, i);
      bool withdrawn = name != NULL && !report->renewed
                       && strcmp (report->name, name) == 0;
      bool disproved
          = death->ended_us != 0 && report->found_us <= death->ended_us;
      report->renewed = false;
      if (withdrawn || disproved || now_us - report->found_us >= FLO_DEATH_US)
        {
          g_array_remove_index_fast (death->reports, i);
        }
    }
}

/* Removes void reports like remove_void_reports, and the deaths that nothing
   is left of.  Raises the version when a death has got as many reporters as
   make a difference.  */
static void
update_deaths (struct flo_table *table, const char *name, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->deaths);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      struct death *death = value;
      remove_void_reports (death, name, now_us);
      uint32_t reporters = MIN (death->reports->len, FLO_REPORTERS_MIN);
      table->deaths_version += reporters > death->known;
      death->known = reporters;
      if (reporters == 0 && now_us - death->ended_us >= FLO_DEATH_US)
        {
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Merges the reports of STATEMENT.  What is older than a report counts was
   found dead too long ago.  */
static void
merge_reports (struct flo_table *table, const struct flo_statement *statement,
               int64_t now_us)
{
  for (size_t i = 0; i < statement->report_count; i++)
    {
      const struct flo_report *report = &statement->reports[i];
      struct death *death
          = report->age_us < FLO_DEATH_US ? find_death (table, report) : NULL;
      if (death == NULL)
        {
          continue;
        }
      int64_t found_us = now_us - report->age_us;
      if (report->alive)
        {
          death->ended_us = MAX (death->ended_us, found_us);
        }
      else
        {
          add_report (death, statement->name, found_us);
        }
    }
  update_deaths (table, statement->name, now_us);
}

/* Merges STATEMENT, which came at NOW_US, monotonic time.  */
enum flo_merged
flo_merge (struct flo_table *table, const struct flo_statement *statement,
           int64_t now_us)
{
  expire (table, now_us);
  if (g_hash_table_size (table->engines) >= FLO_ENGINES_MAX)
    {
      update_totals (table, now_us); /* forgets those without requests */
    }
  if (!is_valid (table, statement))
    {
      return FLO_REFUSED;
    }
  struct daemon *daemon
      = g_hash_table_lookup (table->daemons, statement->name);
  if (daemon != NULL && statement->sequence <= daemon->sequence)
    {
      return FLO_OLDER;
    }
  if (daemon == NULL)
    {
      daemon = g_new0 (struct daemon, 1);
      daemon->parts = g_array_new (FALSE, FALSE, sizeof (struct part));
      g_hash_table_insert (table->daemons, g_strdup (statement->name), daemon);
    }
  else
    {
      update_rates (daemon, statement, now_us);
    }
  replace_statement (table, daemon, statement, now_us);
  merge_reports (table, statement, now_us);
  return FLO_TAKEN;
}

/* Sets TOTAL to the requests at the engine ID, in its incarnation that started
   at BORN_MS.  Returns false when no statement in force names it.  */
bool
flo_read (struct flo_table *table, const char *id, int64_t born_ms,
          int64_t now_us, struct flo_total *total)
{
  update_totals (table, now_us);
  const struct key key = { .id = id, .born_ms = born_ms };
  const struct engine *engine = g_hash_table_lookup (table->engines, &key);
  *total = (struct flo_total){ 0 };
  if (engine == NULL)
    {
      return false;
    }
  *total = engine->total;
  total->age_us = now_us - engine->oldest_us;
  return true;
}

/* Returns the totals of all engines, struct flo_sum, which refer to TABLE.
   The caller frees the array.  */
GArray *
flo_list (struct flo_table *table, int64_t now_us)
{
  update_totals (table, now_us);
  GArray *sums = g_array_new (FALSE, FALSE, sizeof (struct flo_sum));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->engines);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      const struct engine *engine = value;
      struct flo_sum sum = {
        .id = engine->key.id,
        .born_ms = engine->key.born_ms,
        .total = engine->total,
      };
      sum.total.age_us = now_us - engine->oldest_us;
      g_array_append_val (sums, sum);
    }
  return sums;
}

/* Returns the engines that daemons report as dead, struct flo_death, which
   refer to TABLE.  The caller frees the array.  */
GArray *
flo_list_dead (struct flo_table *table, int64_t now_us)
{
  update_deaths (table, NULL, now_us);
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct flo_death));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->deaths);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      const struct death *known = value;
      struct flo_death death = {
        .id = known->key.id,
        .born_ms = known->key.born_ms,
        .reporters = known->reports->len,
        .age_us = FLO_DEATH_US,
      };
      for (guint i = 0; i < known->reports->len; i++)
        {
          int64_t found_us
              = g_array_index (known->reports, struct report, i).found_us;
          death.age_us = MIN (death.age_us, now_us - found_us);
        }
      if (death.reporters > 0)
        {
          g_array_append_val (list, death);
        }
    }
  return list;
}

/* Sets PER_S to the arrivals a second at all daemons, by rank index.  */
void
flo_rates (struct flo_table *table, int64_t now_us,
           double per_s[FLT_RANKS_MAX])
{
  expire (table, now_us);
  GHashTableIter iter;
  gpointer value;
  memset (per_s, 0, sizeof (double) * FLT_RANKS_MAX);
  g_hash_table_iter_init (&iter, table->daemons);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct daemon *daemon = value;
      for (uint32_t rank = 0; rank < FLT_RANKS_MAX; rank++)
        {
          per_s[rank] += daemon->per_s[rank];
        }
    }
}

/* Returns the number of daemons whose statements are in force.  */
uint32_t
flo_daemons (struct flo_table *table, int64_t now_us)
{
  expire (table, now_us);
  return g_hash_table_size (table->daemons);
}

/* Returns a number that rises when a death is reported for the first time, and
   when it is confirmed.  */
uint64_t
flo_deaths_version (const struct flo_table *table)
{
  return table->deaths_version;
}
