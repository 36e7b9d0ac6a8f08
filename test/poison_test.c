/* Tests of finding what requests have in common that crash endpoints. */
#include "core/poison.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#define SETTLE_US 300000
#define DAEMONS 3
#define START_MS INT64_C (1700000000000)

/* The daemons of a fleet, which share their evidence through a store. */
struct fleet
{
  struct psn_set *sets[DAEMONS];
  GHashTable *store; /* key to GBytes */
  int64_t now_us;
};

static struct psn_time
now_of (const struct fleet *fleet)
{
  return (struct psn_time){ .monotonic_us = fleet->now_us,
                            .unix_ms = START_MS + fleet->now_us / 1000 };
}

static void
open_fleet (struct fleet *fleet)
{
  fleet->store = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_bytes_unref);
  fleet->now_us = 1000000;
  for (int i = 0; i < DAEMONS; i++)
    {
      g_autofree char *name = g_strdup_printf ("daemon-%d", i);
      fleet->sets[i] = psn_create (name, SETTLE_US);
    }
}

static void
close_fleet (struct fleet *fleet)
{
  for (int i = 0; i < DAEMONS; i++)
    {
      psn_destroy (fleet->sets[i]);
    }
  g_hash_table_destroy (fleet->store);
}

/* Writes the changes of all daemons to the store, and from there to all
   daemons, until nothing changes any more.  */
static void
share (struct fleet *fleet)
{
  bool changed = true;
  while (changed)
    {
      changed = false;
      for (int i = 0; i < DAEMONS; i++)
        {
          g_autoptr (GPtrArray) records = psn_take_changes (fleet->sets[i]);
          for (guint n = 0; n < records->len; n++)
            {
              const struct psn_record *record = g_ptr_array_index (records, n);
              changed = true;
              if (record->value == NULL)
                {
                  g_hash_table_remove (fleet->store, record->key);
                }
              else
                {
                  g_hash_table_replace (
                      fleet->store, g_strdup (record->key),
                      g_bytes_new (record->value, record->value_bytes));
                }
              for (int to = 0; to < DAEMONS; to++)
                {
                  assert_true (psn_merge (fleet->sets[to], record->key,
                                          record->value, record->value_bytes,
                                          now_of (fleet), NULL));
                }
            }
        }
    }
}

/* Returns the name of the trait ID: a repeated request if ID is a capital, or
   else a part of prompts.  The caller frees it.  */
static char *
name_trait (const char *id)
{
  return g_ascii_isupper (id[0]) ? psn_request_name (id)
                                 : psn_part_name ("draft", id);
}

/* Returns the names of the traits IDS, which are separated by spaces.  The
   caller frees them with g_strfreev.  */
static char **
name_traits (const char *ids)
{
  char **names = g_strsplit (ids, " ", 0);
  for (guint i = 0; names[i] != NULL; i++)
    {
      g_autofree char *id = names[i];
      names[i] = name_trait (id);
    }
  return names;
}

/* One step of a scenario: a request with the traits PARTS at DAEMON. */
struct step
{
  enum
  {
    END,   /* the engine ended under it */
    ALIVE, /* the engine answers after all */
    WRITE, /* an engine writes on it */
    ARRIVE /* it arrives, 30 times */
  } kind;
  int daemon;
  const char *parts;
  const char *engine;
};

static void
take_step (struct fleet *fleet, const struct step *step)
{
  struct psn_set *set = fleet->sets[step->daemon];
  g_auto (GStrv) parts = name_traits (step->parts);
  switch (step->kind)
    {
    case END:
      psn_report_end (set, parts, step->engine, now_of (fleet));
      break;
    case ALIVE:
      psn_report_alive (set, step->engine, now_of (fleet));
      break;
    case WRITE:
      psn_report_sound (set, parts, now_of (fleet));
      break;
    case ARRIVE:
      for (int i = 0; i < 30; i++)
        {
          psn_arrived (set, "draft", parts, now_of (fleet));
        }
      break;
    }
}

