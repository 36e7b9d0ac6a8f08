/* Tests of the estimates of answers' lengths and of calls' times: by tables,
   and by replaying requests that are drawn the same in each run. */
#include "core/call_time.h"
#include "core/cost.h"

#include <glib.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define MS INT64_C (1000)
#define S INT64_C (1000000)

/* The replay: lengths are log-normal, and one in twenty is four times as long,
   up to what all callers state as the most.  Half of the requests have a hint,
   with the spread that the deployments' callers have. */
#define MEDIAN 200.0
#define LENGTH_SPREAD 1.1
#define HINT_SPREAD 0.9
#define TAIL_FACTOR 4
#define MOST 8192.0
#define USUAL 400.0
#define ACCOUNTS 8
#define WARM_REQUESTS 2000
#define REQUESTS 6000

struct replay
{
  GRand *random;
  struct cos_costs *costs;
  double scale;        /* of the lengths */
  int64_t interval_us; /* between requests */
  int64_t now_us;
};

/* A request of the replay. */
struct drawn
{
  struct cos_request request;
  double length;
};

static const char *const accounts[ACCOUNTS]
    = { "a", "b", "c", "d", "e", "f", "g", "liar" };

static void
open_replay (struct replay *replay)
{
  *replay = (struct replay){ .random = g_rand_new_with_seed (7),
                             .costs = cos_create (),
                             .scale = 1,
                             .interval_us = S / 10,
                             .now_us = S };
}

static void
close_replay (struct replay *replay)
{
  cos_destroy (replay->costs);
  g_rand_free (replay->random);
}

/* Returns a number with a standard normal distribution.  */
static double
draw_normal (struct replay *replay)
{
  double radius = sqrt (-2 * log (1 - g_rand_double (replay->random)));
  return radius * cos (2 * G_PI * g_rand_double (replay->random));
}

/* Draws the next request, of one of COUNT accounts.  */
static struct drawn
draw (struct replay *replay, int count)
{
  double length
      = MEDIAN * replay->scale * exp (LENGTH_SPREAD * draw_normal (replay));
  double off = exp (HINT_SPREAD * draw_normal (replay));
  bool has_hint = g_rand_boolean (replay->random);
  bool is_long = g_rand_int_range (replay->random, 0, 20) == 0;
  int account = g_rand_int_range (replay->random, 0, count);
  length = CLAMP (length * (is_long ? TAIL_FACTOR : 1), 1, MOST);
  replay->now_us += replay->interval_us;
  return (struct drawn){ .request = { .route = "letters",
                                      .account = accounts[account],
                                      .hint = has_hint ? length * off : 0,
                                      .most = MOST,
                                      .usual = USUAL },
                         .length = length };
}

static double
expect (struct replay *replay, const struct cos_request *request)
{
  return cos_expected_tokens (replay->costs, request, 0, replay->now_us);
}

static double
quantile (struct replay *replay, const struct cos_request *request,
          double part)
{
  return cos_quantile_tokens (replay->costs, request, 0, part, replay->now_us);
}

static void
learn (struct replay *replay, const struct drawn *drawn)
{
  cos_learn (replay->costs, &drawn->request, drawn->length, true,
             replay->now_us);
}

static void
warm_up (struct replay *replay)
{
  for (uint32_t i = 0; i < WARM_REQUESTS; i++)
    {
      struct drawn drawn = draw (replay, ACCOUNTS);
      learn (replay, &drawn);
    }
}

/* What callers state counts as none if it isn't a number of tokens.  Infinity
   made the memory in use of an engine NaN, and its paths were chosen no
   more.  */
