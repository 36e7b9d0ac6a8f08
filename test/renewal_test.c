/* Tests of when a member of a group may renew its membership.  */
#include "core/renewal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define LIFETIME_US 1000

enum event
{
  NOTHING,
  RENEWED,   /* the membership is certain for LIFETIME_US */
  ANSWERED,  /* the store has answered, but not renewed it */
  UNANSWERED /* the store hasn't answered */
};

struct step
{
  int64_t at_us;
  enum event event;
  enum rnw_call want; /* the next call after that */
};

static const struct
{
  const char *name;
  struct step steps[6];
} rows[] = {
  { "a daemon that starts joins", { { 10, NOTHING, RNW_RENEW } } },
  { "a member renews its membership",
    { { 10, RENEWED, RNW_RENEW }, { 500, RENEWED, RNW_RENEW } } },
  { "a certain membership is renewed though an answer is missing",
    { { 10, RENEWED, RNW_RENEW }, { 500, UNANSWERED, RNW_RENEW } } },
  { "one that isn't certain any more isn't, until the store answers",
    { { 10, RENEWED, RNW_RENEW },
      { 500, UNANSWERED, RNW_RENEW },
      { 1010, UNANSWERED, RNW_PROBE },
      { 9000, UNANSWERED, RNW_PROBE },
      { 9500, ANSWERED, RNW_RENEW } } },
  { "a daemon that starts while answers are missing joins once",
    { { 10, UNANSWERED, RNW_PROBE }, { 2000, ANSWERED, RNW_RENEW } } },
  { "a store that refuses is asked again",
    { { 10, RENEWED, RNW_RENEW },
      { 1500, ANSWERED, RNW_RENEW },
      { 2500, ANSWERED, RNW_RENEW } } },
};

static void
test_next_call (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct rnw_renewal renewal = { 0 };
      const struct step *step = rows[i].steps;
      for (size_t n = 0; step[n].at_us != 0; n++)
        {
          switch (step[n].event)
            {
            case NOTHING:
              break;
            case RENEWED:
              rnw_renewed (&renewal, step[n].at_us + LIFETIME_US);
              break;
            case ANSWERED:
              rnw_answered (&renewal);
              break;
            case UNANSWERED:
              rnw_unanswered (&renewal);
              break;
            }
          if (rnw_next_call (&renewal, step[n].at_us) != step[n].want)
            {
              fail_msg ("%s: not at %ld", rows[i].name, (long)step[n].at_us);
            }
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_next_call) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
