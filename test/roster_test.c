#include "core/roster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#define S_US INT64_C (1000000)

/* Creates an endpoint, as a record of the list describes it.  */
static struct rst_endpoint *
endpoint (const char *id, int64_t born_ms, bool leaving)
{
  struct rst_endpoint *made = g_new0 (struct rst_endpoint, 1);
  made->id = g_strdup (id);
  made->service = g_strdup ("draft");
  made->address = g_strdup ("10.0.0.1:80");
  made->data_centre = g_strdup ("kgn");
  made->born_ms = born_ms;
  made->leaving = leaving;
  return made;
}

enum act
{
  ACT_LIST,
  ACT_LEAVE,
  ACT_REMOVE,
  ACT_OUTAGE,
  ACT_CONTACT,
  ACT_TICK,
  ACT_FULL_WITHOUT /* a whole reading that doesn't name the endpoint */
};

struct step
{
  enum act act;
  uint64_t offset;
  int64_t at_us;
  int64_t born_ms;
  const char *want; /* "used", "leaving" or "gone" */
};

#define STEPS_MAX 8

struct script
{
  const char *name;
  struct step steps[STEPS_MAX];
};

static const struct script scripts[] = {
  { "an endpoint that leaves gets no work",
    { { ACT_LIST, 1, 0, 1, "used" }, { ACT_LEAVE, 2, 0, 1, "leaving" } } },
  { "a late record of before its leaving changes nothing",
    { { ACT_LEAVE, 5, 0, 1, "leaving" }, { ACT_LIST, 4, 0, 1, "leaving" } } },
  { "one incarnation doesn't come back from leaving",
    { { ACT_LEAVE, 5, 0, 1, "leaving" }, { ACT_LIST, 6, 0, 1, "leaving" } } },
  { "the next one does",
    { { ACT_LEAVE, 5, 0, 1, "leaving" }, { ACT_LIST, 6, 0, 2, "used" } } },
  { "a removal ends the use",
    { { ACT_LIST, 1, 0, 1, "used" }, { ACT_REMOVE, 2, S_US, 1, "gone" } } },
  { "an outage of the list alone ends nothing",
    { { ACT_LIST, 1, 0, 1, "used" },
      { ACT_OUTAGE, 0, S_US, 1, "used" },
      { ACT_TICK, 0, 60 * S_US, 1, "used" } } },
  { "an entry that lapsed in an outage may come back",
    { { ACT_LIST, 1, 0, 1, "used" },
      { ACT_OUTAGE, 0, S_US, 1, "used" },
      { ACT_CONTACT, 0, 9 * S_US, 1, "used" },
      { ACT_REMOVE, 2, 9 * S_US, 1, "used" },
      { ACT_LIST, 3, 10 * S_US, 1, "used" },
      { ACT_TICK, 0, 20 * S_US, 1, "used" } } },
  { "one that doesn't is gone",
    { { ACT_LIST, 1, 0, 1, "used" },
      { ACT_OUTAGE, 0, S_US, 1, "used" },
      { ACT_CONTACT, 0, 9 * S_US, 1, "used" },
      { ACT_REMOVE, 2, 9 * S_US, 1, "used" },
      { ACT_TICK, 0, 12 * S_US, 1, "gone" } } },
  { "a whole reading after an outage that misses it leaves it time, too",
    { { ACT_LIST, 1, 0, 1, "used" },
      { ACT_OUTAGE, 0, S_US, 1, "used" },
      { ACT_CONTACT, 0, 9 * S_US, 1, "used" },
      { ACT_FULL_WITHOUT, 7, 9 * S_US, 1, "used" },
      { ACT_TICK, 0, 12 * S_US, 1, "gone" } } },
  { "a whole reading without an outage doesn't",
    { { ACT_LIST, 1, 0, 1, "used" },
      { ACT_FULL_WITHOUT, 7, 9 * S_US, 1, "gone" } } },
};

static void
apply (struct rst *roster, const struct step *step)
{
  switch (step->act)
    {
    case ACT_LIST:
      rst_take (roster, endpoint ("a", step->born_ms, false), step->offset);
      break;
    case ACT_LEAVE:
      rst_take (roster, endpoint ("a", step->born_ms, true), step->offset);
      break;
    case ACT_REMOVE:
      rst_remove (roster, "a", step->offset, step->at_us);
      break;
    case ACT_OUTAGE:
      rst_outage (roster);
      break;
    case ACT_CONTACT:
      rst_contact (roster, step->at_us);
      break;
    case ACT_TICK:
      rst_tick (roster, step->at_us);
      break;
    case ACT_FULL_WITHOUT:
      rst_begin_full (roster);
      rst_end_full (roster, step->offset, step->at_us);
      break;
    }
}

/* Returns what ROSTER says of its only endpoint.  */
static const char *
describe (struct rst *roster)
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

static void
test_scripts (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      struct rst *roster = rst_create ();
      for (size_t n = 0; n < STEPS_MAX && scripts[i].steps[n].want != NULL;
           n++)
        {
          apply (roster, &scripts[i].steps[n]);
          if (strcmp (describe (roster), scripts[i].steps[n].want) != 0)
            {
              fail_msg ("%s: step %zu: %s", scripts[i].name, n,
                        describe (roster));
            }
        }
      rst_destroy (roster);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_scripts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
