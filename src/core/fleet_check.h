/* Checks a configuration of the fleet before it is published, and compares it
   with the one in force.

   The load: a configuration that decodes takes effect at all daemons within a
   second.  A route that is hidden or a key that two accounts have is not
   refused there; it shows only as 401, 404 or 503 at callers.  So the mistakes
   are listed before, all of them in one run. */
#ifndef CORE_FLEET_CHECK_H
#define CORE_FLEET_CHECK_H

#include "core/fleet.h"

enum fck_severity
{
  FCK_ERROR,   /* callers are refused, or charged to another account */
  FCK_WARNING, /* an entry or a value without effect, or unlikely meant */
  FCK_CHANGE   /* a difference from the configuration in force */
};

struct fck_finding
{
  enum fck_severity severity;
  char *entry; /* such as `route draft' */
  char *text;  /* sentences for the operator; never has a key */
};

/* A key as the configuration's text declares it.  The configuration itself has
   each key once, for the last account that declares it. */
struct fck_key
{
  char *key;
  uint32_t account; /* index in the configuration */
};

GPtrArray *fck_findings_create (void);
void fck_add_finding (GPtrArray *findings, enum fck_severity severity,
                      const char *entry, const char *format, ...)
    G_GNUC_PRINTF (4, 5);
GPtrArray *fck_check (const struct flt_config *config, const GArray *keys);
GPtrArray *fck_compare (const struct flt_config *old,
                        const struct flt_config *new);

#endif
