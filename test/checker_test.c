#include "standin/checker.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define LINES_MAX 12
#define NO_VIOLATION CK_RULES

/* A journal and the rule that it violates. */
struct checker_case
{
  const char *name;
  enum ck_rule violated; /* the only rule violated, or NO_VIOLATION */
  const char *lines[LINES_MAX];
};

#define STEP(t, attempt, step, range)                                         \
  "{\"t\":" t ",\"event\":\"step\",\"host\":\"e\",\"request\":\"r\","         \
  "\"attempt\":" attempt ",\"step\":" step "," range "}"
#define LOWER_LAYERS "\"first\":0,\"end\":2"
#define UPPER_LAYERS "\"first\":2,\"end\":4"
#define CALL(t, sent, outcome, ran)                                           \
  "{\"t\":" t ",\"event\":\"call\",\"key\":\"k\",\"caller\":\"d\","           \
  "\"outcome\":\"" outcome "\",\"ran\":\"" ran "\",\"sent\":" sent "}"
#define EFFECT(t)                                                             \
  "{\"t\":" t ",\"event\":\"effect\",\"host\":\"s\",\"slot\":\"k\"}"
#define DRAFT(t, sent, outcome)                                               \
  "{\"t\":" t ",\"event\":\"draft\",\"request\":\"r\",\"caller\":\"d\","      \
  "\"outcome\":\"" outcome "\",\"sent\":" sent "}"
#define DAEMON_EVENT(t, event)                                                \
  "{\"t\":" t ",\"event\":\"" event "\",\"caller\":\"d\"}"
#define LISTED(t, state, version)                                             \
  "{\"t\":" t ",\"event\":\"host\",\"host\":\"e\",\"state\":\"" state         \
  "\",\"version\":" version "}"
#define SERVED(t, version)                                                    \
  "{\"t\":" t ",\"event\":\"list_served\",\"version\":" version "}"
#define REPORTS_LEAVING(t, value)                                             \
  "{\"t\":" t                                                                 \
  ",\"event\":\"fault\",\"host\":\"e\",\"fault\":{\"leaving\":" value "}}"
#define OPEN(t, event)                                                        \
  "{\"t\":" t ",\"event\":\"" event "\",\"host\":\"e\",\"request\":\"r\"}"
#define VERSION(t, daemon, version)                                           \
  "{\"t\":" t ",\"event\":\"version\",\"daemon\":\"" daemon                   \
  "\",\"version\":" version "}"
#define PUBLISHED(t, version)                                                 \
  "{\"t\":" t ",\"event\":\"published\",\"version\":" version "}"

