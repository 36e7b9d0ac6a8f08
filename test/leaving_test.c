#include "core/leaving.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define S_US INT64_C (1000000)
#define HOST "runner-07"
#define REPORTS_MAX 8

enum source
{
  END, /* end of the sequence */
  LIST,
  DRAIN,
  ENDPOINT,
  PEER_LIST,
  PEER_DRAIN,
  PEER_ENDPOINT
};

/* A report and the expected result. */
struct report
{
  enum source source;
  int64_t at_s;
  uint64_t order; /* ENDPOINT: the incarnation */
  bool leaving;
  bool open;            /* to new work, afterwards */
  bool tell;            /* the mark is sent to the peers */
  uint64_t incarnation; /* in a peer's mark */
};

struct report_case
{
  const char *name;
  struct report reports[REPORTS_MAX];
};

static struct lv_outcome
apply_report (struct lv_hosts *hosts, const struct report *report)
{
  const int64_t now_us = report->at_s * S_US;
  struct lv_mark mark = { .host = HOST,
                          .order = report->order,
                          .incarnation = report->incarnation,
                          .leaving = report->leaving };
  switch (report->source)
    {
    case LIST:
      return lv_apply_host_list (hosts, HOST, report->order, report->leaving);
    case DRAIN:
      return lv_apply_drain (hosts, HOST, report->order, report->leaving);
    case ENDPOINT:
      return lv_apply_endpoint_report (hosts, HOST, report->order,
                                       report->leaving, now_us);
    case PEER_DRAIN:
      mark.cause = LV_DRAIN;
      break;
    case PEER_ENDPOINT:
      mark.cause = LV_ENDPOINT;
      break;
    default:
      mark.cause = LV_LIST;
      break;
    }
  return lv_apply_peer_mark (hosts, &mark, now_us);
}

static const struct report_case report_cases[] = {
  { "an unknown host takes work", { { LIST, 0, 1, false, true, false, 0 } } },
  { "the host list closes and reopens",
    { { LIST, 0, 5, true, false, true, 0 },
      { LIST, 9, 6, false, true, true, 0 } } },
  { "an older list version doesn't reopen",
    { { LIST, 0, 5, true, false, true, 0 },
      { LIST, 1, 4, false, false, false, 0 },
      { LIST, 2, 5, false, false, false, 0 } } },
  { "an older list version doesn't close",
    { { LIST, 0, 5, false, true, false, 0 },
      { LIST, 1, 4, true, true, false, 0 } } },
  { "the host list doesn't reopen a drained host",
    { { DRAIN, 0, 2, true, false, true, 0 },
      { LIST, 1, 9, false, false, false, 0 },
      { DRAIN, 2, 3, false, true, true, 0 } } },
  { "a flapping host list doesn't withdraw the endpoint's refusal",
    { { ENDPOINT, 0, 0, true, false, true, 0 },
      { LIST, 1, 5, true, false, true, 0 },
      { LIST, 2, 6, false, false, true, 0 },
      { LIST, 30, 7, false, false, false, 0 },
      { ENDPOINT, 31, 0, false, true, true, 0 } } },
  { "a lagging load report doesn't reopen",
    { { ENDPOINT, 0, 0, true, false, true, 0 },
      { ENDPOINT, 1, 0, false, false, false, 0 },
      { ENDPOINT, 9, 0, false, false, false, 0 },
      { ENDPOINT, 10, 0, false, true, true, 0 } } },
  { "each refusal restarts the hold time",
    { { ENDPOINT, 0, 0, true, false, true, 0 },
      { ENDPOINT, 8, 0, true, false, false, 0 },
      { ENDPOINT, 12, 0, false, false, false, 0 },
      { ENDPOINT, 18, 0, false, true, true, 0 } } },
  { "a report from a new incarnation reopens a restarted host",
    { { ENDPOINT, 0, 41, true, false, true, 0 },
      { ENDPOINT, 1, 41, false, false, false, 0 },
      { ENDPOINT, 2, 42, false, true, true, 0 },
      { ENDPOINT, 3, 41, true, true, false, 0 } } },
  { "an incarnation doesn't withdraw a refusal that had none",
    { { ENDPOINT, 0, 0, true, false, true, 0 },
      { ENDPOINT, 1, 7, false, false, false, 0 },
      { ENDPOINT, 11, 7, false, true, true, 0 } } },
  { "a peer's list mark closes and isn't forwarded",
    { { PEER_LIST, 0, 5, true, false, false, 0 },
      { LIST, 1, 4, false, false, false, 0 },
      { LIST, 2, 5, true, false, false, 0 },
      { LIST, 3, 6, false, true, true, 0 } } },
  { "a peer's drain lasts until a newer configuration",
    { { PEER_DRAIN, 0, 8, true, false, false, 0 },
      { DRAIN, 1, 7, false, false, false, 0 },
      { DRAIN, 2, 8, true, false, false, 0 },
      { DRAIN, 3, 9, false, true, true, 0 } } },
  { "a refusal reported by a peer starts the hold time here",
    { { PEER_ENDPOINT, 0, 1, true, false, false, 0 },
      { ENDPOINT, 2, 0, false, false, false, 0 },
      { ENDPOINT, 10, 0, false, true, true, 0 } } },
  { "a peer's refusal outlasts reports of the same incarnation",
    { { ENDPOINT, 0, 5, false, true, false, 0 },
      { PEER_ENDPOINT, 1, 1, true, false, false, 6 },
      { ENDPOINT, 2, 6, false, false, false, 0 },
      { ENDPOINT, 3, 7, false, true, true, 0 } } },
  { "a peer withdraws its own refusal",
    { { PEER_ENDPOINT, 0, 1, true, false, false, 0 },
      { PEER_ENDPOINT, 1, 2, false, true, false, 0 },
      { PEER_ENDPOINT, 2, 1, true, true, false, 0 } } },
  { "a peer doesn't withdraw a refusal just observed here",
    { { ENDPOINT, 0, 0, true, false, true, 0 },
      { PEER_ENDPOINT, 1, 2, false, false, true, 0 },
      { PEER_ENDPOINT, 12, 9, false, true, false, 0 } } },
  { "leaving wins at the same order",
    { { PEER_ENDPOINT, 0, 3, false, true, false, 0 },
      { PEER_ENDPOINT, 1, 3, true, false, false, 0 },
      { PEER_ENDPOINT, 2, 3, false, false, false, 0 } } },
  { "every cause has to be withdrawn",
    { { LIST, 0, 1, true, false, true, 0 },
      { DRAIN, 0, 1, true, false, true, 0 },
      { ENDPOINT, 0, 0, true, false, true, 0 },
      { ENDPOINT, 20, 0, false, false, true, 0 },
      { LIST, 21, 2, false, false, true, 0 },
      { DRAIN, 22, 2, false, true, true, 0 } } },
};

