#include "core/leaving.h"

#include <glib.h>
#include <string.h>

/* An endpoint and its newest mark of each cause. */
struct host
{
  struct lv_mark marks[LV_CAUSE_COUNT];
  uint64_t incarnation;    /* newest one that the endpoint reported; 0: none */
  int64_t last_refusal_us; /* last refusal, observed here or by a peer */
  int64_t observed_refusal_us; /* last refusal, observed here */
  bool refusal_observed;       /* and not withdrawn since */
};

struct lv_hosts
{
  GHashTable *hosts; /* endpoint name to struct host; owned */
};

/* Returns an empty table, in which every endpoint is open to new work.  */
struct lv_hosts *
lv_create (void)
{
  struct lv_hosts *hosts = g_new0 (struct lv_hosts, 1);
  hosts->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return hosts;
}

/* Frees HOSTS; NULL is allowed.  */
void
lv_destroy (struct lv_hosts *hosts)
{
  if (hosts == NULL)
    {
      return;
    }
  g_hash_table_destroy (hosts->hosts);
  g_free (hosts);
}

/* Returns whether MARK replaces THAN, a mark of the same endpoint and cause.
   The mark with the higher order wins; at the same order "leaving" wins.  The
   result doesn't depend on the sequence in which marks arrive, so daemons that
   have received the same marks agree.  */
bool
lv_mark_is_newer (const struct lv_mark *mark, const struct lv_mark *than)
{
  if (mark->order != than->order)
    {
      return mark->order > than->order;
    }
  return mark->leaving && !than->leaving;
}

static struct host *
find_or_add (struct lv_hosts *hosts, const char *name)
{
  struct host *host = g_hash_table_lookup (hosts->hosts, name);
  if (host != NULL)
    {
      return host;
    }
  host = g_new0 (struct host, 1);
  for (int cause = 0; cause < LV_CAUSE_COUNT; cause++)
    {
      struct lv_mark *mark = &host->marks[cause];
      mark->cause = (enum lv_cause)cause;
      g_strlcpy (mark->host, name, sizeof mark->host);
    }
  g_hash_table_insert (hosts->hosts, g_strdup (name), host);
  return host;
}

/* Returns whether no cause closes HOST to new work.  */
static bool
is_open (const struct host *host)
{
  for (int cause = 0; cause < LV_CAUSE_COUNT; cause++)
    {
      if (host->marks[cause].leaving)
        {
          return false;
        }
    }
  return true;
}

/* Stores MARK when it is newer than the stored mark of its cause.  The outcome
   asks to inform the peers only when "leaving" changed.  */
static struct lv_outcome
apply_mark (struct host *host, const struct lv_mark *mark)
{
  struct lv_mark *current = &host->marks[mark->cause];
  struct lv_outcome outcome = { .mark = *mark };
  if (!lv_mark_is_newer (mark, current))
    {
      return outcome;
    }
  const bool was_open = is_open (host);
  outcome.notify_peers = mark->leaving != current->leaving;
  *current = *mark;
  outcome.changed = is_open (host) != was_open;
  return outcome;
}

/* Applies a report of CAUSE whose marks are ordered by VERSION.  */
static struct lv_outcome
apply_versioned_report (struct lv_hosts *hosts, const char *name,
                        enum lv_cause cause, uint64_t version, bool leaving)
{
  struct host *host = find_or_add (hosts, name);
  struct lv_mark mark = host->marks[cause];
  mark.order = version;
  mark.leaving = leaving;
  return apply_mark (host, &mark);
}

/* Applies what version LIST_VERSION of the platform's host list says about
   HOST.  Versions older than one already applied, here or at a peer whose mark
   arrived, are ignored.  */
struct lv_outcome
lv_apply_host_list (struct lv_hosts *hosts, const char *host,
                    uint64_t list_version, bool leaving)
{
  return apply_versioned_report (hosts, host, LV_LIST, list_version, leaving);
}

/* Applies the drain flag of HOST in the configuration CONFIG_VERSION.
   Versions older than one already applied are ignored.  */
struct lv_outcome
lv_apply_drain (struct lv_hosts *hosts, const char *host,
                uint64_t config_version, bool draining)
{
  return apply_versioned_report (hosts, host, LV_DRAIN, config_version,
                                 draining);
}

/* Returns whether a report of "not leaving" from INCARNATION proves that the
   last refusal is over.  */
