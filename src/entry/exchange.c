#include "entry/exchange_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/precedence.h"
#include "core/turned_away.h"
#include "entry/passing.h"
#include "platform/headers.h"

#include <string.h>

/* How long the continuation of a broken stream waits for a path with room and
   without dead engines.  Callers leave after a pause of about two seconds. */
#define ROOM_WAIT_MAX_US (1000 * CLK_MS_US)

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Empties EXCHANGE's answer for the next attempt, and frees a body that was
   buffered.  */
static void
drop_answer (struct exchange *exchange)
{
  if (exchange->buffered_bytes == 0)
    {
      g_byte_array_set_size (exchange->answer, 0);
      return;
    }
  exchange->traffic->buffered_bytes -= exchange->buffered_bytes;
  exchange->buffered_bytes = 0;
  exg_count_answers (exchange->traffic);
  g_byte_array_free (exchange->answer, TRUE);
  exchange->answer = g_byte_array_new ();
}

/* Charges the buffered answers of TRAFFIC to the memory of its connections.
 */
void
exg_count_answers (struct trf_traffic *traffic)
{
  bbg_force (&traffic->answers, BBG_ANSWERS, traffic->buffered_bytes);
}

static void
destroy_exchange (struct exchange *exchange)
{
  exchange->traffic->buffered_bytes -= exchange->buffered_bytes;
  exg_count_answers (exchange->traffic);
  g_hash_table_remove (exchange->traffic->exchanges, exchange);
  if (exchange->call_class != NULL)
    {
      clt_release (exchange->call_class);
    }
  flt_release (exchange->config);
  g_free (exchange->id);
  g_free (exchange->service);
  g_free (exchange->key);
  g_strfreev (exchange->traits);
  g_string_free (exchange->head, TRUE);
  g_bytes_unref (exchange->body);
  g_string_free (exchange->answer_head, TRUE);
  g_byte_array_free (exchange->answer, TRUE);
  g_free (exchange->failed_address);
  g_ptr_array_free (exchange->tried_endpoints, TRUE);
  evs_clear (&exchange->scanner);
  cnt_add (exchange->traffic->metrics->in_progress, -1);
  uv_close ((uv_handle_t *)&exchange->timer, on_timer_closed);
}

/* Ends the wait for the first event of the current attempt, if it waits, and
   records how long it was.  ANSWERED: the event has come just now.  */
void
exg_end_wait (struct exchange *exchange, bool answered)
{
  if (!exchange->is_waiting)
    {
      return;
    }
  struct fwt_estimate *estimate = &exchange->endpoint->first_wait;
  int64_t now_us = answered ? exchange->last_received_us : clk_monotonic_us ();
  int64_t wait_us = now_us - exchange->sent_us;
  exchange->is_waiting = false;
  fst_end_wait (exchange->endpoint, &exchange->wait_link);
  exg_observe_wait (exchange, wait_us, answered);
  if (answered)
    {
      fwt_observe (estimate, wait_us, now_us);
    }
  else
    {
      fwt_observe_end (estimate, wait_us, now_us);
    }
}

/* Releases the endpoint and the path of the current attempt and ends the
   accounting of the request on them.  */
static void
release_target (struct exchange *exchange)
{
  exchange->attempt = NULL;
  exg_end_wait (exchange, false);
  exg_observe_end (exchange);
  if (exchange->path != NULL)
    {
      fst_end_request (exchange->path, exchange->tokens);
      fst_release_path (exchange->path);
      exchange->path = NULL;
    }
  else if (exchange->endpoint != NULL)
    {
      exg_end_call (exchange, EPC_NO_TIME);
      evd_end (&exchange->endpoint->evidence);
    }
  if (exchange->endpoint != NULL)
    {
      fst_release (exchange->endpoint);
      exchange->endpoint = NULL;
    }
}

