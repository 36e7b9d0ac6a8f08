/* The path of an exchange's attempt: its choice, and what the attempt shows of
   the engine at which the path begins. */
#include "entry/exchange_private.h"

#include "base/clock.h"

/* One of this many events of a stream is taken as a sample of the interval
   between them. */
#define EVENTS_PER_SAMPLE 8

/* Describes EXCHANGE to the choice of its path.  One that may have run before
   isn't refused, so that slots reserved for others don't keep it waiting.  */
static struct pcs_request
describe_request (const struct exchange *exchange)
{
  return (struct pcs_request){
    .id = exchange->log_id,
    .service = exg_service_index (exchange),
    .tokens = exchange->tokens,
    .length
    = exchange->cost.stated.usual > 0
          ? MAX (exchange->cost.expected - exg_written_tokens (exchange),
                 exchange->cost.event_tokens)
                / exchange->cost.stated.usual
          : 0,
    .target_us = exchange->route->target_latency_us,
    .target_gap_us = exchange->route->target_gap_us,
    .rank = exchange->rank,
    .is_resumed = exchange->scanner.last_id >= 0,
    .came_back = exchange->came_back || exchange->may_have_run > 0,
  };
}

/* Chooses the path of the next attempt of EXCHANGE and sets RESULT.  Returns
   whether there is one.  */
bool
exg_choose_path (struct exchange *exchange, struct pcs_result *result)
{
  const struct pcs_request request = describe_request (exchange);
  exchange->path
      = pcs_choose (exchange->traffic->fleet, exchange->traffic->metrics,
                    &request, clk_monotonic_us (), result);
  exchange->is_resumed = request.is_resumed;
  exchange->expects_no_queue = result->by_load && result->choice.wait_us <= 0;
  return exchange->path != NULL;
}

/* True when an engine on EXCHANGE's path was found dead.  One that only
   refused other requests may still be working on this one.  */
bool
exg_path_has_dead_engine (const struct exchange *exchange)
{
  for (uint32_t i = 0; exchange->path != NULL && i < exchange->path->count;
       i++)
    {
      if (exchange->path->parts[i]->evidence.dead)
        {
          return true;
        }
    }
  return false;
}

/* True when the broken stream of EXCHANGE is better continued later than on
   the path that was chosen: the previous attempt was refused for an engine
   that failed, and this path has a dead one too.  Without that refusal the
   path is tried, as its first engine may reach an engine that this daemon
   doesn't.  */
bool
exg_awaits_live_path (const struct exchange *exchange)
{
  return exchange->answer_begun && exchange->failed_address != NULL
         && exg_path_has_dead_engine (exchange);
}

/* Records that EXCHANGE is refused for want of room, as RESULT says.  Returns
   after how many seconds its caller may come back.  */
double
exg_refuse_for_room (struct exchange *exchange,
                     const struct pcs_result *result)
{
  struct trf_traffic *traffic = exchange->traffic;
  const struct pcs_request request = describe_request (exchange);
  return pcs_refuse (traffic->metrics, &traffic->refusals, &request,
                     exchange->endpoint, result, clk_monotonic_us ());
}

/* Records the end of EXCHANGE's wait for the first event of an attempt, after
   WAIT_US.  ANSWERED: the event has come.  */
void
exg_observe_wait (struct exchange *exchange, int64_t wait_us, bool answered)
{
  pcs_end_wait (exchange->endpoint, exchange->rank);
  if (answered && exchange->expects_no_queue)
    {
      pcs_observe_first_event (exchange->traffic->fleet, exchange->endpoint,
                               wait_us, exchange->last_received_us);
    }
}

/* Records the interval between the events of EXCHANGE's attempt, now and
   then.  */
void
exg_observe_interval (struct exchange *exchange)
{
  if (exchange->path != NULL && exchange->event_interval_us > 0
      && exchange->events % EVENTS_PER_SAMPLE == 0)
    {
      pcs_observe_interval (exchange->traffic->fleet, exchange->endpoint,
                            exchange->event_interval_us,
                            exchange->last_received_us);
    }
}

/* Records for how long EXCHANGE's stream, which has ended, ran on its path, if
   all of it ran there.  */
void
exg_observe_end (struct exchange *exchange)
{
  if (exchange->path != NULL && exchange->served && !exchange->is_resumed
      && exchange->first_written_us > 0)
    {
      pcs_observe_end (exchange->traffic->fleet, exchange->endpoint,
                       exchange->first_written_us - exchange->sent_us,
                       exchange->last_received_us - exchange->first_written_us,
                       exchange->last_received_us);
    }
}