static void
bad_numbers_count_as_none (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    bool valid;
    double prompt;
    double most;
  } rows[] = {
    { NULL, true, 0, 0 },         { "120,40", true, 120, 40 },
    { "120", true, 120, 0 },      { "120, 40 ", true, 120, 40 },
    { "-5,40", false, 0, 40 },    { "120,-40", false, 120, 0 },
    { "nan,40", false, 0, 40 },   { "120,inf", false, 120, 0 },
    { "1e400,40", false, 0, 40 }, { "120,2e9", false, 120, 0 },
    { "120,4x", false, 120, 0 },  { "", false, 0, 0 },
    { "many", false, 0, 0 },      { "1e-300,0.5", false, 0, 0 },
    { "120;40", false, 120, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      double prompt = -1;
      double most = -1;
      bool valid = cos_parse_counts (rows[i].text, &prompt, &most);
      if (valid != rows[i].valid || prompt != rows[i].prompt
          || most != rows[i].most)
        {
          fail_msg ("'%s': %d, %g, %g", rows[i].text, valid, prompt, most);
        }
    }
}

/* The expected length is nearer to the real one than the most or the usual
   one, isn't biased, and the claim covers the part of the answers that it
   should.  Claiming the most takes ten times what is used.  */
static void
estimates_beat_naive_ones (void **state)
{
  (void)state;
  struct replay replay;
  double error[3] = { 0 }; /* of the estimate, the usual and the most */
  double expected = 0;
  double claimed = 0;
  double used = 0;
  uint32_t over = 0;
  open_replay (&replay);
  warm_up (&replay);
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      struct drawn drawn = draw (&replay, ACCOUNTS);
      double estimate = expect (&replay, &drawn.request);
      double claim = quantile (&replay, &drawn.request, 0.9);
      error[0] += fabs (estimate - drawn.length) / REQUESTS;
      error[1] += fabs (USUAL - drawn.length) / REQUESTS;
      error[2] += fabs (MOST - drawn.length) / REQUESTS;
      expected += estimate;
      claimed += claim;
      used += drawn.length;
      over += drawn.length > claim;
      learn (&replay, &drawn);
    }
  print_message ("error %.0f, usual %.0f, most %.0f; bias %.3f; claimed %.2f "
                 "of used, most %.2f; over %.3f\n",
                 error[0], error[1], error[2], expected / used, claimed / used,
                 MOST * REQUESTS / used, (double)over / REQUESTS);
  assert_true (error[0] < 0.95 * error[1] && error[0] < 0.2 * error[2]);
  assert_true (fabs (expected / used - 1) < 0.15);
  assert_true (claimed < 3 * used && MOST * REQUESTS > 10 * used);
  assert_true (over > 0.07 * REQUESTS && over < 0.13 * REQUESTS);
  close_replay (&replay);
}

/* Engines filled up to their memory by claims have room for the answers, and
   take several times as many streams as by the most.  By the hints, or the
   usual length, many engines have to drop streams.  */
static void
full_engines_keep_their_streams (void **state)
{
  (void)state;
  enum claim
  {
    BY_QUANTILE,
    BY_MOST,
    BY_HINT,
    CLAIMS
  };
  const uint32_t engines = 300;
  const double memory = 60 * USUAL;
  uint32_t exceeded[CLAIMS] = { 0 };
  uint32_t placed[CLAIMS] = { 0 };
  for (int by = 0; by < CLAIMS; by++)
    {
      struct replay replay;
      open_replay (&replay);
      warm_up (&replay);
      for (uint32_t i = 0; i < engines; i++)
        {
          double claimed = 0;
          double used = 0;
          for (;;)
            {
              struct drawn drawn = draw (&replay, ACCOUNTS);
              double hint = drawn.request.hint;
              double claim = by == BY_QUANTILE
                                 ? quantile (&replay, &drawn.request, 0.9)
                             : by == BY_MOST ? MOST
                             : hint > 0      ? MIN (hint, MOST)
                                             : USUAL;
              if (claimed + claim > memory)
                {
                  break;
                }
              claimed += claim;
              used += drawn.length;
              placed[by]++;
              learn (&replay, &drawn);
            }
          exceeded[by] += used > memory;
        }
      close_replay (&replay);
    }
  print_message ("exceeded %u, by the hint %u, of %u; placed %u, by most %u\n",
                 exceeded[BY_QUANTILE], exceeded[BY_HINT], engines,
                 placed[BY_QUANTILE], placed[BY_MOST]);
  assert_true (exceeded[BY_QUANTILE] <= engines / 100);
  assert_true (exceeded[BY_HINT] > engines / 10);
  assert_true (placed[BY_QUANTILE] > 3 * placed[BY_MOST]);
}