/* Returns whether a request with the traits IDS is kept away at DAEMON.  */
static bool
is_kept_away (struct fleet *fleet, int daemon, const char *ids)
{
  g_auto (GStrv) names = name_traits (ids);
  return psn_find (fleet->sets[daemon], names, now_of (fleet)) != NULL;
}

/* Returns the ids of the parts a to e and the requests R and S that are
   quarantined at DAEMON.  */
static char *
list_quarantined (struct fleet *fleet, int daemon)
{
  GString *found = g_string_new (NULL);
  static const char *const ids[] = { "a", "b", "c", "d", "e", "R", "S" };
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      g_autofree char *name = name_trait (ids[i]);
      char *const parts[] = { name, NULL };
      if (psn_find (fleet->sets[daemon], parts, now_of (fleet)) != NULL)
        {
          g_string_append (found, ids[i]);
        }
    }
  return g_string_free (found, FALSE);
}

/* Lets all daemons decide, learn of each other's decisions, and quarantine. */
static void
settle (struct fleet *fleet)
{
  for (int round = 0; round < 2; round++)
    {
      for (int i = 0; i < DAEMONS; i++)
        {
          g_free (list_quarantined (fleet, i));
        }
      fleet->now_us += SETTLE_US;
      share (fleet);
    }
}

/* Takes the COUNT STEPS, of which the daemons learn.  */
static void
take_steps (struct fleet *fleet, const struct step steps[], size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      take_step (fleet, &steps[i]);
    }
  share (fleet);
  settle (fleet);
}

/* Evidence, and the parts that it quarantines at all daemons alike.  The part
   d crashes engines; a is shared by all prompts, b by some. */
