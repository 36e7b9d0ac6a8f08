/* Accounts, outcomes and helpers shared by the tests of the error budgets. */
#ifndef TEST_BURN_FIXTURE_H
#define TEST_BURN_FIXTURE_H

#include "core/burn.h"

#define SECOND_US INT64_C (1000000)
#define DAY_US (86400 * SECOND_US)
#define HOUR_US (3600 * SECOND_US)
#define BUCKET_US (BRN_BUCKET_S * SECOND_US)
#define START_US (20000 * DAY_US) /* since 1970; the start of a day */
#define LATER_US (START_US + 1000 * DAY_US) /* after all records */
#define BFX_ACCOUNTS 2                      /* trust, brightwell */

extern struct cfg_account bfx_accounts[BFX_ACCOUNTS];
extern const struct cfg_config bfx_config;

struct brn_state *bfx_create (uint64_t incarnation);
struct brn_outcome bfx_draft_outcome (uint32_t account, enum err_kind error);
void bfx_observe (struct brn_state *state, struct brn_outcome outcome,
                  int64_t now_us, uint32_t times);
GPtrArray *bfx_flush_records (struct brn_state *state, int64_t now_us);
struct brn_report_line bfx_find_line (const struct brn_state *state,
                                      const char *account, enum brn_work work,
                                      enum brn_objective objective,
                                      int64_t now_us);

#endif