/* Fills TIMES with those that EXCHANGE has taken until now.  */
void
exg_describe_times (const struct exchange *exchange, struct spn_times *times)
{
  int64_t run_us = clk_monotonic_us () - exchange->arrived_us;
  *times = (struct spn_times){
    .is_stream = exchange->route->repeat == FLT_REPEAT_STREAM,
    .events = exchange->events,
    .first_event_us = exchange->events == 0
                          ? run_us
                          : exchange->first_event_us - exchange->arrived_us,
    .run_us = run_us,
  };
}

/* Returns the times of ended requests on ROUTE to SERVICE, as far as the last
   one or two time-outs of the route have seen enough of them.  Those of other
   requests say nothing of how long these take.  When there are more entries
   than the configuration in force has routes and services for, all are dropped
   with those of removed routes.  */
struct spn_history *
exg_history (struct trf_traffic *traffic, const struct flt_route *route,
             const char *service)
{
  g_autofree char *key = g_strdup_printf ("%s\n%s", route->name, service);
  struct spn_history *history = g_hash_table_lookup (traffic->run_times, key);
  if (history == NULL)
    {
      const struct flt_config *config = fst_config (traffic->fleet);
      if (g_hash_table_size (traffic->run_times)
          >= config->route_count * FLT_SPLIT_MAX)
        {
          g_hash_table_remove_all (traffic->run_times);
        }
      history = g_new0 (struct spn_history, 1);
      g_hash_table_insert (traffic->run_times, g_steal_pointer (&key),
                           history);
    }
  spn_advance (history, clk_monotonic_us (), route->timeout_us);
  return history;
}

/* Logs the OUTCOME of EXCHANGE, whose answer had the HTTP status STATUS (0:
   none), and frees it.  */
void
exg_finish (struct exchange *exchange, uint32_t status, const char *outcome)
{
  int64_t now_us = clk_monotonic_us ();
  struct emt_metrics *metrics = exchange->traffic->metrics;
  lg_line (LOG_INFO, "request_done",
           "request=%s route=%s account=%s outcome=%s status=%u attempts=%u "
           "denials=%u first_ms=%ld pause_ms=%ld total_ms=%ld left_ms=%ld "
           "config=%lu endpoint=%s hint=%.0f output=%.0f/%.0f "
           "without_length=%d path=%s",
           exchange->log_id, exchange->route->name,
           exchange->account == NULL ? "-" : exchange->account->name, outcome,
           status, exchange->attempts, exchange->denials,
           (long)(exchange->first_event_us == 0
                      ? -1
                      : (exchange->first_event_us - exchange->arrived_us)
                            / CLK_MS_US),
           (long)(exchange->longest_gap_us / CLK_MS_US),
           (long)((now_us - exchange->arrived_us) / CLK_MS_US),
           (long)((exchange->deadline_us - now_us) / CLK_MS_US),
           (unsigned long)exchange->config->version,
           exchange->endpoint == NULL ? "-" : exchange->endpoint->id,
           exchange->cost.stated.hint, exg_written_tokens (exchange),
           exchange->cost.expected, exchange->ends_with_connection,
           exchange->path == NULL ? "-" : exchange->path->text);
  cnt_observe_us (metrics->total_time, now_us - exchange->arrived_us);
  exg_learn_cost (exchange);
  struct spn_times times;
  exg_describe_times (exchange, &times);
  (exchange->served ? spn_observe_success : spn_observe_partial) (
      exg_history (exchange->traffic, exchange->route, exchange->service),
      &times);
  release_target (exchange);
  destroy_exchange (exchange);
}

/* Returns for how long every endpoint that could serve EXCHANGE is closed
   since it turned requests away; 0 if one is open.  */
static int64_t
closed_for_us (struct exchange *exchange)
{
  int64_t now_us = clk_monotonic_us ();
  uint32_t service = exg_service_index (exchange);
  int64_t opens_us
      = service == FLT_NO_INDEX
            ? 0
            : fst_opens_us (exchange->traffic->fleet, service, now_us);
  return MAX (opens_us - now_us, 0);
}

