#include "entry/endpoint_choosing.h"

#include "base/clock.h"
#include "entry/fleet_state_private.h"

#include <math.h>

/* Load that another data centre than the daemon's own adds to an endpoint, in
   requests for each slot. */
#define REMOTE_LOAD 0.15

/* Factor by which a failure rate of 1 raises the cost of an endpoint, less
   one. */
#define FAILURE_FACTOR 8

/* Weight of the newest call in an endpoint's slowness, and the limits of what
   one call counts as. */
#define SLOWNESS_WEIGHT 0.1
#define SLOWNESS_MIN 0.2
#define SLOWNESS_MAX 5.0

/* Half-life of an endpoint's slowness without further calls: one that was slow
   is tried again when the others are as loaded as that counts. */
#define SLOWNESS_HALF_LIFE_US (10.0 * CLK_S_US)

/* What a choice depends on. */
struct choice
{
  struct fst_fleet *fleet;
  uint32_t service;
  const GPtrArray *tried;
  uint32_t home;                      /* index of the own data centre */
  const struct clt_class *call_class; /* NULL: choose by count */
  double own_us;                      /* expected time of the call */
  double mean_us;                     /* of the service's calls */
  int64_t now_us;
};

static bool
is_tried (const GPtrArray *tried, const struct fst_endpoint *endpoint)
{
  for (guint i = 0; tried != NULL && i < tried->len; i++)
    {
      if (g_ptr_array_index (tried, i) == endpoint)
        {
          return true;
        }
    }
  return false;
}

/* Returns the slots of ENDPOINT that are this daemon's share.  */
static double
slot_share (const struct fst_fleet *fleet, const struct fst_endpoint *endpoint)
{
  double share = MAX (fleet->view->share, SHARE_MIN);
  double slots = MAX (endpoint->slots, 1) * share;
  return MAX (slots, 1);
}

/* Returns the load of ENDPOINT with the request to be sent, in requests for
   each slot.  */
static double
load_by_count (const struct choice *choice,
               const struct fst_endpoint *endpoint)
{
  return (endpoint->evidence.in_flight + 1)
         / slot_share (choice->fleet, endpoint);
}

/* Returns the factor by which calls are expected to take longer at
   ENDPOINT.  */
static double
slowness (const struct fst_endpoint *endpoint, int64_t now_us)
{
  double age_us = (double)(now_us - endpoint->slowness_us);
  return pow (endpoint->slowness,
              exp2 (-MAX (age_us, 0) / SLOWNESS_HALF_LIFE_US));
}

/* Returns the load of ENDPOINT with the request to be sent: the time until its
   answer, relative to a mean call.  */
static double
load_by_time (const struct choice *choice, const struct fst_endpoint *endpoint)
{
  double rest_us = 0;
  for (const GList *link = endpoint->calls.head; link != NULL;
       link = link->next)
    {
      const struct epc_call *call = link->data;
      int64_t run_us
          = call->began_us == 0 ? 0 : choice->now_us - call->began_us;
      rest_us += clt_remaining_us (call->call_class, run_us, choice->now_us);
    }
  return (rest_us / slot_share (choice->fleet, endpoint) + choice->own_us)
         * slowness (endpoint, choice->now_us) / choice->mean_us;
}

/* Returns the relative cost of the request at ENDPOINT: it rises with the
   load, the share of failures and the latency, and in another data centre.
   Where calls differ, the latency says which calls the endpoint was sent, so
   its slowness counts instead.  */
static double
endpoint_cost (const struct choice *choice,
               const struct fst_endpoint *endpoint)
{
  double remote = endpoint->data_centre == choice->home ? 0 : REMOTE_LOAD;
  double failures = 1 + FAILURE_FACTOR * endpoint->evidence.failure_rate;
  if (choice->call_class != NULL)
    {
      return (load_by_time (choice, endpoint) + remote) * failures;
    }
  return (load_by_count (choice, endpoint) + remote) * failures
         * (1 + endpoint->evidence.latency_us / CLK_S_US);
}

/* Returns the endpoint with the lowest cost that is open and wasn't tried, or
   NULL.  One that is in backoff is used as a LAST_RESORT only.  */
