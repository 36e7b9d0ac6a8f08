/* What an exchange is expected to cost, and what its end teaches about
   that. */
#include "entry/exchange_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "platform/headers.h"

#include <math.h>

/* Memory, in tokens, assumed for a request that doesn't state its token
   counts. */
#define DEFAULT_TOKENS 1000

/* Part of the answers whose memory claim covers them. */
#define CLAIM_QUANTILE 0.9

/* Limit on what a caller says that it has of an answer begun elsewhere, as a
   multiple of the usual answer if it states no limit. */
#define BEFORE_FACTOR 16

/* Logs, once for each account, that the numbers that EXCHANGE's caller states
   are ignored.  */
static void
report_bad_counts (struct exchange *exchange, const char *counts,
                   const char *hint)
{
  struct trf_traffic *traffic = exchange->traffic;
  const char *account
      = exchange->account == NULL ? NULL : exchange->account->name;
  cnt_add (traffic->metrics->bad_counts, 1);
  if (cos_report_first (traffic->costs, account))
    {
      lg_line (LOG_NOTICE, "bad_token_counts",
               "request=%s account=%s counts=\"%.40s\" hint=\"%.40s\"",
               exchange->log_id, account == NULL ? "-" : account,
               counts == NULL ? "-" : counts, hint == NULL ? "-" : hint);
    }
}

/* Returns the memory, in tokens, that EXCHANGE claims at engines: for its
   prompt, and for as much output as CLAIM_QUANTILE of the answers that have
   more than WRITTEN tokens don't exceed.  The result is a whole number, so
   that sums of claims are exact and return to 0.  */
static double
claimed_tokens (const struct exchange *exchange, double written)
{
  double output
      = cos_quantile_tokens (exchange->traffic->costs, &exchange->cost.used,
                             written, CLAIM_QUANTILE, clk_monotonic_us ());
  return ceil (exchange->cost.prompt + output);
}

/* Sets what the answer to EXCHANGE's REQUEST, by engines of the kind ENGINE,
   is expected to be, and the memory that it claims.  In a fleet that isn't
   crowded that is all that the request may need.  */
static void
start_stream (struct exchange *exchange, const struct msg_message *request,
              const struct flt_engine_spec *engine)
{
  struct trf_traffic *traffic = exchange->traffic;
  struct exg_cost *cost = &exchange->cost;
  const char *counts = msg_find (request, PFH_TOKENS);
  const char *hint = msg_find (request, PFH_OUTPUT_HINT);
  cost->stated = (struct cos_request){
    .route = exchange->route->name,
    .account = exchange->account == NULL ? NULL : exchange->account->name,
    .usual = engine->usual_answer_tokens,
  };
  bool valid = cos_parse_counts (counts, &cost->prompt, &cost->stated.most);
  valid = cos_parse_number (hint, &cost->stated.hint) && valid;
  double total = cost->prompt + cost->stated.most;
  exchange->tokens = counts == NULL || (!valid && total == 0)
                         ? DEFAULT_TOKENS
                         : MAX (ceil (total), 1);
  if (engine->usual_prompt_tokens > 0
      && cost->prompt > engine->usual_prompt_tokens * COS_ABSURD_FACTOR)
    {
      cost->prompt = 0;
      valid = false;
    }
  cost->used = cost->stated;
  valid
      = cos_clean (traffic->costs, &cost->used, exchange->arrived_us) && valid;
  if (!valid)
    {
      report_bad_counts (exchange, counts, hint);
    }
  if (cost->prompt == 0)
    {
      cost->prompt = engine->usual_prompt_tokens > 0
                         ? engine->usual_prompt_tokens
                         : DEFAULT_TOKENS;
    }
  cost->event_tokens = MAX (engine->event_tokens, 1);
  cost->before = MIN (
      MAX ((double)exchange->scanner.last_id + 1, 0) * cost->event_tokens,
      cost->used.most > 0 ? cost->used.most
                          : BEFORE_FACTOR * engine->usual_answer_tokens);
  cost->expected = cos_expected_tokens (traffic->costs, &cost->used,
                                        cost->before, exchange->arrived_us);
  double claimed = claimed_tokens (exchange, cost->before);
  cost->claimed_output = claimed - cost->prompt;
  if (fst_view (traffic->fleet)->crowded)
    {
      cost->is_claimed = true;
      exchange->tokens = claimed;
    }
}

