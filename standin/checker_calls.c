/* The rules about calls, their effects and their answers. */
#include "standin/checker_private.h"

#include <string.h>

/* A kill is journalled before the signal is sent, so that a call sent up to
   this long after the event may still be cut by that kill. */
#define KILL_GRACE_US INT64_C (200000)

/* Groups the events with NAME by the value of their string MEMBER.  Returns a
   table from that value to a GPtrArray of struct ck_event in the order of
   time.  */
static GHashTable *
group_events_by (const struct ck_checker *checker, const char *name,
                 const char *member)
{
  GHashTable *groups = g_hash_table_new_full (
      g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  for (guint i = 0; i < checker->events->len; i++)
    {
      const struct ck_event *event = ck_event_at (checker, i);
      if (!ck_has_name (event, name))
        {
          continue;
        }
      const char *key = ck_text_member (event, member);
      GPtrArray *group = g_hash_table_lookup (groups, key);
      if (group == NULL)
        {
          group = g_ptr_array_new ();
          g_hash_table_insert (groups, (gpointer)key, group);
        }
      g_ptr_array_add (group, (gpointer)event);
    }
  return groups;
}

/* Checks CK_EFFECTS_PER_KEY.  The slot of a booking is its idempotency key;
   every effect on a slot after the first is a violation.  */
void
ck_check_effects (struct ck_checker *checker)
{
  GHashTable *effects = group_events_by (checker, "effect", "slot");
  GHashTableIter iterator;
  gpointer group;
  g_hash_table_iter_init (&iterator, effects);
  while (g_hash_table_iter_next (&iterator, NULL, &group))
    {
      const GPtrArray *events = group;
      for (guint i = 1; i < events->len; i++)
        {
          ck_add_violation (checker, CK_EFFECTS_PER_KEY,
                            g_ptr_array_index (events, i));
        }
    }
  g_hash_table_destroy (effects);
}

/* Returns whether EFFECT may stem from a call of the same key other than
   NOT_RUN: one that was sent before the effect and answered after NOT_RUN.  */
static bool
may_stem_from_other_call (const GPtrArray *calls,
                          const struct ck_event *not_run,
                          const struct ck_event *effect)
{
  for (guint i = 0; i < calls->len; i++)
    {
      const struct ck_event *call = g_ptr_array_index (calls, i);
      if (call != not_run && ck_number_member (call, "sent") <= effect->time_us
          && call->time_us > not_run->time_us)
        {
          return true;
        }
    }
  return false;
}

/* Checks CK_NOT_RUN for one key, given all its KEY_CALLS and KEY_EFFECTS.  */
static void
check_not_run_key (struct ck_checker *checker, const GPtrArray *key_calls,
                   const GPtrArray *key_effects)
{
  for (guint i = 0; i < key_calls->len; i++)
    {
      const struct ck_event *not_run = g_ptr_array_index (key_calls, i);
      if (strcmp (ck_text_member (not_run, "ran"), "no") != 0)
        {
          continue;
        }
      for (guint j = 0; j < key_effects->len; j++)
        {
          const struct ck_event *effect = g_ptr_array_index (key_effects, j);
          if (!may_stem_from_other_call (key_calls, not_run, effect))
            {
              ck_add_violation (checker, CK_NOT_RUN, not_run);
            }
        }
    }
}

/* Checks CK_NOT_RUN.  When a call was answered as not run, its key has no
   effect, earlier or later, except by another call that was open at that time
   or sent later.  */
void
ck_check_not_run (struct ck_checker *checker)
{
  GHashTable *calls = group_events_by (checker, "call", "key");
  GHashTable *effects = group_events_by (checker, "effect", "slot");
  GHashTableIter iterator;
  gpointer key;
  gpointer key_calls;
  g_hash_table_iter_init (&iterator, calls);
  while (g_hash_table_iter_next (&iterator, &key, &key_calls))
    {
      const GPtrArray *key_effects = g_hash_table_lookup (effects, key);
      if (key_effects != NULL)
        {
          check_not_run_key (checker, key_calls, key_effects);
        }
    }
  g_hash_table_destroy (effects);
  g_hash_table_destroy (calls);
}

/* Returns whether EVENT records the end of a call by the load generator.  */
static bool
is_call_end (const struct ck_event *event)
{
  return ck_has_name (event, "draft") || ck_has_name (event, "call")
         || ck_has_name (event, "lookup");
}

/* Returns whether the daemon that was called for ANSWER has an event NAME
   between the sending of the request, less KILL_GRACE_US, and the end of the
   answer.  With ANY_TIME events before the request count too.  */
static bool
daemon_had_event (const struct ck_checker *checker, const char *name,
                  const struct ck_event *answer, bool any_time)
{
  for (guint i = 0; i < checker->events->len; i++)
    {
      const struct ck_event *event = ck_event_at (checker, i);
      if (event->time_us > answer->time_us)
        {
          break;
        }
      if (ck_has_name (event, name)
          && (any_time
              || event->time_us
                     >= ck_number_member (answer, "sent") - KILL_GRACE_US)
          && strcmp (ck_text_member (event, "caller"),
                     ck_text_member (answer, "caller"))
                 == 0)
        {
          return true;
        }
    }
  return false;
}

/* Checks CK_ANSWERS.  No answer is wrong, and an answer is cut only when its
   daemon was killed.  A cut after a planned stop is left to
   CK_PLANNED_STOP.  */
void
ck_check_answers (struct ck_checker *checker)
{
  for (guint i = 0; i < checker->events->len; i++)
    {
      const struct ck_event *event = ck_event_at (checker, i);
      if (!is_call_end (event))
        {
          continue;
        }
      const char *outcome = ck_text_member (event, "outcome");
      bool wrong = strcmp (outcome, "wrong") == 0;
      bool cut = strcmp (outcome, "cut") == 0
                 && !daemon_had_event (checker, "daemon_killed", event, false)
                 && !daemon_had_event (checker, "planned_stop", event, true);
      if (wrong || cut)
        {
          ck_add_violation (checker, CK_ANSWERS, event);
        }
    }
}

/* Returns whether EVENT is an answer that its daemon did not complete.  */
static bool
is_cut_off (const struct ck_event *event)
{
  if (ck_has_name (event, "unfinished"))
    {
      return true;
    }
  const char *outcome = ck_text_member (event, "outcome");
  return is_call_end (event)
         && (strcmp (outcome, "cut") == 0
             || (strcmp (outcome, "failed") == 0
                 && strcmp (ck_text_member (event, "kind"), "shutting_down")
                        == 0));
}

/* Checks CK_PLANNED_STOP.  A planned stop cuts off no answer, and the daemon
   exits by itself with status 0.  A cut by a kill is no violation.  */
void
ck_check_planned_stop (struct ck_checker *checker)
{
  for (guint i = 0; i < checker->events->len; i++)
    {
      const struct ck_event *event = ck_event_at (checker, i);
      bool cut = is_cut_off (event)
                 && daemon_had_event (checker, "planned_stop", event, true)
                 && !daemon_had_event (checker, "daemon_killed", event, false);
      bool bad_exit = ck_has_name (event, "stopped")
                      && ck_number_member (event, "status") != 0;
      if (cut || bad_exit)
        {
          ck_add_violation (checker, CK_PLANNED_STOP, event);
        }
    }
}