static struct fst_endpoint *
cheapest_endpoint (const struct choice *choice, bool last_resort)
{
  const struct fst_fleet *fleet = choice->fleet;
  const struct service_state *state
      = fst_service_state (choice->fleet, choice->service);
  int64_t now_us = choice->now_us;
  struct fst_endpoint *best = NULL;
  double best_cost = INFINITY;
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->service != choice->service || !endpoint->listed
          || !fst_is_in_reach (state, endpoint)
          || now_us < opens_for_requests_us (endpoint, now_us)
          || is_tried (choice->tried, endpoint)
          || !(last_resort || evd_usable (&endpoint->evidence, now_us)))
        {
          continue;
        }
      double cost = endpoint_cost (choice, endpoint)
                    * g_random_double_range (0.95, 1.05);
      if (cost < best_cost)
        {
          best = endpoint;
          best_cost = cost;
        }
    }
  return best;
}

/* Chooses an endpoint of the plain service SERVICE that isn't among TRIED, for
   a call of CALL_CLASS, of TIMES; both are NULL if its class isn't known.
   Returns a reference, or NULL when there is none.  */
struct fst_endpoint *
epc_choose (struct fst_fleet *fleet, uint32_t service, const GPtrArray *tried,
            const struct clt_times *times, const struct clt_class *call_class,
            int64_t now_us)
{
  bool by_time = times != NULL && call_class != NULL
                 && clt_differs (times, call_class, now_us);
  const struct choice choice = {
    .fleet = fleet,
    .service = service,
    .tried = tried,
    .home = fst_data_centre_index (fleet, fleet->data_centre),
    .call_class = by_time ? call_class : NULL,
    .own_us = by_time ? clt_remaining_us (call_class, 0, now_us) : 0,
    .mean_us = by_time ? clt_service_mean_us (times, call_class, now_us) : 0,
    .now_us = now_us,
  };
  struct fst_endpoint *best = cheapest_endpoint (&choice, false);
  if (best == NULL)
    {
      best = cheapest_endpoint (&choice, true);
    }
  return best == NULL ? NULL : fst_reference (best);
}

/* Records that CALL, of CALL_CLASS, is sent to ENDPOINT.  Both must stay valid
   until epc_end_call.  */
void
epc_begin_call (const struct fst_fleet *fleet, struct fst_endpoint *endpoint,
                struct epc_call *call, struct clt_class *call_class,
                int64_t now_us)
{
  call->found_slot = endpoint->calls.length < slot_share (fleet, endpoint);
  call->call_class = call_class;
  call->sent_us = now_us;
  call->began_us = call->found_slot ? now_us : 0;
  call->link.data = call;
  call->is_counted = true;
  g_queue_push_tail_link (&endpoint->calls, &call->link);
}

/* Records that the call which waits longest for a slot of ENDPOINT gets
   one.  */
static void
begin_next (struct fst_endpoint *endpoint, int64_t now_us)
{
  for (GList *link = endpoint->calls.head; link != NULL; link = link->next)
    {
      struct epc_call *call = link->data;
      if (call->began_us == 0)
        {
          call->began_us = now_us;
          return;
        }
    }
}

/* Records how CALL, which epc_begin_call counted at ENDPOINT, has ended; one
   that isn't counted is left alone.  Calls that waited for a slot say nothing
   of how long others take.  */
void
epc_end_call (struct fst_endpoint *endpoint, struct epc_call *call,
              enum epc_end end, int64_t now_us)
{
  if (!call->is_counted)
    {
      return;
    }
  call->is_counted = false;
  g_queue_unlink (&endpoint->calls, &call->link);
  if (call->began_us > 0)
    {
      begin_next (endpoint, now_us);
    }
  if (end == EPC_NO_TIME || !call->found_slot)
    {
      return;
    }
  int64_t time_us = now_us - call->sent_us;
  if (end == EPC_ANSWERED && clt_is_known (call->call_class, now_us))
    {
      double relative
          = (double)time_us / clt_remaining_us (call->call_class, 0, now_us);
      double before = slowness (endpoint, now_us);
      relative = CLAMP (relative, SLOWNESS_MIN, SLOWNESS_MAX);
      endpoint->slowness = before + SLOWNESS_WEIGHT * (relative - before);
      endpoint->slowness_us = now_us;
    }
  clt_learn (call->call_class, time_us, end == EPC_ANSWERED, now_us);
}