static const struct checker_case cases[] = {
  { "no events", NO_VIOLATION, { NULL } },
  { "one effect",
    NO_VIOLATION,
    { EFFECT ("5"), CALL ("9", "1", "whole", "yes") } },
  { "two effects of a key",
    CK_EFFECTS_PER_KEY,
    { EFFECT ("5"), EFFECT ("6"), CALL ("9", "1", "whole", "yes") } },
  { "effect before the answer not run",
    CK_NOT_RUN,
    { CALL ("9", "1", "refused", "no"), EFFECT ("5") } },
  { "effect after the answer not run",
    CK_NOT_RUN,
    { CALL ("9", "1", "refused", "no"), EFFECT ("15") } },
  { "effect of a call with a lost answer, then the answer not run",
    CK_NOT_RUN,
    { CALL ("4", "1", "whole", "unknown"), EFFECT ("3"),
      CALL ("9", "5", "refused", "no") } },
  { "answer not run, then run by a later call",
    NO_VIOLATION,
    { CALL ("9", "1", "refused", "no"), EFFECT ("15"),
      CALL ("19", "12", "whole", "yes") } },
  { "answer not run while another call of the key runs",
    NO_VIOLATION,
    { CALL ("9", "1", "refused", "no"), EFFECT ("5"),
      CALL ("19", "1", "whole", "yes") } },
  { "a later call can't cause an earlier effect",
    CK_NOT_RUN,
    { CALL ("9", "1", "refused", "no"), EFFECT ("5"),
      CALL ("19", "12", "whole", "yes") } },
  { "a complete draft", NO_VIOLATION, { DRAFT ("9", "1", "whole") } },
  { "a refused draft", NO_VIOLATION, { DRAFT ("9", "1", "refused") } },
  { "a wrong draft", CK_ANSWERS, { DRAFT ("9", "1", "wrong") } },
  { "the booking of another caller",
    CK_ANSWERS,
    { CALL ("9", "1", "wrong", "yes") } },
  { "a draft cut without a kill", CK_ANSWERS, { DRAFT ("9", "1", "cut") } },
  { "a draft cut by a kill",
    NO_VIOLATION,
    { DAEMON_EVENT ("5", "daemon_killed"), DRAFT ("9", "1", "cut") } },
  { "a draft cut long after a kill",
    CK_ANSWERS,
    { DAEMON_EVENT ("5", "daemon_killed"),
      DRAFT ("900000", "600000", "cut") } },
  { "a draft cut by a planned stop",
    CK_PLANNED_STOP,
    { DAEMON_EVENT ("5", "planned_stop"), DRAFT ("9", "1", "cut") } },
  { "a draft cut by a kill during a planned stop",
    NO_VIOLATION,
    { DAEMON_EVENT ("5", "planned_stop"), DAEMON_EVENT ("7", "daemon_killed"),
      DRAFT ("9", "1", "cut") } },
  { "a planned stop with exit status 0",
    NO_VIOLATION,
    { DAEMON_EVENT ("5", "planned_stop"), DRAFT ("9", "1", "whole"),
      "{\"t\":10,\"event\":\"stopped\",\"caller\":\"d\",\"status\":0}" } },
  { "a planned stop with another exit status",
    CK_PLANNED_STOP,
    { DAEMON_EVENT ("5", "planned_stop"),
      "{\"t\":10,\"event\":\"stopped\",\"caller\":\"d\",\"status\":137}" } },
  { "layers in order",
    NO_VIOLATION,
    { STEP ("1", "1", "0", LOWER_LAYERS), STEP ("2", "1", "0", UPPER_LAYERS),
      STEP ("3", "1", "1", LOWER_LAYERS), STEP ("4", "1", "1", UPPER_LAYERS),
      STEP ("5", "2", "0", LOWER_LAYERS),
      STEP ("6", "2", "0", UPPER_LAYERS) } },
  { "journals in any order",
    NO_VIOLATION,
    { STEP ("2", "1", "0", UPPER_LAYERS), STEP ("4", "1", "1", UPPER_LAYERS),
      STEP ("3", "1", "1", LOWER_LAYERS),
      STEP ("1", "1", "0", LOWER_LAYERS) } },
  { "a layer runs twice",
    CK_LAYERS,
    { STEP ("1", "1", "0", LOWER_LAYERS),
      STEP ("2", "1", "0", LOWER_LAYERS) } },
  { "layer ranges overlap",
    CK_LAYERS,
    { STEP ("1", "1", "0", LOWER_LAYERS),
      STEP ("2", "1", "0", "\"first\":1,\"end\":4") } },
  { "a layer skipped", CK_LAYERS, { STEP ("2", "1", "0", UPPER_LAYERS) } },
  { "layers out of order",
    CK_LAYERS,
    { STEP ("2", "1", "0", LOWER_LAYERS),
      STEP ("1", "1", "0", UPPER_LAYERS) } },
  { "a step skipped",
    CK_LAYERS,
    { STEP ("1", "1", "0", LOWER_LAYERS),
      STEP ("2", "1", "2", LOWER_LAYERS) } },
  { "new work within 3 s",
    NO_VIOLATION,
    { REPORTS_LEAVING ("1000000", "true"),
      OPEN ("3900000", "open_refused") } },
  { "new work after 3 s, refused",
    CK_LEAVING,
    { REPORTS_LEAVING ("1000000", "true"),
      OPEN ("4100000", "open_refused") } },
  { "new work after 3 s, accepted",
    CK_LEAVING,
    { LISTED ("100000", "leaving", "7"), SERVED ("1000000", "7"),
      OPEN ("4100000", "open") } },
  { "the host list is served with a delay",
    NO_VIOLATION,
    { LISTED ("100000", "leaving", "7"), SERVED ("200000", "6"),
      SERVED ("2000000", "7"), OPEN ("4100000", "open") } },
  { "the host list was not served",
    NO_VIOLATION,
    { LISTED ("100000", "leaving", "7"), OPEN ("9000000", "open") } },
  { "a newer version of the host list counts too",
    CK_LEAVING,
    { LISTED ("100000", "leaving", "7"), SERVED ("1000000", "9"),
      OPEN ("4100000", "open") } },
  { "the earliest notice counts",
    CK_LEAVING,
    { LISTED ("100000", "leaving", "7"), SERVED ("9000000", "7"),
      REPORTS_LEAVING ("1000000", "true"), OPEN ("4100000", "open") } },
  { "the host restarted",
    NO_VIOLATION,
    { REPORTS_LEAVING ("1000000", "true"),
      "{\"t\":2000000,\"event\":\"started\",\"host\":\"e\"}",
      OPEN ("9000000", "open") } },
  { "restarted while the host list says that it leaves",
    CK_LEAVING,
    { LISTED ("100000", "leaving", "7"), SERVED ("1000000", "7"),
      "{\"t\":2000000,\"event\":\"started\",\"host\":\"e\"}",
      OPEN ("9000000", "open") } },
  { "the host no longer leaves",
    NO_VIOLATION,
    { REPORTS_LEAVING ("1000000", "true"),
      REPORTS_LEAVING ("2000000", "false"), OPEN ("9000000", "open") } },
  { "versions never fall",
    NO_VIOLATION,
    { VERSION ("1", "a", "3"), VERSION ("2", "b", "2"),
      VERSION ("3", "a", "3"), VERSION ("4", "b", "3") } },
  { "a version falls",
    CK_VERSIONS_RISE,
    { VERSION ("1", "a", "3"), VERSION ("2", "a", "2") } },
  { "a version accepted twice",
    CK_VERSIONS_RISE,
    { PUBLISHED ("1", "2"), PUBLISHED ("2", "2") } },
  { "in force within 12 s",
    NO_VIOLATION,
    { PUBLISHED ("1000000", "2"), VERSION ("12900000", "a", "1"),
      VERSION ("13100000", "a", "2") } },
  { "not in force after 12 s",
    CK_VERSION_IN_FORCE,
    { PUBLISHED ("1000000", "2"), VERSION ("13100000", "a", "1") } },
};