static const struct
{
  const char *name;
  struct step steps[12];
  const char *quarantined;
} evidence_cases[] = {
  { "ends at different daemons",
    { { END, 0, "a b d", "e1" },
      { END, 1, "a b d", "e2" },
      { END, 2, "a c d", "e3" } },
    "d" },
  { "too few ends", { { END, 0, "a d", "e1" }, { END, 1, "a d", "e2" } }, "" },
  { "one engine, seen by all",
    { { END, 0, "d", "e1" }, { END, 1, "d", "e1" }, { END, 2, "d", "e1" } },
    "" },
  { "bystanders have ended with the same engines",
    { { END, 0, "a b d", "e1" },
      { END, 1, "a c", "e1" },
      { END, 0, "a b d", "e2" },
      { END, 1, "a c", "e2" },
      { END, 0, "a c d", "e3" },
      { END, 1, "a c", "e3" },
      { END, 2, "a b d", "e4" } },
    "d" },
  { "an engine writes on the shared part meanwhile",
    { { END, 0, "a d", "e1" },
      { END, 0, "a d", "e2" },
      { WRITE, 1, "a", "" },
      { END, 0, "a d", "e3" } },
    "d" },
  { "an engine wrote on the shared part before",
    { { WRITE, 2, "a b", "" },
      { END, 0, "a b", "e1" },
      { END, 0, "a b", "e2" },
      { END, 1, "a b", "e3" } },
    "" },
  { "the part is written on after its ends",
    { { END, 0, "d", "e1" },
      { END, 1, "d", "e2" },
      { END, 2, "d", "e3" },
      { WRITE, 1, "d", "" } },
    "" },
  { "the engines answer after all",
    { { END, 0, "d", "e1" },
      { END, 0, "d", "e2" },
      { END, 1, "d", "e3" },
      { ALIVE, 0, "", "e1" } },
    "" },
  { "a part that fewer requests have",
    { { ARRIVE, 0, "d a", "" },
      { ARRIVE, 0, "a", "" },
      { ARRIVE, 1, "d a", "" },
      { ARRIVE, 1, "a", "" },
      { ARRIVE, 2, "d a", "" },
      { ARRIVE, 2, "a", "" },
      { END, 0, "d a", "e1" },
      { END, 0, "d a", "e2" },
      { END, 0, "d a", "e3" },
      { END, 1, "d a", "e4" },
      { END, 1, "a", "e5" } },
    "d" },
  { "two parts",
    { { END, 0, "a d", "e1" },
      { END, 1, "a d", "e2" },
      { END, 2, "a d", "e3" },
      { WRITE, 2, "a", "" },
      { END, 0, "a e", "e4" },
      { END, 1, "a e", "e5" },
      { END, 2, "a e", "e6" } },
    "de" },
  { "repeats of a request at different daemons",
    { { END, 0, "R", "e1" }, { END, 1, "R", "e2" }, { END, 2, "R", "e3" } },
    "R" },
  { "repeats are most of the requests",
    { { ARRIVE, 0, "R", "" },
      { ARRIVE, 1, "R", "" },
      { ARRIVE, 2, "R", "" },
      { END, 0, "R", "e1" },
      { END, 1, "R", "e2" },
      { END, 2, "R", "e3" } },
    "R" },
  { "repeats of a request that was answered",
    { { WRITE, 1, "R", "" },
      { END, 1, "R", "e1" },
      { END, 1, "R", "e2" },
      { END, 1, "R", "e3" } },
    "" },
  { "another request ran beside the repeats",
    { { END, 0, "R", "e1" },
      { END, 1, "S", "e1" },
      { END, 0, "R", "e2" },
      { END, 1, "S", "e2" },
      { END, 2, "R", "e3" },
      { END, 1, "S", "e3" },
      { END, 2, "R", "e4" } },
    "R" },
  { "two requests that ran beside each other",
    { { END, 0, "R", "e1" },
      { END, 1, "R S", "e2" },
      { END, 0, "S", "e3" },
      { END, 1, "R S", "e4" },
      { END, 2, "S", "e5" } },
    "RS" },
  { "all ends under a part are one request's",
    { { END, 0, "a d R", "e1" },
      { END, 1, "a d R", "e2" },
      { END, 2, "a d R", "e3" },
      { WRITE, 0, "a", "" } },
    "" }, /* but with the part, see test_request_with_part */
  { "a part of one repeat is in requests that ran beside the others",
    { { END, 0, "R", "e1" },
      { END, 0, "a S", "e1" },
      { END, 0, "R", "e2" },
      { END, 0, "a S", "e2" },
      { END, 0, "a R", "e3" } },
    "R" },
  { "a request with the part ran more often than others",
    { { WRITE, 0, "a", "" },
      { END, 0, "a d R", "e1" },
      { END, 0, "a d R", "e2" },
      { END, 1, "a d R", "e3" },
      { END, 2, "a d S", "e4" } },
    "d" },
  { "a part and a request at the same time",
    { { END, 0, "d", "e1" },
      { END, 1, "d", "e2" },
      { END, 2, "d", "e3" },
      { END, 0, "R", "e4" },
      { END, 1, "R", "e5" },
      { END, 2, "R", "e6" } },
    "dR" },
  { "a part that most requests have",
    { { ARRIVE, 0, "a b", "" },
      { ARRIVE, 1, "a b", "" },
      { ARRIVE, 2, "a b", "" },
      { END, 0, "a b", "e1" },
      { END, 1, "a b", "e2" },
      { END, 2, "a b", "e3" } },
    "" },
};

/* Which part is quarantined after which evidence.  */
static void
test_evidence (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (evidence_cases); i++)
    {
      struct fleet fleet;
      open_fleet (&fleet);
      for (size_t n = 0; n < G_N_ELEMENTS (evidence_cases[i].steps)
                         && evidence_cases[i].steps[n].parts != NULL;
           n++)
        {
          take_step (&fleet, &evidence_cases[i].steps[n]);
          fleet.now_us += 10000;
          share (&fleet);
        }
      settle (&fleet);
      for (int daemon = 0; daemon < DAEMONS; daemon++)
        {
          g_autofree char *found = list_quarantined (&fleet, daemon);
          if (strcmp (found, evidence_cases[i].quarantined) != 0)
            {
              fail_msg ("%s: daemon %d has quarantined '%s'",
                        evidence_cases[i].name, daemon, found);
            }
        }
      close_fleet (&fleet);
    }
}

