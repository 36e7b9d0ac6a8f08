#include "entry/probing.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/reach.h"
#include "entry/announcement.h"
#include "entry/passing.h"
#include "net/call.h"
#include "platform/headers.h"
#include "platform/runner.h"

/* Time-out of a probe. */
#define TIMEOUT_MS 400

/* A round of probes to endpoints of one service. */
struct round
{
  struct trf_traffic *traffic;
  uint32_t references; /* by probes that haven't ended */
  char *service;       /* its name: the configuration may change meanwhile */
  uint32_t probes;
  uint32_t answers;
  int64_t began_us; /* monotonic */
};

struct probe
{
  struct trf_traffic *traffic;
  struct fst_endpoint *endpoint; /* reference */
  struct round *round;           /* NULL: none */
  struct cal_call *call;         /* NULL: ended */
  int64_t sent_us;               /* monotonic */
};

/* Releases a reference to ROUND; the last one frees it.  */
static void
release_round (struct round *round)
{
  if (--round->references == 0)
    {
      g_free (round->service);
      g_free (round);
    }
}

/* Counts a probe of ROUND as ended, and evaluates the round after the last
   one.  */
static void
end_probe (struct round *round, bool answered)
{
  struct trf_traffic *traffic = round->traffic;
  round->answers += answered;
  if (round->references > 1)
    {
      return;
    }
  const struct flt_config *config = fst_config (traffic->fleet);
  lg_line (LOG_INFO, "ways_probed", "service=%s probes=%u answers=%u",
           round->service, round->probes, round->answers);
  psg_end_round (traffic, flt_find_service (config, round->service),
                 round->probes, round->answers, round->began_us);
}

static void
destroy_probe (gpointer data)
{
  struct probe *probe = data;
  if (probe->call != NULL)
    {
      cal_cancel (probe->call);
    }
  if (probe->round != NULL)
    {
      release_round (probe->round);
    }
  fst_release (probe->endpoint);
  g_free (probe);
}

/* Creates the table of the probes of a traffic thread, endpoint to struct
   probe.  Destroying it cancels the calls in progress.  */
GHashTable *
prb_table_create (void)
{
  return g_hash_table_new_full (NULL, NULL, NULL, destroy_probe);
}

static void
on_head (void *context, uint32_t status, const struct msg_message *response)
{
  struct probe *probe = context;
  anc_handle (probe->traffic, probe->endpoint, status, response);
}

/* Handles the end of a probe.  Any answer shows that the endpoint is in
   reach.  */
static void
on_done (void *context, uint32_t status, const uint8_t *body,
         size_t body_bytes, const char *why)
{
  (void)body;
  (void)body_bytes;
  (void)why;
  struct probe *probe = context;
  struct trf_traffic *traffic = probe->traffic;
  struct fst_endpoint *endpoint = probe->endpoint;
  int64_t sent_us = probe->sent_us;
  probe->call = NULL;
  if (status == HTTP_STATUS_MISDIRECTED_REQUEST)
    {
      psg_report_answer (traffic, endpoint, sent_us);
      fst_report_failure (traffic->fleet, endpoint, EVD_MISDIRECTED,
                          "another endpoint has its address",
                          clk_monotonic_us ());
    }
  else if (status != 0)
    {
      psg_report_answer (traffic, endpoint, sent_us);
      fst_report_alive (traffic->fleet, endpoint);
    }
  else
    {
      /* An endpoint that was dead before says nothing of the network: the
         probes to several that crashed together would look like a cut. */
      if (probe->round != NULL)
        {
          psg_report_failure (traffic, endpoint, sent_us);
        }
      fst_report_failure (traffic->fleet, endpoint, EVD_DEAD,
                          "did not answer a probe", clk_monotonic_us ());
    }
  if (probe->round != NULL)
    {
      end_probe (probe->round, status != 0);
    }
  g_hash_table_remove (traffic->probes, endpoint);
}

/* Sends a probe of ROUND, or of none, to ENDPOINT unless one is on its way.
 */
static void
send_probe (struct trf_traffic *traffic, struct fst_endpoint *endpoint,
            struct round *round, int64_t now_us)
{
  const struct flt_config *config = fst_config (traffic->fleet);
  if (g_hash_table_contains (traffic->probes, endpoint))
    {
      return;
    }
  const struct flt_service *service = &config->services[endpoint->service];
  struct probe *probe = g_new0 (struct probe, 1);
  g_autofree char *expected
      = g_strdup_printf (PFH_EXPECTED_ENDPOINT ": %s\r\n", endpoint->id);
  const struct cal_params params = {
    .client = traffic->client,
    .loop = traffic->loop,
    .address = endpoint->address,
    .method = "GET",
    .path = service->has_engine ? PFR_REPORT_PATH : service->health_path,
    .header_lines = expected,
    .timeout_ms = TIMEOUT_MS,
    .answer_bytes_max = PFR_ANSWER_BYTES_MAX,
    .headers = on_head,
    .done = on_done,
    .context = probe,
  };
  probe->traffic = traffic;
  probe->endpoint = fst_reference (endpoint);
  probe->round = round;
  if (round != NULL)
    {
      round->probes++;
      round->references++;
    }
  probe->sent_us = now_us;
  g_hash_table_insert (traffic->probes, endpoint, probe);
  probe->call = cal_send (&params);
}

/* Begins a round for the service with the index SERVICE, to endpoints drawn at
   random.  */
static void
begin_round (struct trf_traffic *traffic, uint32_t service, int64_t now_us)
{
  g_autoptr (GPtrArray) endpoints = g_ptr_array_new ();
  fst_list_probed (traffic->fleet, service, now_us, endpoints);
  struct round *round = g_new0 (struct round, 1);
  round->traffic = traffic;
  round->references = 1;
  round->service
      = g_strdup (fst_config (traffic->fleet)->services[service].name);
  round->began_us = now_us;
  while (endpoints->len > 0 && round->probes < RCH_ROUND_PROBES)
    {
      guint drawn = (guint)g_random_int_range (0, (gint32)endpoints->len);
      struct fst_endpoint *endpoint
          = g_ptr_array_remove_index_fast (endpoints, drawn);
      send_probe (traffic, endpoint, round, now_us);
    }
  release_round (round);
}

/* Sends the probes that are due at NOW_US, monotonic time; to be called
   several times a second.  */
void
prb_step (struct trf_traffic *traffic, int64_t now_us)
{
  const struct flt_config *config = fst_config (traffic->fleet);
  for (uint32_t i = 0; config != NULL && i < config->service_count; i++)
    {
      if (psg_begin_round (traffic, i))
        {
          begin_round (traffic, i, now_us);
        }
    }
  g_autoptr (GPtrArray) dead = g_ptr_array_new ();
  fst_list_dead (traffic->fleet, now_us, dead);
  for (guint i = 0; i < MIN (dead->len, RCH_ROUND_PROBES); i++)
    {
      send_probe (traffic, g_ptr_array_index (dead, i), NULL, now_us);
    }
}