/* Answers EXCHANGE with STATUS instead of an endpoint's answer, and ends it.
   WHY goes into the log.  A refused caller may return after RETRY_AFTER_S, or
   once an endpoint is open.  */
static void
answer_with_error (struct exchange *exchange, uint32_t status, const char *why,
                   double retry_after_s)
{
  bool refused = status == HTTP_STATUS_SERVICE_UNAVAILABLE;
  struct emt_metrics *metrics = exchange->traffic->metrics;
  int64_t closed_us = refused ? closed_for_us (exchange) : 0;
  int64_t quarantined_us = 0;
  if (refused
      && qrn_is_quarantined (exchange->traffic->quarantine, exchange->traits,
                             &quarantined_us))
    {
      retry_after_s = MAX (retry_after_s, (double)quarantined_us / CLK_S_US);
    }
  retry_after_s = MAX (retry_after_s, exchange->neighbour_wait_s);
  if (closed_us > 0)
    {
      retry_after_s = MAX (retry_after_s,
                           tna_retry_after_s (closed_us, g_random_double ()));
    }
  cnt_add (refused ? metrics->refused : metrics->outcome_unknown, 1);
  exg_answer_without_body (exchange->traffic, exchange->caller, status,
                           exchange->id, refused ? retry_after_s : 0);
  exchange->caller = NULL;
  exg_finish (exchange, status, why);
}

/* Delivers the buffered answer of the endpoint and ends EXCHANGE.  An answer
   that only the end of its connection ended may have been cut off, so it is
   delivered without a length too, and the end of the caller's connection ends
   it.  */
void
exg_deliver_buffered (struct exchange *exchange)
{
  emt_count_answer (exchange->traffic->metrics, exchange->status);
  if (!exchange->ends_with_connection)
    {
      nsv_respond (exchange->caller, exchange->status,
                   exchange->answer_head->str, exchange->answer->data,
                   exchange->answer->len);
    }
  else
    {
      nsv_begin_response (exchange->caller, exchange->status,
                          exchange->answer_head->str, false);
      if (exchange->answer->len > 0)
        {
          nsv_send_body (exchange->caller, exchange->answer->data,
                         exchange->answer->len);
        }
      nsv_end_response (exchange->caller);
    }
  exchange->caller = NULL;
  exg_finish (exchange, exchange->status, "delivered");
}

/* Closes the caller's connection in the middle of an answer, and ends
   EXCHANGE.  */
static void
abort_answer (struct exchange *exchange, const char *why)
{
  cnt_add (exchange->traffic->metrics->aborted, 1);
  nsv_abort (exchange->caller);
  exchange->caller = NULL;
  exg_finish (exchange, 0, why);
}

static const char *
attempt_end_name (enum att_end end)
{
  static const char *const names[] = {
    [ATT_NOT_SENT] = "not_sent",      [ATT_NOT_RUN] = "not_run",
    [ATT_FAILED] = "failed",          [ATT_CUT_OFF] = "cut_off",
    [ATT_INVALID_ANSWER] = "spoiled", [ATT_NO_RESPONSE] = "silent",
    [ATT_TIMED_OUT] = "timed_out",
  };
  return names[end];
}

/* Ends EXCHANGE as VERDICT says.  END is how its last attempt ended.  */
static void
end_without_retry (struct exchange *exchange,
                   const struct att_verdict *verdict, enum att_end end)
{
  switch (verdict->next)
    {
    case ATT_PASS_FAILURE:
      exg_deliver_buffered (exchange);
      break;
    case ATT_ABORT_ANSWER:
      abort_answer (exchange, attempt_end_name (end));
      break;
    case ATT_ANSWER:
    case ATT_RETRY:
    case ATT_RESUME:
      answer_with_error (exchange, verdict->status, attempt_end_name (end),
                         exg_retry_after_s ());
      break;
    }
}

/* Returns how many attempts of this daemon may run EXCHANGE.  */
static uint32_t
attempts_max (const struct exchange *exchange)
{
  uint32_t most = exchange->route->attempts_max;
  if (exchange->ran_elsewhere && !exchange->answer_begun)
    {
      return exchange->may_have_run;
    }
  return most > exchange->ran_before ? most - exchange->ran_before : 1;
}

