#include "entry/inquiry.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/announcement.h"
#include "entry/exchange.h"
#include "entry/passing.h"
#include "net/call.h"
#include "platform/runner.h"

/* Interval between two requests to one engine.  It begins at the minimum,
   since an engine's report lags behind, and doubles with each answer that
   names no stall, up to the maximum.  It begins at the minimum again after the
   expiry time without requests. */
#define INTERVAL_MIN_US (90 * CLK_MS_US)
#define INTERVAL_MAX_US (800 * CLK_MS_US)
#define EXPIRY_US (2 * CLK_S_US)

/* Time-out of a request. */
#define REPORT_TIMEOUT_MS 400

/* The requests for the report of one engine. */
struct inquiry
{
  struct trf_traffic *traffic;
  struct fst_endpoint *engine; /* reference */
  struct cal_call *call;       /* NULL: none in progress */
  int64_t sent_us;             /* monotonic, newest request */
  int64_t interval_us;         /* before the next request */
};

static void
destroy_inquiry (gpointer data)
{
  struct inquiry *inquiry = data;
  if (inquiry->call != NULL)
    {
      cal_cancel (inquiry->call);
    }
  fst_release (inquiry->engine);
  g_free (inquiry);
}

/* Creates the table of the inquiries of a traffic thread, engine to struct
   inquiry.  Destroying it cancels calls in progress.  */
GHashTable *
inq_table_create (void)
{
  return g_hash_table_new_full (NULL, NULL, NULL, destroy_inquiry);
}

/* Records a failure of each engine that STALLS, from the report of ENGINE, say
   doesn't answer it.  */
static void
report_stalls (struct trf_traffic *traffic, const struct fst_endpoint *engine,
               const GPtrArray *stalls)
{
  for (guint i = 0; i < stalls->len; i++)
    {
      const struct pfr_stall *stall = g_ptr_array_index (stalls, i);
      struct fst_endpoint *stalled
          = fst_find_address (traffic->fleet, engine->service, stall->address);
      if (stalled != NULL)
        {
          fst_report_failure (traffic->fleet, stalled, EVD_DEAD,
                              "does not answer another engine",
                              clk_monotonic_us ());
          exg_expedite_checks (traffic, stalled);
        }
    }
}

static void
on_report_head (void *context, uint32_t status,
                const struct msg_message *response)
{
  struct inquiry *inquiry = context;
  anc_handle (inquiry->traffic, inquiry->engine, status, response);
}

/* Handles a report, and checks again the streams that begin at its engine.  An
   engine that sends no answer at all counts as dead.  */
static void
on_report (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  struct inquiry *inquiry = context;
  struct trf_traffic *traffic = inquiry->traffic;
  g_autoptr (GError) error = NULL;
  GPtrArray *stalls = status == HTTP_STATUS_OK
                          ? pfr_decode_stalls (body, body_bytes, &error)
                          : NULL;
  lg_line (LOG_INFO, "stall_report",
           "endpoint=%s status=%u why=\"%s\" stalls=%u first=%s",
           inquiry->engine->id, status, error != NULL ? error->message : why,
           stalls == NULL ? 0 : stalls->len,
           stalls == NULL || stalls->len == 0
               ? "-"
               : ((struct pfr_stall *)g_ptr_array_index (stalls, 0))->address);
  inquiry->call = NULL;
  if (stalls != NULL && stalls->len > 0)
    {
      inquiry->interval_us = INTERVAL_MIN_US;
    }
  if (status != 0)
    {
      psg_report_answer (traffic, inquiry->engine, inquiry->sent_us);
    }
  if (stalls != NULL)
    {
      report_stalls (traffic, inquiry->engine, stalls);
      g_ptr_array_free (stalls, TRUE);
    }
  else if (status == 0)
    {
      psg_report_failure (traffic, inquiry->engine, inquiry->sent_us);
      fst_report_failure (traffic->fleet, inquiry->engine, EVD_DEAD,
                          "did not answer a report request",
                          clk_monotonic_us ());
    }
  exg_check_streams (traffic, inquiry->engine);
}

static void
send_request (struct inquiry *inquiry, int64_t now_us)
{
  const struct cal_params params = {
    .client = inquiry->traffic->client,
    .loop = inquiry->traffic->loop,
    .address = inquiry->engine->address,
    .method = "GET",
    .path = PFR_REPORT_PATH,
    .timeout_ms = REPORT_TIMEOUT_MS,
    .answer_bytes_max = PFR_ANSWER_BYTES_MAX,
    .headers = on_report_head,
    .done = on_report,
    .context = inquiry,
  };
  inquiry->sent_us = now_us;
  inquiry->call = cal_send (&params);
}

/* Returns the inquiry of ENGINE, created if it is new.  */
static struct inquiry *
find_inquiry (struct trf_traffic *traffic, struct fst_endpoint *engine)
{
  struct inquiry *inquiry = g_hash_table_lookup (traffic->inquiries, engine);
  if (inquiry == NULL)
    {
      inquiry = g_new0 (struct inquiry, 1);
      inquiry->traffic = traffic;
      inquiry->engine = fst_reference (engine);
      g_hash_table_insert (traffic->inquiries, engine, inquiry);
    }
  return inquiry;
}

/* Requests a report from ENGINE on what its streams wait for, unless one is in
   progress, the interval since the newest isn't over, or ENGINE wants no
   requests now.  */
void
inq_request_report (struct trf_traffic *traffic, struct fst_endpoint *engine,
                    int64_t now_us)
{
  struct inquiry *inquiry = find_inquiry (traffic, engine);
  if (inquiry->call != NULL || now_us < engine->opens_us
      || now_us - inquiry->sent_us < inquiry->interval_us)
    {
      return;
    }
  bool expired = now_us - inquiry->sent_us > EXPIRY_US;
  inquiry->interval_us = expired
                             ? INTERVAL_MIN_US
                             : MIN (inquiry->interval_us * 2, INTERVAL_MAX_US);
  send_request (inquiry, now_us);
}

/* Removes the inquiries whose newest request is over and longer ago than the
   expiry time.  */
void
inq_remove_expired (struct trf_traffic *traffic, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, traffic->inquiries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct inquiry *inquiry = value;
      if (inquiry->call == NULL && now_us - inquiry->sent_us > EXPIRY_US)
        {
          g_hash_table_iter_remove (&iter);
        }
    }
}