/* A daemon that has just started takes the hint or the usual length, at most
   what is stated, and its claims cover most answers.  A tenth of the daemons
   may have started just now.  */
static void
new_daemon_is_right_enough (void **state)
{
  (void)state;
  static const struct
  {
    double hint;
    double most;
    double usual;
    double expected;
  } rows[]
      = { { 300, 0, 0, 300 },    { 300, 100, 50, 100 }, { 0, 0, 400, 400 },
          { 0, 100, 400, 100 },  { 0, 0, 0, 256 },      { 0, 100, 0, 100 },
          { 300, 1000, 50, 300 } };
  struct replay replay;
  open_replay (&replay);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const struct cos_request request = { .route = "letters",
                                           .hint = rows[i].hint,
                                           .most = rows[i].most,
                                           .usual = rows[i].usual };
      assert_float_equal (expect (&replay, &request), rows[i].expected, 1e-6);
    }
  uint32_t over = 0;
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      struct drawn drawn = draw (&replay, ACCOUNTS);
      over += drawn.length > quantile (&replay, &drawn.request, 0.9);
    }
  print_message ("over, without samples: %.3f\n", (double)over / REQUESTS);
  assert_true (over < 0.2 * REQUESTS);
  close_replay (&replay);
}

/* Lengths that shift are learnt half way in a half-life, 60 s or 500 samples,
   and three quarters in two, but for the scatter of few samples.  Means since
   the start would take as long as the daemon has run.  */
static void
shift_is_learnt (void **state)
{
  (void)state;
  static const struct
  {
    double scale;
    int64_t interval_us;
    uint32_t samples;
    double least; /* part of the shift that is learnt */
  } rows[] = { { 0.2, S / 50, 500, 0.5 }, { 5, S / 50, 500, 0.5 },
               { 0.2, S, 60, 0.4 },       { 5, S, 60, 0.4 },
               { 0.2, S, 120, 0.65 },     { 5, S, 120, 0.65 } };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const struct cos_request request
          = { .route = "letters", .account = "new", .usual = USUAL };
      struct replay replay;
      open_replay (&replay);
      replay.interval_us = rows[i].interval_us;
      warm_up (&replay);
      double before = log (quantile (&replay, &request, 0.5));
      replay.scale = rows[i].scale;
      for (uint32_t n = 0; n < rows[i].samples; n++)
        {
          struct drawn drawn = draw (&replay, ACCOUNTS);
          learn (&replay, &drawn);
        }
      double after = log (quantile (&replay, &request, 0.5));
      double part = (after - before) / log (rows[i].scale);
      print_message ("%g in %u samples: %.2f of the shift learnt\n",
                     rows[i].scale, rows[i].samples, part);
      assert_true (part > rows[i].least && part < 1.1);
      close_replay (&replay);
    }
}

/* Changes what REQUEST, of the liar, states by FACTOR.  */
static void
lie (struct drawn *drawn, bool about_hint, double factor)
{
  if (strcmp (drawn->request.account, "liar") == 0)
    {
      drawn->request.hint *= about_hint ? factor : 1;
      drawn->request.most *= about_hint ? 1 : factor;
    }
}

/* An account that lies changes its own claims only: others' estimates stay,
   and what it says is ignored, so that its streams don't take others' memory.
   Learning by route alone took over the lies of the largest account.  */