/* Fills REQUEST with what att_decide has to know of EXCHANGE and its attempts
   so far.  */
void
exg_describe_request (const struct exchange *exchange,
                      struct att_request *request)
{
  *request = (struct att_request){
    .repeat = exchange->route->repeat,
    .resumable = exchange->route->resumable,
    .answer_begun = exchange->answer_begun,
    .attempts_max = attempts_max (exchange),
    .may_have_run = exchange->may_have_run,
    .sent = exchange->sent,
    .unsent = exchange->unsent,
    .status = exchange->status,
    .remaining_us = exchange->deadline_us - clk_monotonic_us (),
  };
}

/* Returns the index of the service of EXCHANGE in the configuration in force,
   or FLT_NO_INDEX when it has been removed.  */
uint32_t
exg_service_index (const struct exchange *exchange)
{
  const struct flt_config *config = fst_config (exchange->traffic->fleet);
  return config == NULL ? FLT_NO_INDEX
                        : flt_find_service (config, exchange->service);
}

/* Ends EXCHANGE without another attempt, since there is no endpoint or no
   repeat for it.  BEFORE is how the previous attempt ended.  */
static void
give_up (struct exchange *exchange, enum att_end before)
{
  struct att_request request;
  struct att_verdict verdict;
  exg_describe_request (exchange, &request);
  att_decide_without_budget (
      &request, exchange->sent == 0 ? ATT_NOT_SENT : before, &verdict);
  end_without_retry (exchange, &verdict, before);
}

/* Takes the repeat that EXCHANGE needs from the retry budget, if one is
   NEEDED.  One that was taken before and hasn't reached an endpoint is kept.
   Returns false when there is none, or no service any more.  */
static bool
take_repeat (struct exchange *exchange, bool needed)
{
  uint32_t service = exg_service_index (exchange);
  bool refused_by_neighbour = exchange->endpoint != NULL
                              && exchange->endpoint->is_neighbour
                              && exchange->may_have_run == 0;
  if (service == FLT_NO_INDEX)
    {
      return false;
    }
  if (!needed || exchange->has_repeat || refused_by_neighbour)
    {
      return true;
    }
  exchange->has_repeat = rbg_take (
      fst_budget (exchange->traffic->fleet, service), clk_monotonic_us ());
  return exchange->has_repeat;
}

/* Delays the next attempt of EXCHANGE, the continuation of a broken stream,
   since no path has room now, the path leads over a dead engine, or the retry
   budget is used up.  Returns false when it has waited for ROOM_WAIT_MAX_US
   already; BEFORE is how the previous attempt ended.  */
static bool
wait_for_room (struct exchange *exchange, enum att_end before)
{
  int64_t now_us = clk_monotonic_us ();
  if (exchange->room_wait_end_us == 0)
    {
      exchange->room_wait_end_us = now_us + ROOM_WAIT_MAX_US;
    }
  if (now_us >= exchange->room_wait_end_us)
    {
      return false;
    }
  release_target (exchange);
  exchange->waits_for_room = true;
  exchange->end_before_wait = before;
  exg_schedule_check (exchange);
  return true;
}

/* Delays the next attempt of EXCHANGE until the first endpoint that turned
   requests away opens, if all are closed and its caller can wait for that.
   BEFORE is how the previous attempt ended.  Returns false when it isn't
   delayed.  */
static bool
wait_for_opening (struct exchange *exchange, enum att_end before)
{
  int64_t now_us = clk_monotonic_us ();
  int64_t closed_us = closed_for_us (exchange);
  const struct tna_request request = {
    .age_us = now_us - exchange->arrived_us,
    .target_us = exchange->route->target_latency_us,
    .remaining_us = exchange->deadline_us - now_us,
  };
  if (closed_us == 0 || tna_decide (&request, closed_us) != TNA_WAIT)
    {
      return false;
    }
  release_target (exchange);
  exchange->waits_for_room = true;
  exchange->opens_us = now_us + closed_us;
  exchange->end_before_wait = before;
  exg_schedule_check (exchange);
  return true;
}

