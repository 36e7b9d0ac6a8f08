#include "core/turned_away.h"

#include "core/decimal.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Longest random delay after the end of a stated time, as a share of it. */
#define DELAY_SHARE 0.2

/* Limit on that delay. */
#define DELAY_MAX_US 5e6

/* A request waits for an endpoint to open for this share of its target latency
   at most; the rest is needed to serve it. */
#define TARGET_SHARE 0.4

/* Callers that are refused are spread over a time as long as their wait, and
   at least over this one. */
#define SPREAD_MIN_S 0.4

/* Added to the time after which callers are asked to return, which then finds
   the endpoint open. */
#define RETURN_MARGIN_S 0.2

/* What an endpoint said. */
struct closure
{
  int64_t born_ms; /* start of its incarnation */
  int64_t opens_us;
};

struct tna_table
{
  GHashTable *closures; /* endpoint id to struct closure */
};

/* Reads TEXT, the seconds for which an endpoint wants no requests, or NULL.
   Sets DURATION_US to that time, but at most to TNA_LONGEST_US; 0 if it states
   none.  */
enum tna_reading
tna_read (const char *text, int64_t *duration_us)
{
  *duration_us = 0;
  if (text == NULL)
    {
      return TNA_NOT_STATED;
    }
  double seconds = 0;
  if (!dcm_read (text, &seconds) || seconds < 0)
    {
      return TNA_INVALID;
    }
  double us = seconds * 1e6;
  if (us > TNA_LONGEST_US)
    {
      *duration_us = TNA_LONGEST_US;
      return TNA_BOUNDED;
    }
  *duration_us = (int64_t)us;
  return TNA_STATED;
}

/* Returns a table in which every endpoint is open.  The caller frees it with
   tna_destroy.  */
struct tna_table *
tna_create (void)
{
  struct tna_table *table = g_new0 (struct tna_table, 1);
  table->closures
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return table;
}

/* Frees TABLE.  */
void
tna_destroy (struct tna_table *table)
{
  g_hash_table_destroy (table->closures);
  g_free (table);
}

static gboolean
has_ended (gpointer id, gpointer value, gpointer now_us)
{
  (void)id;
  const struct closure *closure = value;
  return closure->opens_us <= *(const int64_t *)now_us;
}

/* Closes the endpoint ID, in its incarnation that started at BORN_MS, for
   DURATION_US from NOW_US on, and a part of that which DRAW, random from 0 to
   1, chooses.  It stays closed until the latest of the times that it stated.
   An incarnation that a newer one has replaced changes nothing.  Returns when
   the endpoint opens.  */
int64_t
tna_close (struct tna_table *table, const char *id, int64_t born_ms,
           int64_t duration_us, double draw, int64_t now_us)
{
  g_hash_table_foreach_remove (table->closures, has_ended, &now_us);
  const struct closure *before = g_hash_table_lookup (table->closures, id);
  if (before != NULL && before->born_ms > born_ms)
    {
      return before->opens_us;
    }
  double delay_us = fmin ((double)duration_us * DELAY_SHARE, DELAY_MAX_US);
  int64_t opens_us
      = now_us + duration_us + (int64_t)(delay_us * CLAMP (draw, 0, 1));
  opens_us = MAX (opens_us, tna_opens_us (table, id, born_ms));
  struct closure *closure = g_new0 (struct closure, 1);
  closure->born_ms = born_ms;
  closure->opens_us = opens_us;
  g_hash_table_replace (table->closures, g_strdup (id), closure);
  return opens_us;
}

/* Returns when the endpoint ID, in its incarnation that started at BORN_MS,
   opens; 0 if it didn't say anything.  */
int64_t
tna_opens_us (const struct tna_table *table, const char *id, int64_t born_ms)
{
  const struct closure *closure = g_hash_table_lookup (table->closures, id);
  return closure != NULL && born_ms <= closure->born_ms ? closure->opens_us
                                                        : 0;
}

/* Returns what becomes of REQUEST, when the first endpoint that can serve it
   opens in WAIT_US.  */
enum tna_action
tna_decide (const struct tna_request *request, int64_t wait_us)
{
  double patience_us = (double)request->remaining_us * TARGET_SHARE;
  if (request->target_us > 0)
    {
      double target_us = (double)request->target_us * TARGET_SHARE;
      patience_us = fmin (patience_us, target_us - (double)request->age_us);
    }
  return (double)wait_us <= patience_us ? TNA_WAIT : TNA_REFUSE;
}

/* Returns after how many seconds a caller may come back that is refused since
   the first endpoint opens in WAIT_US.  DRAW, random from 0 to 1, spreads the
   callers.  */
double
tna_retry_after_s (int64_t wait_us, double draw)
{
  double wait_s = (double)MAX (wait_us, 0) / 1e6;
  return wait_s + RETURN_MARGIN_S + fmax (wait_s, SPREAD_MIN_S) * draw;
}
