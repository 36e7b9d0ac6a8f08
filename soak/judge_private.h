/* What the source files of the judge share. */
#ifndef SOAK_JUDGE_PRIVATE_H
#define SOAK_JUDGE_PRIVATE_H

#include "soak/judge.h"

struct judge
{
  const struct srd_record *record;
  const struct sjd_bounds *bounds;
  GPtrArray *violations;    /* text, owned */
  uint32_t rule_violations; /* of the rule that is being checked */
  GArray *store_states;     /* as sjd_store_states returns them */
};

void sjd_add_violation (struct judge *judge, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
bool sjd_is_fault_free (const struct judge *judge, int64_t from_us,
                        int64_t to_us);
void sjd_check_leaving_endpoints (struct judge *judge);
void sjd_check_turned_away (struct judge *judge);
void sjd_check_harms (struct judge *judge);
void sjd_check_fences (struct judge *judge);
void sjd_check_lower_fences (struct judge *judge);
void sjd_check_refused_orders (struct judge *judge);
GArray *sjd_store_states (const struct srd_record *record);
bool sjd_may_not_know (const struct judge *judge,
                       const struct srd_request *request, int change);
void sjd_check_removed_endpoints (struct judge *judge);

#endif
