#include "entry/announcement.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/decimal.h"
#include "core/turned_away.h"
#include "entry/exchange.h"
#include "platform/headers.h"

#include <math.h>

/* True when ANSWER says that its endpoint leaves.  */
bool
anc_is_leaving (const struct msg_message *answer)
{
  return g_strcmp0 (msg_find (answer, PFH_LEAVING), "1") == 0;
}

/* Returns the time for which ANSWER with STATUS says that the endpoint ID
   wants no requests; 0 if it isn't a 503 or states no valid time.  */
int64_t
anc_closed_us (const char *id, uint32_t status,
               const struct msg_message *answer)
{
  if (status != HTTP_STATUS_SERVICE_UNAVAILABLE)
    {
      return 0;
    }
  int64_t duration_us = 0;
  enum tna_reading reading
      = tna_read (msg_find (answer, PFH_RETRY_AFTER), &duration_us);
  if (reading == TNA_BOUNDED || reading == TNA_INVALID)
    {
      lg_line (LOG_WARNING, "retry_after_refused",
               "endpoint=%s bounded=%d for_ms=%ld", id, reading == TNA_BOUNDED,
               (long)(duration_us / CLK_MS_US));
    }
  return duration_us;
}

/* Returns the requests a second that ANSWER says its endpoint takes from all
   daemons together; 0 if it names no limit.  One that can't be read counts as
   none.  */
double
anc_rate_limit (const char *id, const struct msg_message *answer)
{
  const char *text = msg_find (answer, PFH_RATE_LIMIT);
  if (text == NULL)
    {
      return 0;
    }
  double per_s = 0;
  if (!dcm_read (text, &per_s) || !isfinite (per_s) || per_s <= 0)
    {
      lg_line (LOG_WARNING, "rate_limit_refused", "endpoint=%s", id);
      return 0;
    }
  return per_s;
}

/* Closes ENDPOINT for DURATION_US.  Requests to it that aren't on their way
   yet go elsewhere.  */
static void
close_endpoint (struct trf_traffic *traffic, struct fst_endpoint *endpoint,
                int64_t duration_us)
{
  if (fst_report_turned_away (traffic->fleet, endpoint, duration_us,
                              clk_monotonic_us ()))
    {
      cnt_add (traffic->metrics->turned_away, 1);
      exg_withdraw_unsent (traffic, endpoint);
    }
}

/* Records the rate limit that ANSWER, with STATUS, names for ENDPOINT, or that
   it names none any more.  At the status 421 another incarnation may have
   answered.  */
static void
handle_rate_limit (struct trf_traffic *traffic, struct fst_endpoint *endpoint,
                   uint32_t status, const struct msg_message *answer)
{
  double per_s = anc_rate_limit (endpoint->id, answer);
  double before_per_s = endpoint->rate.per_s;
  if (per_s == before_per_s || status == HTTP_STATUS_MISDIRECTED_REQUEST)
    {
      return;
    }
  lg_line (LOG_NOTICE, "endpoint_limits_rate",
           "endpoint=%s address=%s per_s=%.3f before=%.3f share=%.4f",
           endpoint->id, endpoint->address, per_s, before_per_s,
           fst_view (traffic->fleet)->rate_share);
  fst_report_rate (traffic->fleet, endpoint, per_s);
  if (before_per_s == 0)
    {
      exg_withdraw_unsent (traffic, endpoint);
    }
}

/* Handles what the head of ANSWER, with STATUS, announces of ENDPOINT, which
   sent it.  The time of a 503 holds for the engine at fault too, if ANSWER
   names one.  Returns true when ENDPOINT wants no requests for a time.  */
bool
anc_handle (struct trf_traffic *traffic, struct fst_endpoint *endpoint,
            uint32_t status, const struct msg_message *answer)
{
  handle_rate_limit (traffic, endpoint, status, answer);
  if (anc_is_leaving (answer) && fst_report_leaving (traffic->fleet, endpoint))
    {
      cnt_add (traffic->metrics->leaving_said, 1);
      exg_withdraw_unsent (traffic, endpoint);
    }
  if (status != HTTP_STATUS_SERVICE_UNAVAILABLE)
    {
      return false;
    }
  int64_t duration_us = anc_closed_us (endpoint->id, status, answer);
  if (duration_us == 0)
    {
      return false;
    }
  close_endpoint (traffic, endpoint, duration_us);
  const char *address = msg_find (answer, PFH_ENDPOINT_AT_FAULT);
  struct fst_endpoint *at_fault
      = address == NULL
            ? NULL
            : fst_find_address (traffic->fleet, endpoint->service, address);
  if (at_fault != NULL && at_fault != endpoint)
    {
      close_endpoint (traffic, at_fault, duration_us);
    }
  return true;
}
