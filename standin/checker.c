/* The events of the journals, and the check of all rules. */
#include "standin/checker_private.h"

#include "base/error.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Violations of one rule that are printed in full. */
#define DETAILS_PER_RULE 5

struct rule
{
  const char *name;
  void (*check) (struct ck_checker *checker);
};

static const struct rule rules[CK_RULES] = {
  [CK_EFFECTS_PER_KEY]
  = { .name = "effects_per_key", .check = ck_check_effects },
  [CK_NOT_RUN] = { .name = "not_run_ran", .check = ck_check_not_run },
  [CK_ANSWERS] = { .name = "answers_whole", .check = ck_check_answers },
  [CK_LAYERS] = { .name = "layers_once", .check = ck_check_layers },
  [CK_LEAVING] = { .name = "leaving_new_work", .check = ck_check_leaving },
  [CK_PLANNED_STOP]
  = { .name = "planned_stop_cuts", .check = ck_check_planned_stop },
  [CK_VERSIONS_RISE]
  = { .name = "versions_rise", .check = ck_check_versions_rise },
  [CK_VERSION_IN_FORCE]
  = { .name = "version_in_force", .check = ck_check_versions_in_force },
};

/* Returns a new checker without events.  */
struct ck_checker *
ck_create (void)
{
  struct ck_checker *checker = g_new0 (struct ck_checker, 1);
  checker->events = g_array_new (FALSE, FALSE, sizeof (struct ck_event));
  return checker;
}

/* Frees CHECKER and its events.  */
void
ck_destroy (struct ck_checker *checker)
{
  for (guint i = 0; i < checker->events->len; i++)
    {
      json_decref (g_array_index (checker->events, struct ck_event, i).json);
    }
  g_array_free (checker->events, TRUE);
  g_free (checker);
}

/* Adds the event in LINE, one line of a journal.  Returns false when LINE is
   not an event, as the truncated last line of a killed process.  */
bool
ck_add_line (struct ck_checker *checker, const char *line)
{
  json_t *json = json_loads (line, 0, NULL);
  struct ck_event event = {
    .time_us = json_integer_value (json_object_get (json, "t")),
    .json = json,
    .name = json_string_value (json_object_get (json, "event")),
  };
  if (event.name == NULL)
    {
      json_decref (json);
      return false;
    }
  g_array_append_val (checker->events, event);
  return true;
}

/* Adds the events of the journal PATH.  Returns false and sets ERROR to
   ERR_SETTINGS when the file can't be read or when a line that ends in a
   newline is not an event.  An unterminated last line that is not an event is
   ignored.  */
bool
ck_add_file (struct ck_checker *checker, const char *path, GError **error)
{
  FILE *file = fopen (path, "re");
  if (file == NULL)
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS, "cannot read %s: %s", path,
                   strerror (errno));
      return false;
    }
  char *line = NULL;
  size_t size = 0;
  uint32_t line_number = 0;
  uint32_t bad_number = 0; /* first line that is not an event; 0: none */
  while (bad_number == 0 && getline (&line, &size, file) > 0)
    {
      line_number++;
      bool terminated = strchr (line, '\n') != NULL;
      bad_number
          = !ck_add_line (checker, line) && terminated ? line_number : 0;
    }
  free (line);
  fclose (file);
  if (bad_number != 0)
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS, "%s:%u: not an event",
                   path, bad_number);
    }
  return bad_number == 0;
}

static gint
compare_event_times (gconstpointer a, gconstpointer b)
{
  const struct ck_event *left = a;
  const struct ck_event *right = b;
  return left->time_us < right->time_us ? -1 : left->time_us > right->time_us;
}

/* Checks every rule.  Sets VIOLATIONS to the count for each rule and appends
   the first DETAILS_PER_RULE events that violate a rule to DETAILS, one line
   each.  */
void
ck_check (struct ck_checker *checker, uint32_t violations[CK_RULES],
          GString *details)
{
  g_array_sort (checker->events, compare_event_times);
  checker->violations = violations;
  checker->details = details;
  for (int rule = 0; rule < CK_RULES; rule++)
    {
      violations[rule] = 0;
      rules[rule].check (checker);
    }
}

/* Returns the name of RULE in the output.  */
const char *
ck_rule_name (enum ck_rule rule)
{
  return rules[rule].name;
}

/* Counts EVENT as a violation of RULE and adds it to the details.  */
void
ck_add_violation (struct ck_checker *checker, enum ck_rule rule,
                  const struct ck_event *event)
{
  if (checker->violations[rule]++ < DETAILS_PER_RULE)
    {
      char *text = json_dumps (event->json, JSON_COMPACT);
      g_string_append_printf (checker->details, "%s: %s\n", rules[rule].name,
                              text);
      free (text);
    }
}

/* Returns the event at INDEX; in the checks events are sorted by time.  */
const struct ck_event *
ck_event_at (const struct ck_checker *checker, guint index)
{
  return &g_array_index (checker->events, struct ck_event, index);
}

/* Returns whether EVENT has the name NAME.  */
bool
ck_has_name (const struct ck_event *event, const char *name)
{
  return strcmp (event->name, name) == 0;
}

/* Returns the string MEMBER of EVENT, or "" when there is none.  */
const char *
ck_text_member (const struct ck_event *event, const char *member)
{
  const char *text = json_string_value (json_object_get (event->json, member));
  return text == NULL ? "" : text;
}

/* Returns the integer MEMBER of EVENT, or 0 when there is none.  */
int64_t
ck_number_member (const struct ck_event *event, const char *member)
{
  return json_integer_value (json_object_get (event->json, member));
}
