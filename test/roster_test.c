#include "core/roster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#define S_US INT64_C (1000000)
#define MS_US INT64_C (1000)
#define SETTLE_US (3 * S_US)

/* Age that the proof of the list may have at a removal. */
#define PROOF_AGE_US (300 * MS_US)

/* Returns an endpoint as rst_update gets it.  */
static struct rst_endpoint *
new_endpoint (const char *id, int64_t born_ms, uint64_t sequence, bool leaving)
{
  struct rst_endpoint *endpoint = g_new0 (struct rst_endpoint, 1);
  endpoint->id = g_strdup (id);
  endpoint->service = g_strdup ("draft");
  endpoint->address = g_strdup ("10.0.0.1:80");
  endpoint->data_centre = g_strdup ("kgn");
  endpoint->started_ms = born_ms;
  endpoint->sequence = sequence;
  endpoint->leaving = leaving;
  return endpoint;
}

/* What happens to the endpoint, the list or the clock in one step. */
enum action
{
  ACTION_LIST,
  ACTION_LEAVE,
  ACTION_REMOVE,
  ACTION_OUTAGE, /* a call at `at_us' shows that the list is out of reach */
  ACTION_CONTACT,
  ACTION_TICK,
  ACTION_EMPTY_FULL_READ, /* a full read that does not name the endpoint */
  ACTION_FULL_LIST,  /* a full read up to `offset' that names the endpoint with
                        a record before it */
  ACTION_FULL_LEAVE, /* the same, as leaving */
  ACTION_RESTORED    /* the list is in the era `offset' from now on */
};

/* An action, and the state of the endpoint afterwards. */
struct step
{
  enum action action;
  uint64_t offset;
  int64_t at_us;
  int64_t born_ms;
  const char *expected; /* "used", "leaving" or "gone" */
  uint64_t sequence;    /* of the record */
};

#define STEPS_MAX 9

/* Steps on a roster with one endpoint.  A step without an expected state ends
   them. */
struct script
{
  const char *name;
  struct step steps[STEPS_MAX];
};

