#include "burn_fixture.h"

#include <string.h>

struct cfg_account bfx_accounts[BFX_ACCOUNTS] = {
  { .name = "trust",
    .objective = { .availability = 0.999,
                   .first_token_us = 660000,
                   .between_tokens_us = 39000,
                   .settled_us = 2000000 } },
  { .name = "brightwell",
    .objective = { .availability = 0.99,
                   .first_token_us = 660000,
                   .between_tokens_us = 39000,
                   .settled_us = 2000000 } },
};

const struct cfg_config bfx_config = {
  .accounts = bfx_accounts,
  .account_count = BFX_ACCOUNTS,
};

/* Returns an empty state of daemon INCARNATION with the default limits.  */
struct brn_state *
bfx_create (uint64_t incarnation)
{
  return brn_create (&(struct brn_params){ .incarnation = incarnation });
}

/* Returns the outcome of a draft of ACCOUNT, an index in bfx_accounts.  With
   ERR_NONE the draft meets every objective; with another ERROR it has no
   times.  */
struct brn_outcome
bfx_draft_outcome (uint32_t account, enum err_kind error)
{
  return (struct brn_outcome){
    .account = bfx_accounts[account].name,
    .work = BRN_DRAFT,
    .error = error,
    .first_token_us = error == ERR_NONE ? 300000 : -1,
    .between_tokens_us = error == ERR_NONE ? 20000 : -1,
    .settled_us = -1,
    .endpoint = "engine-1",
    .data_centre = "kingston-1",
    .objective = &bfx_accounts[account].objective,
  };
}

/* Counts OUTCOME in STATE as many TIMES.  */
void
bfx_observe (struct brn_state *state, struct brn_outcome outcome,
             int64_t now_us, uint32_t times)
{
  for (uint32_t i = 0; i < times; i++)
    {
      brn_observe (state, &outcome, now_us);
    }
}

/* Returns a copy of the line of ACCOUNT, WORK and OBJECTIVE in the report at
   NOW_US.  Its total is 0 when there is no such line.  */
struct brn_report_line
bfx_find_line (const struct brn_state *state, const char *account,
               enum brn_work work, enum brn_objective objective,
               int64_t now_us)
{
  struct brn_report_line found = { 0 };
  struct brn_report *report = brn_report (state, &bfx_config, now_us);
  for (guint i = 0; i < report->lines->len; i++)
    {
      const struct brn_report_line *line
          = &g_array_index (report->lines, struct brn_report_line, i);
      if (strcmp (line->account, account) == 0 && line->work == work
          && line->objective == objective)
        {
          found = *line;
        }
    }
  brn_report_destroy (report);
  return found;
}

static void
destroy_record (gpointer data)
{
  brn_record_destroy (data);
}

/* Flushes STATE to a log that confirms every append.  Returns the records
   appended, an array of struct brn_record.  */
GPtrArray *
bfx_flush_records (struct brn_state *state, int64_t now_us)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (destroy_record);
  struct act_list *actions = act_list_create ();
  brn_tick (state, now_us, now_us, true, actions);
  while (act_list_length (actions) > 0)
    {
      const struct act *action = act_list_get (actions, 0);
      uint64_t token = action->append.token;
      g_ptr_array_add (records, brn_unpack (action->append.bytes));
      act_list_clear (actions);
      brn_append_result (state, token, ERR_NONE, now_us);
      brn_tick (state, now_us, now_us, true, actions);
    }
  act_list_destroy (actions);
  return records;
}
