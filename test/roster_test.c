#include "core/roster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#define S_US INT64_C (1000000)

/* Returns an endpoint as rst_update gets it.  */
static struct rst_endpoint *
new_endpoint (const char *id, int64_t born_ms, bool leaving)
{
  struct rst_endpoint *endpoint = g_new0 (struct rst_endpoint, 1);
  endpoint->id = g_strdup (id);
  endpoint->service = g_strdup ("draft");
  endpoint->address = g_strdup ("10.0.0.1:80");
  endpoint->data_centre = g_strdup ("kgn");
  endpoint->started_ms = born_ms;
  endpoint->leaving = leaving;
  return endpoint;
}

/* What happens to the endpoint, the list or the clock in one step. */
enum action
{
  ACTION_LIST,
  ACTION_LEAVE,
  ACTION_REMOVE,
  ACTION_OUTAGE,
  ACTION_CONTACT,
  ACTION_TICK,
  ACTION_EMPTY_FULL_READ /* a full read that does not name the endpoint */
};

/* An action, and the state of the endpoint afterwards. */
struct step
{
  enum action action;
  uint64_t offset;
  int64_t at_us;
  int64_t born_ms;
  const char *expected; /* "used", "leaving" or "gone" */
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
    { { ACTION_LIST, 1, 0, 1, "used" },
      { ACTION_LEAVE, 2, 0, 1, "leaving" } } },
  { "a record older than the one of leaving is ignored",
    { { ACTION_LEAVE, 5, 0, 1, "leaving" },
      { ACTION_LIST, 4, 0, 1, "leaving" } } },
  { "an incarnation that leaves stays marked",
    { { ACTION_LEAVE, 5, 0, 1, "leaving" },
      { ACTION_LIST, 6, 0, 1, "leaving" } } },
  { "the next incarnation is in use",
    { { ACTION_LEAVE, 5, 0, 1, "leaving" },
      { ACTION_LIST, 6, 0, 2, "used" } } },
  { "a removal takes effect at once",
    { { ACTION_LIST, 1, 0, 1, "used" },
      { ACTION_REMOVE, 2, S_US, 1, "gone" } } },
  { "an outage of the list removes no endpoint",
    { { ACTION_LIST, 1, 0, 1, "used" },
      { ACTION_OUTAGE, 0, S_US, 1, "used" },
      { ACTION_TICK, 0, 60 * S_US, 1, "used" } } },
  { "an endpoint removed in an outage may be named again",
    { { ACTION_LIST, 1, 0, 1, "used" },
      { ACTION_OUTAGE, 0, S_US, 1, "used" },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used" },
      { ACTION_REMOVE, 2, 9 * S_US, 1, "used" },
      { ACTION_LIST, 3, 10 * S_US, 1, "used" },
      { ACTION_TICK, 0, 20 * S_US, 1, "used" } } },
  { "an endpoint that is not named again is removed",
    { { ACTION_LIST, 1, 0, 1, "used" },
      { ACTION_OUTAGE, 0, S_US, 1, "used" },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used" },
      { ACTION_REMOVE, 2, 9 * S_US, 1, "used" },
      { ACTION_TICK, 0, 12 * S_US, 1, "gone" } } },
  /* Guards against a single grace for two outages: the endpoint couldn't be
     named again between them. */
  { "a second outage soon after the first gives more time",
    { { ACTION_LIST, 1, 0, 1, "used" },
      { ACTION_OUTAGE, 0, S_US, 1, "used" },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used" },
      { ACTION_REMOVE, 2, 9 * S_US, 1, "used" },
      { ACTION_OUTAGE, 0, 10 * S_US, 1, "used" },
      { ACTION_CONTACT, 0, 14 * S_US, 1, "used" },
      { ACTION_TICK, 0, 15 * S_US, 1, "used" },
      { ACTION_TICK, 0, 17 * S_US, 1, "gone" } } },
  { "a full read after an outage delays the removal as well",
    { { ACTION_LIST, 1, 0, 1, "used" },
      { ACTION_OUTAGE, 0, S_US, 1, "used" },
      { ACTION_CONTACT, 0, 9 * S_US, 1, "used" },
      { ACTION_EMPTY_FULL_READ, 7, 9 * S_US, 1, "used" },
      { ACTION_TICK, 0, 12 * S_US, 1, "gone" } } },
  { "a full read without an outage removes at once",
    { { ACTION_LIST, 1, 0, 1, "used" },
      { ACTION_EMPTY_FULL_READ, 7, 9 * S_US, 1, "gone" } } },
};

/* Applies the action of STEP to ROSTER.  */
static void
apply_step (struct rst *roster, const struct step *step)
{
  switch (step->action)
    {
    case ACTION_LIST:
      rst_update (roster, new_endpoint ("a", step->born_ms, false),
                  step->offset);
      break;
    case ACTION_LEAVE:
      rst_update (roster, new_endpoint ("a", step->born_ms, true),
                  step->offset);
      break;
    case ACTION_REMOVE:
      rst_remove (roster, "a", step->offset, step->at_us);
      break;
    case ACTION_OUTAGE:
      rst_outage (roster);
      break;
    case ACTION_CONTACT:
      rst_list_read (roster, step->at_us);
      break;
    case ACTION_TICK:
      rst_expire (roster, step->at_us);
      break;
    case ACTION_EMPTY_FULL_READ:
      rst_begin_full (roster);
      rst_end_full (roster, step->offset, step->at_us);
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
      struct rst *roster = rst_create ();
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_endpoint_states),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