static const struct script scripts[] = {
  { "an endpoint that leaves is marked",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_LEAVE, 2, 0, 1, "leaving", 0 } } },
  { "a record older than the one of leaving is ignored",
    { { ACTION_LEAVE, 5, 0, 1, "leaving", 0 },
      { ACTION_LIST, 4, 0, 1, "leaving", 0 } } },
  { "an incarnation that leaves stays marked",
    { { ACTION_LEAVE, 5, 0, 1, "leaving", 0 },
      { ACTION_LIST, 6, 0, 1, "leaving", 0 } } },
  { "the next incarnation is in use",
    { { ACTION_LEAVE, 5, 0, 1, "leaving", 0 },
      { ACTION_LIST, 6, 0, 2, "used", 0 } } },
  { "a removal takes effect at once",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_REMOVE, 2, S_US, 1, "gone", 0 } } },
  { "an outage of the list removes no endpoint",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_OUTAGE, 0, S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 60 * S_US, 1, "used", 0 } } },
  { "an endpoint removed in an outage may be named again",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_REMOVE, 2, 9 * S_US, 1, "used", 0 },
      { ACTION_LIST, 3, 10 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 20 * S_US, 1, "used", 0 } } },
  { "an endpoint that is not named again is removed",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_REMOVE, 2, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 12 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 12 * S_US, 1, "gone", 0 } } },
  /* Guards against a single grace for two outages: the endpoint couldn't be
     named again between them. */
  { "a second outage soon after the first gives more time",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_REMOVE, 2, 9 * S_US, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 14 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 14 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 15 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 17 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 17 * S_US, 1, "gone", 0 } } },
  { "a full read after an outage delays the removal as well",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_EMPTY_FULL_READ, 7, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 12 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 12 * S_US, 1, "gone", 0 } } },
  /* Guards against requests to an endpoint that was removed during a cut of
     this daemon alone: the first answer came a time-out after its end. */
  { "the end of an outage that is noticed late doesn't delay a removal "
    "further",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 10 * S_US, 1, "used", 0 },
      { ACTION_REMOVE, 2, 10 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 9 * S_US + 2700 * MS_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 9 * S_US + 2750 * MS_US, 1, "used", 0 },
      { ACTION_TICK, 0, 9 * S_US + 2750 * MS_US, 1, "gone", 0 } } },
  /* Guards against an endpoint that is gone although the list names it: the
     list was out of reach again when the removal was due, which a time-out
     later showed. */
  { "a removal that is due waits for a proof of the list",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_REMOVE, 2, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 10 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 12 * S_US, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 13 * S_US, 1, "used", 0 },
      { ACTION_LIST, 3, 15 * S_US, 1, "used", 0 } } },
  { "the proof that it waits for shows that the endpoint isn't listed",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_REMOVE, 2, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 10 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 12 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 13 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 13 * S_US, 1, "gone", 0 } } },
  { "a removal takes effect at once where its delay is over",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_OUTAGE, 0, 9 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 12 * S_US, 1, "used", 0 },
      { ACTION_REMOVE, 2, 12 * S_US, 1, "gone", 0 } } },
  { "a restore counts from the newest proof of the list",
    { { ACTION_CONTACT, 0, 9 * S_US, 1, "gone", 0 },
      { ACTION_LIST, 9, 9 * S_US, 1, "used", 0 },
      { ACTION_RESTORED, 2, 10 * S_US, 1, "used", 0 },
      { ACTION_EMPTY_FULL_READ, 4, 10 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 9 * S_US + 2700 * MS_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 9 * S_US + 2750 * MS_US, 1, "used", 0 },
      { ACTION_TICK, 0, 9 * S_US + 2750 * MS_US, 1, "gone", 0 } } },
  { "a full read without an outage removes at once",
    { { ACTION_LIST, 1, 0, 1, "used", 0 },
      { ACTION_EMPTY_FULL_READ, 7, 9 * S_US, 1, "gone", 0 } } },
  { "records after a restore are newer, whatever their offsets are",
    { { ACTION_LIST, 9, 0, 1, "used", 0 },
      { ACTION_RESTORED, 2, S_US, 1, "used", 0 },
      { ACTION_FULL_LIST, 4, S_US, 1, "used", 0 },
      { ACTION_LEAVE, 4, 2 * S_US, 1, "leaving", 0 } } },
  { "the copy doesn't know an endpoint yet: it has time to write again",
    { { ACTION_LIST, 9, 0, 1, "used", 0 },
      { ACTION_RESTORED, 2, S_US, 1, "used", 0 },
      { ACTION_EMPTY_FULL_READ, 4, S_US, 1, "used", 0 },
      { ACTION_LIST, 4, 2 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 9 * S_US, 1, "used", 0 } } },
  { "an endpoint that doesn't write again is removed",
    { { ACTION_LIST, 9, 0, 1, "used", 0 },
      { ACTION_RESTORED, 2, S_US, 1, "used", 0 },
      { ACTION_EMPTY_FULL_READ, 4, S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 4 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 4 * S_US, 1, "gone", 0 } } },
  { "the copy doesn't know that an endpoint leaves",
    { { ACTION_LEAVE, 9, 0, 1, "leaving", 5 },
      { ACTION_RESTORED, 2, S_US, 1, "leaving", 0 },
      { ACTION_FULL_LIST, 4, S_US, 1, "leaving", 3 },
      { ACTION_LIST, 4, 5 * S_US, 1, "leaving", 4 },
      { ACTION_LIST, 5, 5 * S_US, 2, "used", 1 } } },
  { "an endpoint that has left isn't back in the copy",
    { { ACTION_LIST, 8, 0, 1, "used", 5 },
      { ACTION_REMOVE, 9, 0, 1, "gone", 0 },
      { ACTION_RESTORED, 2, S_US, 1, "gone", 0 },
      { ACTION_FULL_LIST, 4, S_US, 1, "gone", 3 },
      { ACTION_LIST, 4, 9 * S_US, 1, "gone", 4 },
      { ACTION_FULL_LIST, 5, 9 * S_US, 1, "gone", 4 } } },
  { "it is after a second restore neither",
    { { ACTION_LIST, 8, 0, 1, "used", 5 },
      { ACTION_REMOVE, 9, 0, 1, "gone", 0 },
      { ACTION_RESTORED, 2, S_US, 1, "gone", 0 },
      { ACTION_RESTORED, 3, S_US, 1, "gone", 0 },
      { ACTION_FULL_LIST, 3, S_US, 1, "gone", 3 } } },
  { "it is back with its next record",
    { { ACTION_LIST, 8, 0, 1, "used", 5 },
      { ACTION_REMOVE, 9, 0, 1, "gone", 0 },
      { ACTION_RESTORED, 2, S_US, 1, "gone", 0 },
      { ACTION_FULL_LIST, 4, S_US, 1, "gone", 3 },
      { ACTION_LIST, 5, S_US, 1, "used", 6 } } },
  { "it is back with its next incarnation",
    { { ACTION_LIST, 8, 0, 7, "used", 5 },
      { ACTION_REMOVE, 9, 0, 7, "gone", 0 },
      { ACTION_RESTORED, 2, S_US, 7, "gone", 0 },
      { ACTION_FULL_LIST, 4, S_US, 6, "gone", 9 },
      { ACTION_LIST, 5, S_US, 8, "used", 1 } } },
  { "without sequence numbers, a record after the copy counts in time",
    { { ACTION_LIST, 8, 0, 1, "used", 0 },
      { ACTION_REMOVE, 9, 0, 1, "gone", 0 },
      { ACTION_RESTORED, 2, S_US, 1, "gone", 0 },
      { ACTION_FULL_LIST, 4, S_US, 1, "gone", 0 },
      { ACTION_LIST, 4, 2 * S_US, 1, "gone", 0 },
      { ACTION_FULL_LIST, 5, 5 * S_US, 1, "gone", 0 },
      { ACTION_LIST, 5, 5 * S_US, 1, "used", 0 } } },
  { "within an era, an endpoint that was removed may be named again",
    { { ACTION_RESTORED, 2, S_US, 1, "gone", 0 },
      { ACTION_LIST, 8, 2 * S_US, 1, "used", 5 },
      { ACTION_REMOVE, 9, 2 * S_US, 1, "used", 0 },
      { ACTION_CONTACT, 0, 5 * S_US, 1, "used", 0 },
      { ACTION_TICK, 0, 5 * S_US, 1, "gone", 0 },
      { ACTION_LIST, 10, 5 * S_US, 1, "used", 5 } } },
};

