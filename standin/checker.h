/* Checks the journals that the stand-ins, the load generator and the fault
   campaign write against invariants.  Add the journals with ck_add_file or
   ck_add_line, then call ck_check to count the violations of each rule. */
#ifndef STANDIN_CHECKER_H
#define STANDIN_CHECKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The rules, each an invariant over all journals. */
enum ck_rule
{
  CK_EFFECTS_PER_KEY,  /* at most one effect for each idempotency key */
  CK_NOT_RUN,          /* no effect of a call that was reported as not run */
  CK_ANSWERS,          /* every answer belongs to its request and is right */
  CK_LAYERS,           /* each layer runs once for each token, in order */
  CK_LEAVING,          /* no new work 3 s after the first notice of leaving */
  CK_PLANNED_STOP,     /* a planned stop cuts off no answer */
  CK_VERSIONS_RISE,    /* configuration versions never fall */
  CK_VERSION_IN_FORCE, /* an accepted version is in force within 12 s */
  CK_RULES             /* number of rules */
};

struct ck_checker;

struct ck_checker *ck_create (void);
void ck_destroy (struct ck_checker *checker);
bool ck_add_line (struct ck_checker *checker, const char *line);
bool ck_add_file (struct ck_checker *checker, const char *path,
                  GError **error);
void ck_check (struct ck_checker *checker, uint32_t violations[CK_RULES],
               GString *details);
const char *ck_rule_name (enum ck_rule rule);

#endif