/* Handles the end of the current attempt, END: retries the request, resumes
   the stream or answers the caller.  A retry that the budget denies is not
   made, but a broken stream waits for the budget.  */
void
exg_end_attempt (struct exchange *exchange, enum att_end end)
{
  if (exchange->misdirected)
    {
      exchange->unsent = 0;
    }
  else if (end != ATT_NOT_SENT)
    {
      exchange->sent++;
      exchange->unsent = 0;
      exchange->has_repeat = false;
    }
  else if (!exchange->turned_away)
    {
      exchange->unsent++;
    }
  if (end != ATT_NOT_SENT && end != ATT_NOT_RUN)
    {
      exchange->may_have_run++;
    }
  struct att_request request;
  struct att_verdict verdict;
  exg_describe_request (exchange, &request);
  att_decide (&request, end, &verdict);
  bool retry = verdict.next == ATT_RETRY || verdict.next == ATT_RESUME;
  bool denied = retry && !take_repeat (exchange, verdict.needs_budget);
  if (denied)
    {
      cnt_add (exchange->traffic->metrics->retries_denied, 1);
      exchange->denials++;
      retry = false;
    }
  lg_line (
      LOG_INFO, "attempt_ended",
      "request=%s end=%s status=%u endpoint=%s at_fault=%s again=%d "
      "denied=%d sent=%u unsent=%u may_have_run=%u last_event=%ld age_ms=%ld",
      exchange->log_id, attempt_end_name (end), exchange->status,
      exchange->endpoint == NULL ? "-" : exchange->endpoint->id,
      exchange->failed_address == NULL ? "-" : exchange->failed_address, retry,
      denied, exchange->sent, exchange->unsent, exchange->may_have_run,
      (long)exchange->scanner.last_id,
      (long)((clk_monotonic_us () - exchange->sent_us) / CLK_MS_US));
  bool waits = verdict.next == ATT_RESUME && (denied || verdict.pauses);
  if (waits && wait_for_room (exchange, end))
    {
      exchange->owes_repeat = denied;
      return;
    }
  retry = retry && !waits;
  if (denied || waits)
    {
      att_decide_without_budget (&request, end, &verdict);
    }
  if (!retry)
    {
      end_without_retry (exchange, &verdict, end);
      return;
    }
  if (exchange->endpoint != NULL && !exchange->turned_away)
    {
      g_ptr_array_add (exchange->tried_endpoints,
                       fst_reference (exchange->endpoint));
    }
  release_target (exchange);
  cnt_add (exchange->traffic->metrics->retries, verdict.needs_budget);
  cnt_add (exchange->traffic->metrics->resumed, verdict.next == ATT_RESUME);
  exg_start_attempt (exchange, end);
}

/* True when EXCHANGE is refused rather than kept waiting: it hasn't run, and
   it doesn't go on with an earlier answer.  */
static bool
is_refusable (const struct exchange *exchange)
{
  return exchange->may_have_run == 0 && exchange->scanner.last_id < 0;
}

/* Chooses the endpoint, and for services with layers the path, of the next
   attempt, and counts the request on them.  RESULT is that of the choice of a
   path.  Returns false when there is no endpoint.  */
static bool
choose_target (struct exchange *exchange, struct pcs_result *result)
{
  *result = (struct pcs_result){ 0 };
  struct fst_fleet *fleet = exchange->traffic->fleet;
  int64_t now_us = clk_monotonic_us ();
  uint32_t index = exg_service_index (exchange);
  if (index == FLT_NO_INDEX)
    {
      return false;
    }
  const struct flt_service *service = &fst_config (fleet)->services[index];
  if (flt_has_paths (service))
    {
      if (!exg_choose_path (exchange, result))
        {
          return false;
        }
      exchange->endpoint = fst_reference (exchange->path->parts[0]);
      fst_begin_request (exchange->path, exchange->tokens);
      return true;
    }
  exchange->endpoint = epc_choose (fleet, index, exchange->tried_endpoints,
                                   exchange->traffic->call_times,
                                   exchange->call_class, now_us);
  if (exchange->endpoint == NULL)
    {
      return false;
    }
  evd_begin (&exchange->endpoint->evidence);
  exg_begin_call (exchange);
  return true;
}

