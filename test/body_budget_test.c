/* Tests of the budget of memory for connections. */
#include "net/body_budget.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define MIB ((uint64_t)1048576)
#define BUDGET_BYTES (16 * MIB)
#define ACCOUNTS 4

/* What an account asks for, in turn. */
struct step
{
  uint32_t account;
  enum bbg_part part;
  uint64_t bytes;
  bool fits;
};

static const struct
{
  const char *name;
  struct step steps[4]; /* a step of 0 bytes ends them */
  uint64_t used;
  uint64_t bodies;
} reservations[] = {
  { "a body inside the limits on the smallest host",
    { { 0, BBG_BODY, 4 * MIB, true } },
    4 * MIB,
    4 * MIB },
  { "bodies get three quarters",
    { { 0, BBG_BODY, 8 * MIB, true },
      { 1, BBG_BODY, 8 * MIB, false },
      { 1, BBG_BODY, 4 * MIB, true } },
    12 * MIB,
    12 * MIB },
  { "small bodies and heads fit beside large bodies",
    { { 0, BBG_BODY, 12 * MIB, true },
      { 1, BBG_BODY, BBG_SMALL_BYTES + 1, false },
      { 1, BBG_BODY, BBG_SMALL_BYTES, true },
      { 2, BBG_HEAD, 32768, true } },
    12 * MIB + BBG_SMALL_BYTES + 32768,
    12 * MIB },
  { "answers leave the eighth of small requests",
    { { 0, BBG_ANSWERS, 15 * MIB, false },
      { 0, BBG_ANSWERS, 14 * MIB, true },
      { 1, BBG_BODY, MIB, false },
      { 1, BBG_PIPELINED, 2 * MIB, true } },
    16 * MIB,
    0 },
  { "small requests end at the whole budget",
    { { 0, BBG_HEAD, 16 * MIB, true }, { 1, BBG_CONNECTION, 1, false } },
    16 * MIB,
    0 },
  { "a part that grows is counted once",
    { { 0, BBG_BODY, 4 * MIB, true }, { 0, BBG_BODY, 8 * MIB, true } },
    8 * MIB,
    8 * MIB },
};

/* Guards against more memory than the budget, and against large bodies that
   leave no room for small requests and answers.  */
static void
test_reservations (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (reservations); i++)
    {
      struct bbg_budget *budget = bbg_create (BUDGET_BYTES);
      struct bbg_account accounts[ACCOUNTS];
      struct bbg_state result;
      for (uint32_t n = 0; n < ACCOUNTS; n++)
        {
          bbg_open (&accounts[n], budget, NULL);
        }
      for (uint32_t n = 0; n < G_N_ELEMENTS (reservations[i].steps); n++)
        {
          const struct step *step = &reservations[i].steps[n];
          if (step->bytes > 0
              && bbg_resize (&accounts[step->account], step->part, step->bytes)
                     != step->fits)
            {
              fail_msg ("%s: step %u", reservations[i].name, n);
            }
        }
      bbg_read (budget, &result);
      if (result.used != reservations[i].used
          || result.bodies != reservations[i].bodies)
        {
          fail_msg ("%s: used %lu, bodies %lu", reservations[i].name,
                    (unsigned long)result.used, (unsigned long)result.bodies);
        }
      for (uint32_t n = 0; n < ACCOUNTS; n++)
        {
          bbg_close (&accounts[n]);
        }
      bbg_read (budget, &result);
      assert_int_equal (result.used, 0);
      assert_int_equal (result.bodies, 0);
      bbg_destroy (budget);
    }
}

/* An account that has begun to receive a request. */
struct sender
{
  int64_t begun_us;
  uint64_t body_bytes;
  uint64_t progress; /* bytes of the body that arrive at `progress_us' */
  int64_t progress_us;
  bool complete;
};

