#include "entry/inquiry.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/exchange.h"
#include "net/call.h"
#include "platform/runner.h"

/* Between two questions to one engine: the first pause, since its report lags,
   and the longest, which follows answers that name no stall.  A pause that has
   been over for some time begins anew. */
#define ASK_AGAIN_US (90 * CLK_MS_US)
#define ASK_LATEST_US (800 * CLK_MS_US)
#define ASK_ANEW_US (2 * CLK_S_US)

/* How long an answer may take. */
#define ASK_MS 400

/* Questions to one engine. */
struct inquiry
{
  struct trf_traffic *traffic;
  struct fst_endpoint *engine; /* reference */
  struct cal_call *call;       /* NULL: none is under way */
  int64_t asked_us;
  int64_t pause_us; /* before the next question */
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

/* Creates the table of the inquiries of a traffic thread.  */
GHashTable *
inq_table_create (void)
{
  return g_hash_table_new_full (NULL, NULL, NULL, destroy_inquiry);
}

/* Takes the stalls that ENGINE told of.  */
static void
take_stalls (struct trf_traffic *traffic, const struct fst_endpoint *engine,
             const GPtrArray *stalls)
{
  for (guint i = 0; i < stalls->len; i++)
    {
      const struct pfr_stall *stall = g_ptr_array_index (stalls, i);
      struct fst_endpoint *culprit
          = fst_find_address (traffic->fleet, engine->service, stall->address);
      if (culprit != NULL)
        {
          fst_report_failure (traffic->fleet, culprit, EVD_DEATH,
                              "an engine waits for it in vain",
                              clk_monotonic_us ());
        }
    }
}

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
      inquiry->pause_us = ASK_AGAIN_US;
    }
  if (stalls != NULL)
    {
      take_stalls (traffic, inquiry->engine, stalls);
      g_ptr_array_free (stalls, TRUE);
    }
  else if (status == 0)
    {
      fst_report_failure (traffic->fleet, inquiry->engine, EVD_DEATH,
                          "it didn't answer a question", clk_monotonic_us ());
    }
  exg_check_streams (traffic, inquiry->engine);
}

static void
send_question (struct inquiry *inquiry, int64_t now_us)
{
  const struct cal_params params = {
    .client = inquiry->traffic->client,
    .loop = inquiry->traffic->loop,
    .address = inquiry->engine->address,
    .method = "GET",
    .path = PFR_REPORT_PATH,
    .timeout_ms = ASK_MS,
    .done = on_report,
    .context = inquiry,
  };
  inquiry->asked_us = now_us;
  inquiry->call = cal_send (&params);
}

/* Returns the inquiry into ENGINE.  */
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

/* Asks ENGINE what its streams wait for, unless it was asked just now.  */
void
inq_ask (struct trf_traffic *traffic, struct fst_endpoint *engine,
         int64_t now_us)
{
  struct inquiry *inquiry = find_inquiry (traffic, engine);
  if (inquiry->call != NULL || now_us - inquiry->asked_us < inquiry->pause_us)
    {
      return;
    }
  bool anew = now_us - inquiry->asked_us > ASK_ANEW_US;
  inquiry->pause_us
      = anew ? ASK_AGAIN_US : MIN (inquiry->pause_us * 2, ASK_LATEST_US);
  send_question (inquiry, now_us);
}

/* Forgets the inquiries that ended some time ago.  */
void
inq_forget (struct trf_traffic *traffic, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, traffic->inquiries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct inquiry *inquiry = value;
      if (inquiry->call == NULL && now_us - inquiry->asked_us > ASK_ANEW_US)
        {
          g_hash_table_iter_remove (&iter);
        }
    }
}