/* Each journal violates the one rule that its case names, and no other.  */
static void
each_violation_is_detected (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct ck_checker *checker = ck_create ();
      for (int line = 0; line < LINES_MAX && cases[i].lines[line] != NULL;
           line++)
        {
          assert_true (ck_add_line (checker, cases[i].lines[line]));
        }
      uint32_t violations[CK_RULES];
      GString *details = g_string_new (NULL);
      ck_check (checker, violations, details);
      for (int rule = 0; rule < CK_RULES; rule++)
        {
          bool expected = rule == (int)cases[i].violated;
          if ((violations[rule] > 0) != expected)
            {
              fail_msg ("%s: %u violations of %s", cases[i].name,
                        violations[rule], ck_rule_name (rule));
            }
        }
      g_string_free (details, TRUE);
      ck_destroy (checker);
    }
}

/* A journal with a line that is not an event is rejected, except for the
   truncated last line of a process that was killed.  */
static void
malformed_lines_are_rejected (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    bool accepted;
  } files[] = {
    { "", true },
    { "{\"t\":1,\"event\":\"open\"}\n{\"t\":2,\"ev", true },
    { "{\"t\":1,\"ev\n{\"t\":1,\"event\":\"open\"}\n", false },
    { "{\"t\":1}\n", false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      char *path = NULL;
      int file = g_file_open_tmp (NULL, &path, NULL);
      assert_true (file >= 0);
      g_close (file, NULL);
      assert_true (g_file_set_contents (path, files[i].text, -1, NULL));
      struct ck_checker *checker = ck_create ();
      GError *error = NULL;
      assert_int_equal (ck_add_file (checker, path, &error),
                        files[i].accepted);
      g_clear_error (&error);
      ck_destroy (checker);
      g_remove (path);
      g_free (path);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (each_violation_is_detected),
    cmocka_unit_test (malformed_lines_are_rejected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