/* Sets what EXCHANGE is expected to cost from its REQUEST with METHOD, which
   SERVICE is to serve.  */
void
exg_start_cost (struct exchange *exchange, const struct msg_message *request,
                const char *method, const struct flt_service *service)
{
  if (flt_has_paths (service))
    {
      start_stream (exchange, request, &service->engine);
      return;
    }
  exchange->tokens = DEFAULT_TOKENS;
  exchange->call_class = clt_find (exchange->traffic->call_times,
                                   service->name, exchange->route->name,
                                   method, g_bytes_get_size (exchange->body));
}

/* Returns how many tokens of the answer to EXCHANGE the caller has.  */
double
exg_written_tokens (const struct exchange *exchange)
{
  return exchange->cost.before
         + (double)exchange->events * exchange->cost.event_tokens;
}

/* Raises the memory claimed for EXCHANGE once its answer has exceeded what was
   claimed for that.  The claim never falls during an answer, since an engine
   keeps the memory of what it has written.  */
void
exg_update_claim (struct exchange *exchange)
{
  struct exg_cost *cost = &exchange->cost;
  double written = exg_written_tokens (exchange);
  if (cost->event_tokens == 0 || written <= cost->claimed_output)
    {
      return;
    }
  if (!cost->is_over)
    {
      cost->is_over = true;
      cnt_add (exchange->traffic->metrics->outputs_over, 1);
    }
  double claimed = claimed_tokens (exchange, written);
  cost->claimed_output = MAX (claimed - cost->prompt, written);
  if (cost->is_claimed && exchange->path != NULL && claimed > exchange->tokens)
    {
      fst_change_request (exchange->path, claimed - exchange->tokens);
      exchange->tokens = claimed;
    }
}

/* Records how much EXCHANGE, whose answer has ended or broken off, has cost.
   What was written elsewhere is only known from the caller, so such answers
   teach nothing.  */
void
exg_learn_cost (struct exchange *exchange)
{
  struct exg_cost *cost = &exchange->cost;
  struct trf_traffic *traffic = exchange->traffic;
  if (cost->event_tokens == 0 || exchange->events == 0 || cost->before > 0)
    {
      return;
    }
  double real = exg_written_tokens (exchange);
  if (exchange->served)
    {
      cnt_add (traffic->metrics->output_expected, (int64_t)cost->expected);
      cnt_add (traffic->metrics->output_real, (int64_t)real);
    }
  /* The last event may hold fewer tokens than the others. */
  if (cost->stated.most > 0 && real - cost->stated.most < cost->event_tokens)
    {
      real = MIN (real, cost->stated.most);
    }
  cos_learn (traffic->costs, &cost->stated, real, exchange->served,
             clk_monotonic_us ());
}

/* Counts EXCHANGE, a call of a plain service, at its endpoint.  A service that
   ran engines when the request arrived isn't counted.  */
void
exg_begin_call (struct exchange *exchange)
{
  if (exchange->call_class != NULL)
    {
      epc_begin_call (exchange->traffic->fleet, exchange->endpoint,
                      &exchange->call, exchange->call_class,
                      clk_monotonic_us ());
    }
}

/* Ends the count of EXCHANGE at its endpoint, if it is counted there.  END is
   what that shows of the time of the call.  */
void
exg_end_call (struct exchange *exchange, enum epc_end end)
{
  epc_end_call (exchange->endpoint, &exchange->call, end, clk_monotonic_us ());
}