/* Applies the action of STEP to ROSTER.  */
static void
apply_step (struct rst *roster, const struct step *step)
{
  switch (step->action)
    {
    case ACTION_LIST:
      rst_update (roster,
                  new_endpoint ("a", step->born_ms, step->sequence, false),
                  step->offset, step->at_us);
      break;
    case ACTION_LEAVE:
      rst_update (roster,
                  new_endpoint ("a", step->born_ms, step->sequence, true),
                  step->offset, step->at_us);
      break;
    case ACTION_REMOVE:
      rst_remove (roster, "a", step->offset, step->at_us);
      break;
    case ACTION_OUTAGE:
      rst_outage (roster, step->at_us);
      break;
    case ACTION_CONTACT:
      rst_list_read (roster, step->at_us, step->at_us);
      break;
    case ACTION_TICK:
      rst_expire (roster, step->at_us, PROOF_AGE_US, NULL);
      break;
    case ACTION_EMPTY_FULL_READ:
      rst_begin_full (roster);
      rst_end_full (roster, step->offset, step->at_us);
      break;
    case ACTION_FULL_LIST:
    case ACTION_FULL_LEAVE:
      rst_begin_full (roster);
      rst_update (roster,
                  new_endpoint ("a", step->born_ms, step->sequence,
                                step->action == ACTION_FULL_LEAVE),
                  step->offset - 1, step->at_us);
      rst_end_full (roster, step->offset, step->at_us);
      break;
    case ACTION_RESTORED:
      rst_restored (roster, step->offset, step->at_us);
      break;
    }
}

/* Returns "used", "leaving" or "gone" for the only endpoint of ROSTER.  */
static const char *
endpoint_state (struct rst *roster)
{
  GPtrArray *list = rst_list (roster);
  const char *text = "gone";
  if (list->len == 1)
    {
      const struct rst_endpoint *only = g_ptr_array_index (list, 0);
      text = only->leaving ? "leaving" : "used";
    }
  g_ptr_array_free (list, TRUE);
  return text;
}

/* Endpoints that leave, are removed, or are missing after an outage of the
   list: the state of the endpoint is as expected after each step.  */
static void
test_endpoint_states (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      struct rst *roster = rst_create (SETTLE_US);
      for (size_t n = 0; n < STEPS_MAX && scripts[i].steps[n].expected != NULL;
           n++)
        {
          apply_step (roster, &scripts[i].steps[n]);
          if (strcmp (endpoint_state (roster), scripts[i].steps[n].expected)
              != 0)
            {
              fail_msg ("%s: step %zu: %s", scripts[i].name, n,
                        endpoint_state (roster));
            }
        }
      rst_destroy (roster);
    }
}

/* What an older copy of the list says of an endpoint replaces what is known
   only if it isn't known to be older.  */
static void
test_copied_layers (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    int64_t started_ms; /* of the copied record; the known one has 5 */
    uint64_t sequence;  /* the same; 7 */
    uint32_t end;       /* of the layers afterwards: known 8, copied 3 */
  } cases[] = {
    { "an earlier record", 5, 6, 8 },
    { "the same record", 5, 7, 3 },
    { "a later record", 5, 9, 3 },
    { "without a sequence number", 5, 0, 3 },
    { "an earlier incarnation", 4, 9, 8 },
    { "a later incarnation", 6, 1, 3 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct rst *roster = rst_create (SETTLE_US);
      struct rst_endpoint *known = new_endpoint ("a", 5, 7, false);
      known->layers.end = 8;
      rst_update (roster, known, 20, 0);
      rst_restored (roster, 2, S_US);
      rst_begin_full (roster);
      struct rst_endpoint *copied
          = new_endpoint ("a", cases[i].started_ms, cases[i].sequence, false);
      copied->layers.end = 3;
      rst_update (roster, copied, 10, S_US);
      rst_end_full (roster, 11, S_US);
      rst_list_read (roster, 9 * S_US, 9 * S_US);
      rst_expire (roster, 9 * S_US, PROOF_AGE_US, NULL);
      GPtrArray *list = rst_list (roster);
      assert_int_equal (list->len, 1);
      const struct rst_endpoint *only = g_ptr_array_index (list, 0);
      if (only->layers.end != cases[i].end)
        {
          fail_msg ("%s: %u", cases[i].name, only->layers.end);
        }
      g_ptr_array_free (list, TRUE);
      rst_destroy (roster);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_endpoint_states),
    cmocka_unit_test (test_copied_layers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