/* Guards against requests that are refused for a part that they don't have: a
   part crashes engines, in requests that are all alike but for the parts, and
   no daemon knows yet that others like them are sound.  */
static void
test_request_with_part (void **state)
{
  (void)state;
  static const struct step ends[] = { { END, 0, "a d R", "e1" },
                                      { END, 1, "a d R", "e2" },
                                      { END, 2, "a d R", "e3" } };
  struct fleet fleet;
  open_fleet (&fleet);
  take_steps (&fleet, ends, G_N_ELEMENTS (ends));
  for (int i = 0; i < DAEMONS; i++)
    {
      assert_true (is_kept_away (&fleet, i, "a d R"));
      assert_false (is_kept_away (&fleet, i, "a b R"));
    }
  const struct step written = { WRITE, 1, "a b R", "" };
  take_steps (&fleet, &written, 1);
  for (int i = 0; i < DAEMONS; i++)
    {
      assert_true (is_kept_away (&fleet, i, "a d R"));
      assert_true (is_kept_away (&fleet, i, "c d S"));
      assert_false (is_kept_away (&fleet, i, "a c R"));
    }
  close_fleet (&fleet);
}

/* Guards against repeats that go on because their prompts vary: the parts that
   not all of them have don't count.  */
static void
test_repeats_with_other_parts (void **state)
{
  (void)state;
  static const struct step ends[] = { { END, 0, "a d R", "e1" },
                                      { END, 0, "b R", "e2" },
                                      { END, 1, "a c R", "e3" },
                                      { END, 2, "e R", "e4" } };
  struct fleet fleet;
  open_fleet (&fleet);
  take_steps (&fleet, ends, G_N_ELEMENTS (ends));
  for (int i = 0; i < DAEMONS; i++)
    {
      assert_true (is_kept_away (&fleet, i, "a d R"));
      assert_true (is_kept_away (&fleet, i, "R"));
    }
  close_fleet (&fleet);
}

/* Quarantines the part d at all daemons.  */
static void
quarantine_d (struct fleet *fleet)
{
  static const struct step ends[] = { { END, 0, "a b d", "e1" },
                                      { END, 1, "a b d", "e2" },
                                      { END, 2, "a b d", "e3" } };
  take_steps (fleet, ends, G_N_ELEMENTS (ends));
}

static void
assert_quarantined (struct fleet *fleet, int daemon, const char *expected)
{
  g_autofree char *found = list_quarantined (fleet, daemon);
  assert_string_equal (found, expected);
}

/* A daemon that starts later learns the quarantine from the store, also when
   the daemons that saw the ends are gone.  */
static void
test_restart (void **state)
{
  (void)state;
  struct fleet fleet;
  open_fleet (&fleet);
  quarantine_d (&fleet);
  psn_destroy (fleet.sets[0]);
  fleet.sets[0] = psn_create ("daemon-0-again", SETTLE_US);
  psn_begin_snapshot (fleet.sets[0]);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet.store);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      gsize bytes = 0;
      const uint8_t *data = g_bytes_get_data (value, &bytes);
      assert_true (
          psn_merge (fleet.sets[0], key, data, bytes, now_of (&fleet), NULL));
    }
  psn_end_snapshot (fleet.sets[0]);
  g_free (list_quarantined (&fleet, 0));
  fleet.now_us += SETTLE_US;
  assert_quarantined (&fleet, 0, "d");
  close_fleet (&fleet);
}

/* What a restore of the store has lost is published again, by the daemon that
   reported it, or by another one if that is gone.  */
static void
test_publish_again (void **state)
{
  (void)state;
  struct fleet fleet;
  open_fleet (&fleet);
  quarantine_d (&fleet);
  guint before = g_hash_table_size (fleet.store);
  g_hash_table_remove_all (fleet.store);
  psn_publish_again (fleet.sets[1], false);
  share (&fleet);
  guint own = g_hash_table_size (fleet.store);
  psn_publish_again (fleet.sets[1], true);
  share (&fleet);
  assert_int_equal (own * DAEMONS, before);
  assert_int_equal (g_hash_table_size (fleet.store), before);
  assert_quarantined (&fleet, 2, "d");
  close_fleet (&fleet);
}

