/* The rules about layers, leaving hosts and configuration versions. */
#include "standin/checker_private.h"

#include <inttypes.h>
#include <string.h>

/* Time from the first notice that a host leaves to the end of new work. */
#define LEAVING_LIMIT_US INT64_C (3000000)

/* Time from the acceptance of a version to its being in force everywhere. */
#define IN_FORCE_LIMIT_US INT64_C (12000000)

/* Adds KEY to SET, which takes ownership.  Returns false when SET already has
   KEY.  */
static bool
add_key (GHashTable *set, char *key)
{
  return g_hash_table_add (set, key);
}

/* Returns whether SET has KEY, and frees KEY.  */
static bool
contains_key (GHashTable *set, char *key)
{
  bool found = g_hash_table_contains (set, key);
  g_free (key);
  return found;
}

/* Checks one step against the earlier ones and records it.  RAN_IN_ATTEMPT
   has a key for each layer of each step of each attempt, RAN_IN_REQUEST one
   for each layer of each step of each request.  Returns false when a layer
   runs again, before the layer below it or before its own previous step.  */
static bool
record_step (const struct ck_event *event, GHashTable *ran_in_attempt,
             GHashTable *ran_in_request)
{
  const char *request = ck_text_member (event, "request");
  int64_t attempt = ck_number_member (event, "attempt");
  int64_t step = ck_number_member (event, "step");
  int64_t first = ck_number_member (event, "first");
  bool in_order = true;
  if (first > 0)
    {
      in_order = contains_key (
          ran_in_attempt,
          g_strdup_printf ("%s/%" PRId64 "/%" PRId64 "/%" PRId64, request,
                           attempt, step, first - 1));
    }
  for (int64_t layer = first; layer < ck_number_member (event, "end"); layer++)
    {
      char *key = g_strdup_printf ("%s/%" PRId64 "/%" PRId64 "/%" PRId64,
                                   request, attempt, step, layer);
      in_order = add_key (ran_in_attempt, key) && in_order;
      if (step > 0)
        {
          in_order = contains_key (ran_in_request,
                                   g_strdup_printf ("%s/%" PRId64 "/%" PRId64,
                                                    request, step - 1, layer))
                     && in_order;
        }
      add_key (ran_in_request, g_strdup_printf ("%s/%" PRId64 "/%" PRId64,
                                                request, step, layer));
    }
  return in_order;
}

/* Checks CK_LAYERS.  Within an attempt a layer runs once for each step, after
   the layer below it in the same step.  It runs after the same layer in the
   previous step, in any attempt of the request.  */
void
ck_check_layers (struct ck_checker *checker)
{
  GHashTable *ran_in_attempt
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *ran_in_request
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < checker->events->len; i++)
    {
      const struct ck_event *event = ck_event_at (checker, i);
      if (ck_has_name (event, "step")
          && !record_step (event, ran_in_attempt, ran_in_request))
        {
          ck_add_violation (checker, CK_LAYERS, event);
        }
    }
  g_hash_table_destroy (ran_in_request);
  g_hash_table_destroy (ran_in_attempt);
}

/* When each host was first known to leave.  The tables map the name of a host
   to a monotonic time in microseconds, UNSERVED to a version. */
struct leaving_times
{
  GHashTable *listed;   /* when a host list that says so was first served */
  GHashTable *unserved; /* version of the list that says so, not yet served */
  GHashTable *self_reported; /* when the host itself began to report it */
};

/* With LEAVING, sets the time of HOST in TABLE to AT_US unless it has one;
   else removes it.  */
static void
set_leaving (GHashTable *table, const char *host, bool leaving, int64_t at_us)
{
  if (!leaving)
    {
      g_hash_table_remove (table, host);
    }
  else if (!g_hash_table_contains (table, host))
    {
      int64_t *leaving_us = g_new (int64_t, 1);
      *leaving_us = at_us;
      g_hash_table_insert (table, (gpointer)host, leaving_us);
    }
}

/* Records the state of HOST from EVENT, a change of the host list.  A leaving
   host counts as such once that version of the list is served; a host that no
   longer leaves is cleared at once.  */
static void
record_listed (const struct leaving_times *leaving_times,
               const struct ck_event *event, const char *host)
{
  if (strcmp (ck_text_member (event, "state"), "leaving") == 0)
    {
      gsize version = (gsize)ck_number_member (event, "version");
      g_hash_table_insert (leaving_times->unserved, (gpointer)host,
                           GSIZE_TO_POINTER (version));
      return;
    }
  g_hash_table_remove (leaving_times->unserved, host);
  set_leaving (leaving_times->listed, host, false, event->time_us);
}

/* Records the hosts that leave in the version of the host list that EVENT
   served.  */
static void
record_served (const struct leaving_times *leaving_times,
               const struct ck_event *event)
{
  GHashTableIter iterator;
  gpointer host;
  gpointer version;
  g_hash_table_iter_init (&iterator, leaving_times->unserved);
  while (g_hash_table_iter_next (&iterator, &host, &version))
    {
      if (GPOINTER_TO_SIZE (version)
          <= (gsize)ck_number_member (event, "version"))
        {
          set_leaving (leaving_times->listed, host, true, event->time_us);
          g_hash_table_iter_remove (&iterator);
        }
    }
}

/* Updates LEAVING_TIMES from EVENT.  A host that restarts no longer reports by
   itself that it leaves; an entry in the host list stays.  */