static void
lies_cost_their_sender (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    double factor;
    bool about_hint;
    bool hint_is_ignored;
    bool most_is_ignored;
  } rows[] = {
    { "honest", 1, true, false, false },
    { "hints too high", 100, true, true, false },
    { "hints too low", 0.01, true, true, false },
    { "most too low", 0.01, false, false, true },
    { "most too high", 100, false, false, true },
  };
  const struct cos_request others = { .route = "letters",
                                      .account = "new",
                                      .hint = 300,
                                      .most = MOST,
                                      .usual = USUAL };
  double honest[2] = { 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct replay replay;
      open_replay (&replay);
      for (uint32_t n = 0; n < WARM_REQUESTS; n++)
        {
          struct drawn drawn = draw (&replay, ACCOUNTS);
          lie (&drawn, rows[i].about_hint, rows[i].factor);
          learn (&replay, &drawn);
        }
      double found[2]
          = { expect (&replay, &others), quantile (&replay, &others, 0.9) };
      for (size_t n = 0; n < 2; n++)
        {
          honest[n] = i == 0 ? found[n] : honest[n];
          if (fabs (found[n] / honest[n] - 1) > 0.1)
            {
              fail_msg ("%s: %g for others instead of %g", rows[i].name,
                        found[n], honest[n]);
            }
        }
      struct drawn own = { .request = others };
      own.request.account = "liar";
      lie (&own, rows[i].about_hint, rows[i].factor);
      bool is_clean = cos_clean (replay.costs, &own.request, replay.now_us);
      if (is_clean == (rows[i].hint_is_ignored || rows[i].most_is_ignored)
          || (own.request.hint == 0) != rows[i].hint_is_ignored
          || (own.request.most == 0) != rows[i].most_is_ignored)
        {
          fail_msg ("%s: hint %g, most %g, clean %d", rows[i].name,
                    own.request.hint, own.request.most, is_clean);
        }
      bool first = cos_report_first (replay.costs, "liar");
      assert_true (first && !cos_report_first (replay.costs, "liar"));
      assert_true (cos_report_first (replay.costs, NULL));
      close_replay (&replay);
    }
}

static int
compare_lengths (gconstpointer a, gconstpointer b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;
  return (first > second) - (first < second);
}

/* Answers that break off teach only that they were at least so long: learned
   as whole ones they would make the claims of all others too low.  */
static void
broken_answers_are_lower_bounds (void **state)
{
  (void)state;
  const struct cos_request request
      = { .route = "letters", .account = "new", .usual = USUAL };
  double claims[2];
  double lengths[WARM_REQUESTS];
  for (int broken_as_whole = 0; broken_as_whole < 2; broken_as_whole++)
    {
      struct replay replay;
      open_replay (&replay);
      for (uint32_t i = 0; i < WARM_REQUESTS; i++)
        {
          struct drawn drawn = draw (&replay, ACCOUNTS);
          lengths[i] = drawn.length;
          double broken_at = MEDIAN * g_rand_double (replay.random) * 2;
          bool is_broken = i % 2 == 0 && broken_at < drawn.length;
          cos_learn (replay.costs, &drawn.request,
                     is_broken ? broken_at : drawn.length,
                     !is_broken || broken_as_whole, replay.now_us);
        }
      claims[broken_as_whole] = quantile (&replay, &request, 0.9);
      close_replay (&replay);
    }
  qsort (lengths, WARM_REQUESTS, sizeof *lengths, compare_lengths);
  double real = lengths[WARM_REQUESTS * 9 / 10];
  print_message ("0.9 quantile %.0f of %.0f, broken as whole %.0f\n",
                 claims[0], real, claims[1]);
  assert_true (fabs (claims[0] / real - 1) < 0.2);
  assert_true (claims[1] < 0.8 * real);
}

/* The expected rest of a stream is never negative and ends at the stated most;
   a claim that followed the estimate of the start would be too low for every
   stream that is longer.  */