static void
report_sequences (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof report_cases / sizeof report_cases[0]; i++)
    {
      struct lv_hosts *hosts = lv_create ();
      bool open = true;
      for (const struct report *report = report_cases[i].reports;
           report < report_cases[i].reports + REPORTS_MAX
           && report->source != END;
           report++)
        {
          const struct lv_outcome outcome = apply_report (hosts, report);
          const bool matches = lv_takes_work (hosts, HOST) == report->open
                               && outcome.notify_peers == report->tell
                               && outcome.changed == (report->open != open);
          if (!matches)
            {
              fail_msg ("%s: report %d", report_cases[i].name,
                        (int)(report - report_cases[i].reports));
            }
          open = report->open;
        }
      lv_destroy (hosts);
    }
}

/* Guards against daemons that disagree for ever: whatever the order in which
   the same marks arrive, the result is the same.  */
static void
marks_are_commutative (void **state)
{
  (void)state;
  const struct lv_mark marks[] = {
    { .host = HOST, .cause = LV_LIST, .order = 1, .leaving = true },
    { .host = HOST, .cause = LV_LIST, .order = 2, .leaving = false },
    { .host = HOST, .cause = LV_ENDPOINT, .order = 4, .leaving = false },
    { .host = HOST, .cause = LV_ENDPOINT, .order = 4, .leaving = true },
  };
  for (uint32_t order = 0; order < 24; order++)
    {
      uint32_t left[] = { 0, 1, 2, 3 };
      uint32_t rest = order;
      struct lv_hosts *hosts = lv_create ();
      for (uint32_t count = 4; count > 0; count--)
        {
          const uint32_t chosen = rest % count;
          rest /= count;
          lv_apply_peer_mark (hosts, &marks[left[chosen]], 0);
          left[chosen] = left[count - 1];
        }
      assert_int_equal (lv_causes (hosts, HOST), 1U << LV_ENDPOINT);
      lv_destroy (hosts);
    }
}

static void
removed_host_takes_work (void **state)
{
  (void)state;
  struct lv_hosts *hosts = lv_create ();
  lv_apply_host_list (hosts, HOST, 3, true);
  lv_remove (hosts, HOST);
  assert_true (lv_takes_work (hosts, HOST));
  assert_int_equal (lv_causes (hosts, HOST), 0);
  lv_destroy (hosts);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (report_sequences),
    cmocka_unit_test (marks_are_commutative),
    cmocka_unit_test (removed_host_takes_work),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
