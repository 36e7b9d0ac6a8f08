/* Internals of the checker: the events, and the check of each rule. */
#ifndef STANDIN_CHECKER_PRIVATE_H
#define STANDIN_CHECKER_PRIVATE_H

#include "standin/checker.h"

#include <jansson.h>

/* One line of a journal. */
struct ck_event
{
  int64_t time_us; /* monotonic time */
  json_t *json;
  const char *name; /* member `event', owned by JSON */
};

struct ck_checker
{
  GArray *events;       /* struct ck_event, sorted by time in ck_check */
  uint32_t *violations; /* set by ck_check: the count for each rule */
  GString *details;     /* set by ck_check */
};

void ck_add_violation (struct ck_checker *checker, enum ck_rule rule,
                       const struct ck_event *event);
const struct ck_event *ck_event_at (const struct ck_checker *checker,
                                    guint index);
bool ck_has_name (const struct ck_event *event, const char *name);
const char *ck_text_member (const struct ck_event *event, const char *member);
int64_t ck_number_member (const struct ck_event *event, const char *member);

void ck_check_effects (struct ck_checker *checker);
void ck_check_not_run (struct ck_checker *checker);
void ck_check_answers (struct ck_checker *checker);
void ck_check_planned_stop (struct ck_checker *checker);
void ck_check_layers (struct ck_checker *checker);
void ck_check_leaving (struct ck_checker *checker);
void ck_check_versions_rise (struct ck_checker *checker);
void ck_check_versions_in_force (struct ck_checker *checker);

#endif