static void
rest_follows_what_is_written (void **state)
{
  (void)state;
  struct replay replay;
  open_replay (&replay);
  warm_up (&replay);
  const struct cos_request request
      = { .route = "letters", .account = "a", .hint = 200, .most = 2000 };
  double claim = 0;
  for (int step = 0; step <= 42; step++)
    {
      double written = step * 50;
      double expected = cos_expected_tokens (replay.costs, &request, written,
                                             replay.now_us);
      double next = cos_quantile_tokens (replay.costs, &request, written, 0.9,
                                         replay.now_us);
      assert_true (expected >= written && expected <= MAX (2000, written));
      assert_true (next >= claim && next >= expected * 0.99);
      assert_true (next <= MAX (2000, written));
      claim = next;
    }
  close_replay (&replay);
}

/* Calls differ from a quarter between the means on, once both are known:
   with less the choice of endpoints stays by count.  */
static void
calls_differ_from_a_quarter_on (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    const char *method;
    int64_t first_us;
    int64_t second_us;
    size_t body_bytes;
    uint32_t samples;
    bool differs;
  } rows[] = {
    { "the same", "GET", 100 * MS, 100 * MS, 0, 60, false },
    { "a tenth", "GET", 100 * MS, 110 * MS, 0, 60, false },
    { "half as long again", "GET", 100 * MS, 150 * MS, 0, 60, true },
    { "too few", "GET", 100 * MS, 400 * MS, 0, 8, false },
    { "other method", "POST", 20 * MS, 400 * MS, 0, 60, true },
    { "large body", "GET", 20 * MS, 400 * MS, 100000, 60, true },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct clt_times *times = clt_create ();
      const char *route = strstr (rows[i].name, "other method") != NULL
                                  || rows[i].body_bytes > 0
                              ? "one"
                              : "two";
      struct clt_class *first = clt_find (times, "book", "one", "GET", 0);
      struct clt_class *second = clt_find (times, "book", route,
                                           rows[i].method, rows[i].body_bytes);
      for (uint32_t n = 0; n < rows[i].samples; n++)
        {
          clt_learn (first, rows[i].first_us, true, S);
          clt_learn (second, rows[i].second_us, true, S);
        }
      if (clt_differs (times, first, S) != rows[i].differs)
        {
          fail_msg ("%s", rows[i].name);
        }
      clt_release (first);
      clt_release (second);
      clt_destroy (times);
    }
}

/* What is left of a call depends on how long it has run: the mean of all calls
   takes a slow one for nearly done.  One that has run for longer than any
   other isn't taken for done.  */
static void
rest_of_calls_follows_their_age (void **state)
{
  (void)state;
  static const struct
  {
    int64_t elapsed_us;
    double least_ms;
    double most_ms;
  } rows[] = { { 0, 100, 140 },
               { 60 * MS, 300, 380 },
               { 300 * MS, 80, 140 },
               { 900 * MS, 800, 1000 } };
  struct clt_times *times = clt_create ();
  struct clt_class *call = clt_find (times, "book", "one", "GET", 0);
  for (uint32_t n = 0; n < 400; n++)
    {
      clt_learn (call, (n % 4 == 0 ? 400 : 20) * MS, true, S);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      double rest_ms = clt_remaining_us (call, rows[i].elapsed_us, S) / MS;
      if (rest_ms < rows[i].least_ms || rest_ms > rows[i].most_ms)
        {
          fail_msg ("after %ld us: %g ms", (long)rows[i].elapsed_us, rest_ms);
        }
    }
  clt_release (call);
  clt_destroy (times);
}

/* Other accounts, and routes of calls, than those that a test looks at: fewer
   than are kept, and more. */
#define FEW 50
#define MANY 2000

/* Uses of what stays in use, for each other account or route. */
#define OTHERS_PER_USE 20