static bool
refusal_is_over (const struct host *host, uint64_t incarnation, int64_t now_us)
{
  const struct lv_mark *mark = &host->marks[LV_ENDPOINT];
  if (mark->incarnation != 0 && incarnation > mark->incarnation)
    {
      return true;
    }
  return now_us - host->last_refusal_us >= LV_REFUSAL_HOLD_US;
}

/* Applies a report of the endpoint NAME itself, received at NOW_US.  LEAVING
   is set when the endpoint refused work as leaving or reported that it leaves.
   INCARNATION rises with each restart of the endpoint; 0 when it reports none.
   A report of "not leaving" withdraws a refusal when it comes from a newer
   incarnation than the refusal, or when no refusal was observed here or
   reported by a peer for LV_REFUSAL_HOLD_US.  Until then, the report may be
   older than the refusal, as reports lag.  Reports of an older incarnation
   than the newest known one are ignored.  */
struct lv_outcome
lv_apply_endpoint_report (struct lv_hosts *hosts, const char *name,
                          uint64_t incarnation, bool leaving, int64_t now_us)
{
  struct host *host = find_or_add (hosts, name);
  struct lv_mark mark = host->marks[LV_ENDPOINT];
  if (incarnation != 0 && incarnation < host->incarnation)
    {
      return (struct lv_outcome){ .mark = mark };
    }
  host->incarnation = MAX (host->incarnation, incarnation);
  if (leaving)
    {
      host->last_refusal_us = now_us;
      host->observed_refusal_us = now_us;
      host->refusal_observed = true;
    }
  const bool reopens = !leaving && refusal_is_over (host, incarnation, now_us);
  if (leaving == mark.leaving || (!leaving && !reopens))
    {
      return (struct lv_outcome){ .mark = mark };
    }
  host->refusal_observed = leaving;
  mark.order += 1;
  mark.incarnation = incarnation;
  mark.leaving = leaving;
  return apply_mark (host, &mark);
}

/* Applies MARK, received from a peer at NOW_US.  A peer's "not leaving"
   doesn't withdraw a refusal that this daemon itself observed less than
   LV_REFUSAL_HOLD_US ago.  Instead, a newer mark of "leaving" replaces the
   peer's, and the outcome asks to send it to the peers.  */
struct lv_outcome
lv_apply_peer_mark (struct lv_hosts *hosts, const struct lv_mark *mark,
                    int64_t now_us)
{
  struct host *host = find_or_add (hosts, mark->host);
  const bool is_new = lv_mark_is_newer (mark, &host->marks[mark->cause]);
  if (mark->cause != LV_ENDPOINT || !is_new)
    {
      struct lv_outcome outcome = apply_mark (host, mark);
      outcome.notify_peers = false;
      return outcome;
    }
  if (mark->leaving)
    {
      host->last_refusal_us = now_us;
    }
  else if (host->refusal_observed
           && now_us - host->observed_refusal_us < LV_REFUSAL_HOLD_US)
    {
      struct lv_mark override = *mark;
      override.order += 1;
      override.leaving = true;
      struct lv_outcome outcome = apply_mark (host, &override);
      outcome.notify_peers = true;
      return outcome;
    }
  struct lv_outcome outcome = apply_mark (host, mark);
  outcome.notify_peers = false;
  return outcome;
}

/* Returns whether the endpoint NAME is open to new work.  An unknown endpoint
   is.  */
bool
lv_takes_work (const struct lv_hosts *hosts, const char *name)
{
  const struct host *host = g_hash_table_lookup (hosts->hosts, name);
  return host == NULL || is_open (host);
}

/* Returns the causes that close the endpoint NAME to new work, as a bit mask
   of 1 << enum lv_cause.  */
uint32_t
lv_causes (const struct lv_hosts *hosts, const char *name)
{
  const struct host *host = g_hash_table_lookup (hosts->hosts, name);
  uint32_t causes = 0;
  for (int cause = 0; host != NULL && cause < LV_CAUSE_COUNT; cause++)
    {
      causes |= (uint32_t)host->marks[cause].leaving << cause;
    }
  return causes;
}

/* Removes the endpoint NAME, which the configuration no longer lists.  */
void
lv_remove (struct lv_hosts *hosts, const char *name)
{
  g_hash_table_remove (hosts->hosts, name);
}