static void
record_leaving (const struct leaving_times *leaving_times,
                const struct ck_event *event)
{
  const char *host = ck_text_member (event, "host");
  if (ck_has_name (event, "host"))
    {
      record_listed (leaving_times, event, host);
    }
  else if (ck_has_name (event, "list_served"))
    {
      record_served (leaving_times, event);
    }
  else if (ck_has_name (event, "started"))
    {
      set_leaving (leaving_times->self_reported, host, false, event->time_us);
    }
  else if (ck_has_name (event, "fault"))
    {
      const json_t *fault = json_object_get (event->json, "fault");
      const json_t *value = json_object_get (fault, "leaving");
      if (json_is_boolean (value))
        {
          set_leaving (leaving_times->self_reported, host,
                       json_is_true (value), event->time_us);
        }
    }
}

/* Returns whether HOST has a time in TABLE that is more than LEAVING_LIMIT_US
   before NOW_US.  */
static bool
is_past_limit (GHashTable *table, const char *host, int64_t now_us)
{
  const int64_t *leaving_us = g_hash_table_lookup (table, host);
  return leaving_us != NULL && now_us > *leaving_us + LEAVING_LIMIT_US;
}

/* Returns whether EVENT is work that was newly sent to a host, also when the
   host refused it.  */
static bool
is_new_work (const struct ck_event *event)
{
  return ck_has_name (event, "open") || ck_has_name (event, "open_refused")
         || ck_has_name (event, "effect") || ck_has_name (event, "not_run");
}

/* Checks CK_LEAVING.  No new work is sent to a host later than
   LEAVING_LIMIT_US after it was first known to leave.  */
void
ck_check_leaving (struct ck_checker *checker)
{
  const struct leaving_times leaving_times = {
    .listed = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free),
    .unserved = g_hash_table_new (g_str_hash, g_str_equal),
    .self_reported
    = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free),
  };
  for (guint i = 0; i < checker->events->len; i++)
    {
      const struct ck_event *event = ck_event_at (checker, i);
      const char *host = ck_text_member (event, "host");
      record_leaving (&leaving_times, event);
      if (is_new_work (event)
          && (is_past_limit (leaving_times.listed, host, event->time_us)
              || is_past_limit (leaving_times.self_reported, host,
                                event->time_us)))
        {
          ck_add_violation (checker, CK_LEAVING, event);
        }
    }
  g_hash_table_destroy (leaving_times.self_reported);
  g_hash_table_destroy (leaving_times.unserved);
  g_hash_table_destroy (leaving_times.listed);
}

/* Adds the version of EVENT to ACCEPTED; one that was accepted before is a
   violation.  */
static void
check_accepted_once (struct ck_checker *checker, GHashTable *accepted,
                     const struct ck_event *event)
{
  gsize version = (gsize)ck_number_member (event, "version");
  if (!g_hash_table_add (accepted, GSIZE_TO_POINTER (version)))
    {
      ck_add_violation (checker, CK_VERSIONS_RISE, event);
    }
}

/* Checks CK_VERSIONS_RISE.  The version that a daemon reports as in force
   never falls, also when the daemon is replaced, and of concurrent changes on
   the same base version only one is accepted.  */
void
ck_check_versions_rise (struct ck_checker *checker)
{
  GHashTable *newest_by_daemon = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *accepted = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < checker->events->len; i++)
    {
      const struct ck_event *event = ck_event_at (checker, i);
      if (ck_has_name (event, "published"))
        {
          check_accepted_once (checker, accepted, event);
        }
      if (!ck_has_name (event, "version"))
        {
          continue;
        }
      const char *daemon = ck_text_member (event, "daemon");
      gsize version = (gsize)ck_number_member (event, "version");
      gsize newest_version
          = GPOINTER_TO_SIZE (g_hash_table_lookup (newest_by_daemon, daemon));
      if (version < newest_version)
        {
          ck_add_violation (checker, CK_VERSIONS_RISE, event);
        }
      g_hash_table_replace (newest_by_daemon, (gpointer)daemon,
                            GSIZE_TO_POINTER (MAX (version, newest_version)));
    }
  g_hash_table_destroy (accepted);
  g_hash_table_destroy (newest_by_daemon);
}

/* Checks CK_VERSION_IN_FORCE.  Later than IN_FORCE_LIMIT_US after a version
   was accepted, no daemon reports an older one as in force.  */
void
ck_check_versions_in_force (struct ck_checker *checker)
{
  GArray *published = g_array_new (FALSE, FALSE, sizeof (struct ck_event));
  for (guint i = 0; i < checker->events->len; i++)
    {
      const struct ck_event *event = ck_event_at (checker, i);
      if (ck_has_name (event, "published"))
        {
          g_array_append_val (published, *event);
        }
      bool late = false;
      for (guint j = 0; ck_has_name (event, "version") && j < published->len;
           j++)
        {
          const struct ck_event *earlier
              = &g_array_index (published, struct ck_event, j);
          late = late
                 || (event->time_us > earlier->time_us + IN_FORCE_LIMIT_US
                     && ck_number_member (event, "version")
                            < ck_number_member (earlier, "version"));
        }
      if (late)
        {
          ck_add_violation (checker, CK_VERSION_IN_FORCE, event);
        }
    }
  g_array_free (published, TRUE);
}