/* Returns whether this daemon is cut off from the service of EXCHANGE.  */
static bool
is_cut_off (const struct exchange *exchange)
{
  return psg_is_cut_off (exchange->traffic, exg_service_index (exchange));
}

/* Returns whether EXCHANGE takes this daemon's own way, to the target that was
   chosen if one was FOUND: unless it is known to be out of reach.  While the
   daemon is cut off it doesn't: all daemons that are would meet at the few
   endpoints that they have left.  */
static bool
take_own_way (const struct exchange *exchange, bool found)
{
  return !is_cut_off (exchange)
         && (!found
             || (!exchange->endpoint->evidence.dead
                 && exchange->endpoint->evidence.state != EVD_BACKOFF));
}

/* Returns whether EXCHANGE can be passed on to a neighbour.  */
static bool
may_pass_on (const struct exchange *exchange)
{
  return !exchange->is_passed && !exchange->neighbour_refused
         && exg_fits_neighbour (exchange);
}

/* Returns whether EXCHANGE waits for a neighbour that can be used, since this
   daemon is cut off.  A request that can be refused waits only until the
   neighbours are known: its caller finds another daemon sooner.  */
static bool
awaits_neighbour (struct exchange *exchange)
{
  return is_cut_off (exchange) && may_pass_on (exchange)
         && !(is_refusable (exchange)
              && psg_knows_neighbours (exchange->traffic));
}

/* Returns whether a neighbour may have room for EXCHANGE where this daemon has
   none: it may reach endpoints that this one doesn't.  */
static bool
is_short_of_ways (const struct exchange *exchange)
{
  uint32_t service = exg_service_index (exchange);
  return is_refusable (exchange) && service != FLT_NO_INDEX
         && fst_lacks_endpoints (exchange->traffic->fleet, service);
}

/* Chooses a neighbour for the next attempt of EXCHANGE in place of the target
   that was chosen.  Returns false when the request isn't passed on.  */
static bool
choose_neighbour (struct exchange *exchange)
{
  struct trf_traffic *traffic = exchange->traffic;
  if (!may_pass_on (exchange))
    {
      return false;
    }
  struct fst_endpoint *neighbour = psg_choose (
      traffic, exg_service_index (exchange), exchange->tried_endpoints);
  if (neighbour == NULL)
    {
      return false;
    }
  release_target (exchange);
  exchange->endpoint = neighbour;
  evd_begin (&neighbour->evidence);
  cnt_add (traffic->metrics->passed_on, 1);
  lg_line (LOG_INFO, "passed_on", "request=%s to=%s cut_off=%d",
           exchange->log_id, neighbour->address, is_cut_off (exchange));
  return true;
}

/* Returns whether EXCHANGE has a quarantined trait and it isn't the one that
   is let through to try it.  */
static bool
is_quarantined (struct exchange *exchange)
{
  int64_t wait_us = 0;
  bool trial = exchange->is_trial;
  exchange->is_trial = false;
  return !trial
         && qrn_is_quarantined (exchange->traffic->quarantine,
                                exchange->traits, &wait_us);
}

/* Returns whether the next attempt of EXCHANGE, at an endpoint, is made on a
   new connection.  All attempts bear the same id, so what still comes on a
   connection of an earlier one would be taken for the answer to this one.  */
static bool
needs_new_connection (const struct exchange *exchange)
{
  return exchange->sent > 0 || is_cut_off (exchange);
}