/* Returns the expected answer of ACCOUNT on the route of the same name.  */
static double
expect_of (struct cos_costs *costs, const char *account)
{
  const struct cos_request request
      = { .route = account, .account = account, .usual = USUAL };
  return cos_expected_tokens (costs, &request, 0, S);
}

/* Guards against callers that fill the memory with lengths of answers: with
   more accounts than are kept, those used longest ago give way, and those in
   use stay.  */
static void
accounts_used_longest_ago_give_way (void **state)
{
  (void)state;
  static const struct
  {
    uint32_t others;
    bool forgets; /* what isn't in use */
  } rows[] = { { FEW, false }, { MANY, true } };
  static const char *const known[] = { "used", "unused" };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct cos_costs *costs = cos_create ();
      for (uint32_t n = 0; n < 200 * G_N_ELEMENTS (known); n++)
        {
          const char *name = known[n % G_N_ELEMENTS (known)];
          const struct cos_request request
              = { .route = name, .account = name, .usual = USUAL };
          cos_learn (costs, &request, 10 * USUAL, true, S);
        }
      for (uint32_t n = 0; n < rows[i].others; n++)
        {
          g_autofree char *name = g_strdup_printf ("other-%u", n);
          const struct cos_request request
              = { .route = name, .account = name, .usual = USUAL };
          cos_learn (costs, &request, USUAL, true, S);
          if (n % OTHERS_PER_USE == 0)
            {
              expect_of (costs, "used");
            }
        }
      double used = expect_of (costs, "used");
      double unused = expect_of (costs, "unused");
      if (used < 5 * USUAL || (unused < 5 * USUAL) != rows[i].forgets)
        {
          fail_msg ("%u others: %.0f and %.0f tokens", rows[i].others, used,
                    unused);
        }
      cos_destroy (costs);
    }
}

/* Returns whether the times of calls on ROUTE are known.  */
static bool
knows_calls (struct clt_times *times, const char *route)
{
  struct clt_class *call_class = clt_find (times, "book", route, "GET", 0);
  bool known = clt_is_known (call_class, S);
  clt_release (call_class);
  return known;
}

/* The same of the times of calls, by routes.  */
static void
routes_used_longest_ago_give_way (void **state)
{
  (void)state;
  static const struct
  {
    uint32_t others;
    bool forgets;
  } rows[] = { { FEW, false }, { MANY, true } };
  static const char *const known[] = { "used", "unused" };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct clt_times *times = clt_create ();
      for (uint32_t n = 0; n < 60 * G_N_ELEMENTS (known); n++)
        {
          struct clt_class *call_class = clt_find (
              times, "book", known[n % G_N_ELEMENTS (known)], "GET", 0);
          clt_learn (call_class, 100 * MS, true, S);
          clt_release (call_class);
        }
      for (uint32_t n = 0; n < rows[i].others; n++)
        {
          g_autofree char *name = g_strdup_printf ("other-%u", n);
          assert_false (knows_calls (times, name));
          if (n % OTHERS_PER_USE == 0)
            {
              knows_calls (times, "used");
            }
        }
      assert_true (knows_calls (times, "used"));
      assert_int_equal (knows_calls (times, "unused"), !rows[i].forgets);
      clt_destroy (times);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (bad_numbers_count_as_none),
    cmocka_unit_test (estimates_beat_naive_ones),
    cmocka_unit_test (full_engines_keep_their_streams),
    cmocka_unit_test (new_daemon_is_right_enough),
    cmocka_unit_test (shift_is_learnt),
    cmocka_unit_test (lies_cost_their_sender),
    cmocka_unit_test (broken_answers_are_lower_bounds),
    cmocka_unit_test (rest_follows_what_is_written),
    cmocka_unit_test (calls_differ_from_a_quarter_on),
    cmocka_unit_test (rest_of_calls_follows_their_age),
    cmocka_unit_test (accounts_used_longest_ago_give_way),
    cmocka_unit_test (routes_used_longest_ago_give_way),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