static const struct
{
  const char *name;
  struct sender senders[2]; /* of the accounts 1 and 2 */
  uint64_t needed;          /* by account 0, of BBG_BODY */
  int64_t now_us;
  uint32_t expected; /* the account to close; 0: none */
} victims[] = {
  { "the one without progress for the longest time",
    { { 100, MIB, 0, 0, false }, { 50, MIB, 0, 0, false } },
    MIB,
    3000000,
    2 },
  { "not one that makes progress",
    { { 100, MIB, BBG_PROGRESS_BYTES, 2500000, false },
      { 200, MIB, 0, 0, false } },
    MIB,
    3000000,
    2 },
  { "a byte now and then is no progress",
    { { 100, MIB, 3, 2900000, false }, { 200, MIB, 0, 0, true } },
    MIB,
    3000000,
    1 },
  { "one that has just stalled",
    { { 100, MIB, 0, 0, false }, { 50, MIB, 0, 0, false } },
    MIB,
    BBG_STALL_US + 50,
    2 },
  { "none before that",
    { { 100, MIB, 0, 0, false }, { 50, MIB, 0, 0, false } },
    MIB,
    BBG_STALL_US + 49,
    0 },
  { "a complete request is finished",
    { { 100, MIB, 0, 0, true }, { 50, MIB, 0, 0, true } },
    MIB,
    9000000,
    0 },
  { "a small one gives no room for a large body",
    { { 100, BBG_SMALL_BYTES, 0, 0, false }, { 50, 0, 0, 0, false } },
    MIB,
    9000000,
    0 },
  { "a small one gives room for a small one",
    { { 100, BBG_SMALL_BYTES, 0, 0, false }, { 50, 0, 0, 0, false } },
    BBG_SMALL_BYTES,
    9000000,
    2 },
};

/* Guards against the end of a request that arrives steadily or was accepted,
   and against stalled ones that stay while memory is short.  */
static void
test_victims (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (victims); i++)
    {
      struct bbg_budget *budget = bbg_create (BUDGET_BYTES);
      struct bbg_account accounts[3];
      bbg_open (&accounts[0], budget, NULL);
      for (uint32_t n = 1; n < G_N_ELEMENTS (accounts); n++)
        {
          const struct sender *sender = &victims[i].senders[n - 1];
          bbg_open (&accounts[n], budget, NULL);
          bbg_begin (&accounts[n], sender->begun_us);
          assert_true (
              bbg_resize (&accounts[n], BBG_BODY, sender->body_bytes));
          bbg_add_progress (&accounts[n], sender->progress);
          bbg_mark_progress (&accounts[n], sender->progress_us);
          if (sender->complete)
            {
              bbg_end (&accounts[n]);
            }
        }
      const struct bbg_account *found = bbg_find_stalled (
          &accounts[0], BBG_BODY, victims[i].needed, victims[i].now_us);
      const struct bbg_account *expected
          = victims[i].expected == 0 ? NULL : &accounts[victims[i].expected];
      if (found != expected)
        {
          fail_msg ("%s", victims[i].name);
        }
      for (uint32_t n = 0; n < G_N_ELEMENTS (accounts); n++)
        {
          bbg_close (&accounts[n]);
        }
      bbg_destroy (budget);
    }
}

/* Guards against a host whose budget doesn't hold a single body inside the
   limits, and against one that takes all of the memory.  */
static void
test_host_sizes (void **state)
{
  (void)state;
  static const uint64_t hosts_mb[] = { 1, 32, 112, 256, 512 };
  for (size_t i = 0; i < G_N_ELEMENTS (hosts_mb); i++)
    {
      struct bbg_budget *budget = bbg_create (bbg_size_for_host (hosts_mb[i]));
      struct bbg_account account;
      bbg_open (&account, budget, NULL);
      assert_true (bbg_resize (&account, BBG_BODY, bbg_allocated (4194304)));
      assert_false (
          bbg_resize (&account, BBG_HEAD, MAX (hosts_mb[i], 48) * 600000));
      bbg_close (&account);
      bbg_destroy (budget);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_reservations),
    cmocka_unit_test (test_victims),
    cmocka_unit_test (test_host_sizes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