/* Sends the request of EXCHANGE with HEAD, which it frees, to its endpoint.
   Returns NULL if that isn't possible.  */
static struct ncl_exchange *
send_request (struct exchange *exchange, GString *head, bool new_connection)
{
  const struct ncl_request request = {
    .head = head->str,
    .head_bytes = head->len,
    .body = exchange->body,
    .new_connection = new_connection,
  };
  struct ncl_exchange *attempt = ncl_send_request (
      exchange->traffic->client, exchange->endpoint->address, &request,
      &exg_attempt_events, exchange);
  g_string_free (head, TRUE);
  return attempt;
}

/* Starts an attempt at an endpoint.  BEFORE is how the previous attempt ended;
   ATT_NOT_SENT at first.  Without an endpoint EXCHANGE ends, and so it does
   when nothing of it was sent and it would wait too long everywhere.  */
void
exg_start_attempt (struct exchange *exchange, enum att_end before)
{
  if (is_quarantined (exchange))
    {
      give_up (exchange, before);
      return;
    }
  struct pcs_result result;
  bool found = choose_target (exchange, &result);
  double excess_us = result.excess_us;
  bool needs_neighbour = !take_own_way (exchange, found)
                         || (excess_us > 0 && is_short_of_ways (exchange));
  if (needs_neighbour && exchange->is_passed && is_refusable (exchange))
    {
      answer_with_error (exchange, HTTP_STATUS_MISDIRECTED_REQUEST,
                         "out_of_reach", 0);
      return;
    }
  bool passes = needs_neighbour && choose_neighbour (exchange);
  if (passes)
    {
      found = true;
      excess_us = 0;
    }
  if (found && excess_us > 0 && is_refusable (exchange))
    {
      answer_with_error (exchange, HTTP_STATUS_SERVICE_UNAVAILABLE,
                         "queues_full",
                         exg_refuse_for_room (exchange, &result));
      return;
    }
  bool lacks_room
      = found ? excess_us > 0 || exg_awaits_live_path (exchange)
              : exchange->answer_begun || awaits_neighbour (exchange);
  if (lacks_room && wait_for_room (exchange, before))
    {
      return;
    }
  exchange->room_wait_end_us = 0;
  if (!found)
    {
      if (!exchange->answer_begun && wait_for_opening (exchange, before))
        {
          return;
        }
      lg_line (LOG_INFO, "no_endpoint",
               "request=%s service=%s sent=%u closed_ms=%ld", exchange->log_id,
               exchange->service, exchange->sent,
               (long)(closed_for_us (exchange) / CLK_MS_US));
      give_up (exchange, before);
      return;
    }
  struct trf_traffic *traffic = exchange->traffic;
  GString *head = exg_build_head (exchange);
  evs_restart (&exchange->scanner);
  drop_answer (exchange);
  exchange->status = 0;
  exchange->event_interval_us = 0;
  exchange->event_deviation_us = 0;
  exchange->first_written_us = 0;
  exchange->is_stream = false;
  exchange->not_executed = false;
  exchange->turned_away = false;
  exchange->misdirected = false;
  g_clear_pointer (&exchange->failed_address, g_free);
  exchange->sent_us = clk_monotonic_us ();
  exchange->last_received_us = exchange->sent_us;
  exchange->progress_us = exchange->sent_us;
  fst_take_rate (exchange->endpoint, exchange->sent_us);
  exchange->attempt = send_request (
      exchange, head, !passes && needs_new_connection (exchange));
  cnt_add (traffic->metrics->attempts, 1);
  exchange->attempts++;
  if (exchange->attempt == NULL)
    {
      exg_end_attempt (exchange, ATT_NOT_SENT);
      return;
    }
  if (exchange->path != NULL)
    {
      exchange->wait_link.data = &exchange->sent_us;
      exchange->is_waiting = true;
      fst_begin_wait (exchange->endpoint, &exchange->wait_link);
      pcs_begin_wait (exchange->endpoint, exchange->rank);
    }
  exg_schedule_check (exchange);
}