/* A quarantined part is tried soon, then more and more rarely; a success
   releases it at all daemons, and without further evidence it is forgotten.
 */
static void
test_trial_and_expiry (void **state)
{
  (void)state;
  struct fleet fleet;
  open_fleet (&fleet);
  quarantine_d (&fleet);
  g_autofree char *name = psn_part_name ("draft", "d");
  static const int64_t intervals_us[]
      = { PSN_TRIAL_FIRST_US, 4 * PSN_TRIAL_FIRST_US, 16 * PSN_TRIAL_FIRST_US,
          PSN_TRIAL_MAX_US, PSN_TRIAL_MAX_US };
  for (size_t i = 0; i < G_N_ELEMENTS (intervals_us); i++)
    {
      assert_false (psn_take_trial (fleet.sets[0], name, now_of (&fleet)));
      int64_t wait_us
          = psn_trial_wait_us (fleet.sets[0], name, now_of (&fleet));
      assert_in_range (wait_us, intervals_us[i] / 2, intervals_us[i]);
      /* The others state the same time, though they let none through. */
      assert_int_equal (
          psn_trial_wait_us (fleet.sets[1], name, now_of (&fleet)), wait_us);
      fleet.now_us += wait_us;
      assert_true (psn_take_trial (fleet.sets[0], name, now_of (&fleet)));
      assert_quarantined (&fleet, 1, "d");
    }
  const struct step written = { WRITE, 0, "d", "" };
  take_step (&fleet, &written);
  share (&fleet);
  for (int i = 0; i < DAEMONS; i++)
    {
      g_free (list_quarantined (&fleet, i));
    }
  share (&fleet);
  for (int i = 0; i < DAEMONS; i++)
    {
      assert_quarantined (&fleet, i, "");
    }
  quarantine_d (&fleet);
  fleet.now_us += PSN_KEPT_MS * 1000 + 1000000;
  for (int i = 0; i < DAEMONS; i++)
    {
      psn_expire (fleet.sets[i], i == 0, now_of (&fleet));
    }
  share (&fleet);
  assert_quarantined (&fleet, 0, "");
  assert_int_equal (g_hash_table_size (fleet.store), 0);
  close_fleet (&fleet);
}

/* Records of other daemons that can't be read are refused.  */
static void
test_invalid_records (void **state)
{
  (void)state;
  static const struct
  {
    const char *key;
    const char *value;
  } cases[] = {
    { "", "" },
    { "draft", "" },
    { "draft/d", "" },
    { "draft/d/", "" },
    { "draft/d/daemon-9", "\xff\xff" },
  };
  struct fleet fleet;
  open_fleet (&fleet);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      assert_false (psn_merge (
          fleet.sets[0], cases[i].key, (const uint8_t *)cases[i].value,
          strlen (cases[i].value), now_of (&fleet), &error));
      assert_non_null (error);
    }
  close_fleet (&fleet);
}

/* The number of suspects is bounded, and a part with more evidence isn't
   displaced by many with less.  */
static void
test_many_suspects (void **state)
{
  (void)state;
  struct fleet fleet;
  open_fleet (&fleet);
  quarantine_d (&fleet);
  for (int i = 0; i < 2 * PSN_SUSPECTS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("x%d", i);
      const struct step step = { END, 0, id, "e9" };
      take_step (&fleet, &step);
    }
  share (&fleet);
  assert_true (g_hash_table_size (fleet.store)
               <= PSN_SUSPECTS_MAX + 4 * DAEMONS);
  assert_quarantined (&fleet, 0, "d");
  assert_quarantined (&fleet, 2, "d");
  close_fleet (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_evidence),
    cmocka_unit_test (test_request_with_part),
    cmocka_unit_test (test_repeats_with_other_parts),
    cmocka_unit_test (test_restart),
    cmocka_unit_test (test_publish_again),
    cmocka_unit_test (test_trial_and_expiry),
    cmocka_unit_test (test_invalid_records),
    cmocka_unit_test (test_many_suspects),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