/* Makes the attempt that EXCHANGE has delayed, or delays it again.  */
void
exg_end_room_wait (struct exchange *exchange)
{
  enum att_end before = exchange->end_before_wait;
  exchange->waits_for_room = false;
  exchange->opens_us = 0;
  if (exchange->owes_repeat && !take_repeat (exchange, true))
    {
      if (!wait_for_room (exchange, before))
        {
          give_up (exchange, before);
        }
      return;
    }
  exchange->owes_repeat = false;
  exg_start_attempt (exchange, before);
}

/* Ends EXCHANGE, whose next attempt was delayed until its deadline.  */
void
exg_give_up_wait (struct exchange *exchange)
{
  exchange->waits_for_room = false;
  give_up (exchange, exchange->end_before_wait);
}

/* Ends EXCHANGE before its time, with a final answer unless a part of one was
   sent.  EVENT names the reason in the log.  */
static void
stop_exchange (struct exchange *exchange, const char *event)
{
  enum att_end end = ATT_NOT_SENT;
  if (exchange->waits_for_room)
    {
      exg_give_up_wait (exchange);
      return;
    }
  if (ncl_is_connected (exchange->attempt))
    {
      exchange->sent++;
      exchange->may_have_run++;
      end = ATT_NO_RESPONSE;
    }
  ncl_cancel (exchange->attempt);
  exchange->attempt = NULL;
  lg_line (LOG_INFO, event, "request=%s endpoint=%s", exchange->log_id,
           exchange->endpoint->id);
  give_up (exchange, end);
}

/* Ends all exchanges, as the process ends: their callers are told at once
   whether the requests may have run.  */
void
exg_stop_all (struct trf_traffic *traffic)
{
  g_autoptr (GPtrArray) found = exg_list (traffic, NULL, NULL);
  for (guint i = 0; i < found->len; i++)
    {
      stop_exchange (g_ptr_array_index (found, i), "attempt_stopped");
    }
}

/* Returns whether EXCHANGE has a quarantined trait, and no endpoint has
   written on it: the one that it waits for would crash.  */
static bool
may_crash_endpoint (const struct exchange *exchange,
                    const struct fst_endpoint *endpoint)
{
  (void)endpoint;
  int64_t wait_us = 0;
  bool stops
      = exchange->waits_for_room
        || (exchange->attempt != NULL && !exg_is_written_safely (exchange));
  return stops && !exchange->proved_sound
         && qrn_is_quarantined (exchange->traffic->quarantine,
                                exchange->traits, &wait_us);
}

/* Ends the exchanges with a quarantined trait, unless an endpoint has written
   on them.  */
void
exg_stop_quarantined (struct trf_traffic *traffic)
{
  g_autoptr (GPtrArray) found = exg_list (traffic, may_crash_endpoint, NULL);
  for (guint i = 0; i < found->len; i++)
    {
      cnt_add (traffic->metrics->quarantine_refused, 1);
      stop_exchange (g_ptr_array_index (found, i), "attempt_quarantined");
    }
}

/* Ends an exchange whose caller has disconnected.  The attempt is cancelled,
   so that the endpoint stops working on the request.  */
static void
on_caller_disconnected (void *context)
{
  struct exchange *exchange = context;
  exchange->caller = NULL;
  cnt_add (exchange->traffic->metrics->callers_disconnected, 1);
  exg_report_unanswered (exchange);
  if (exchange->attempt != NULL)
    {
      ncl_cancel (exchange->attempt);
    }
  exg_finish (exchange, 0, "caller_gone");
}

/* Resumes reading the endpoint's answer once a slow caller has received what
   was sent.  */
static void
on_caller_drained (void *context)
{
  struct exchange *exchange = context;
  if (exchange->attempt != NULL)
    {
      exchange->progress_us = clk_monotonic_us ();
      ncl_resume (exchange->attempt);
    }
}

const struct trf_request_events exg_events = {
  .disconnected = on_caller_disconnected,
  .drained = on_caller_drained,
};
