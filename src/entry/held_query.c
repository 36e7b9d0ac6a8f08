#include "entry/held_query.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "net/call.h"
#include "platform/headers.h"

/* Time-out of a daemon's answer. */
#define ANSWER_TIMEOUT_MS 300

struct hqr_query
{
  struct hqr_params params;
  struct cal_call *call;
  GPtrArray *addresses; /* of the daemons to ask, the next one last */
  uint64_t era;         /* these three: see hqr_question */
  bool until_known;
  int64_t until_us;
  bool known; /* see hqr_events */
};

static void on_answer (void *context, uint32_t status, const uint8_t *body,
                       size_t body_bytes, const char *why);

/* Creates a query for the topic of PARAMS.  The caller frees it with
   hqr_destroy.  */
struct hqr_query *
hqr_create (const struct hqr_params *params)
{
  struct hqr_query *query = g_new0 (struct hqr_query, 1);
  query->params = *params;
  query->addresses = g_ptr_array_new_with_free_func (g_free);
  return query;
}

/* Asks nobody else, without a call of the events of QUERY.  */
void
hqr_stop (struct hqr_query *query)
{
  if (query->call != NULL)
    {
      cal_cancel (query->call);
      query->call = NULL;
    }
  g_ptr_array_set_size (query->addresses, 0);
}

/* Frees QUERY, without a call of its events.  */
void
hqr_destroy (struct hqr_query *query)
{
  hqr_stop (query);
  g_ptr_array_free (query->addresses, TRUE);
  g_free (query);
}

/* Asks the next daemon, or ends the query.  */
static void
ask_next (struct hqr_query *query)
{
  bool enough = query->until_known && query->known;
  if (query->addresses->len == 0 || enough
      || clk_monotonic_us () > query->until_us)
    {
      g_ptr_array_set_size (query->addresses, 0);
      query->params.events->ended (query->params.context, query->known);
      return;
    }
  const struct rly_request request = {
    .topic = query->params.topic,
    .era = query->era,
    .whole = true,
  };
  g_autofree char *path = rly_path (&request);
  const struct cal_params params = {
    .client = query->params.client,
    .loop = query->params.loop,
    .address = g_ptr_array_index (query->addresses, query->addresses->len - 1),
    .method = "GET",
    .path = path,
    .timeout_ms = ANSWER_TIMEOUT_MS,
    .done = on_answer,
    .context = query,
  };
  query->call = cal_send (&params);
}

/* Reads what a daemon holds from BODY.  Returns false when BODY is invalid. */
static bool
read_held (struct hqr_query *query, const uint8_t *body, size_t body_bytes,
           GError **error)
{
  struct pfs_page page;
  struct rly_head head = { 0 };
  bool valid = rly_decode (body, body_bytes, &page, &head, error);
  for (guint i = 0; valid && i < page.records->len; i++)
    {
      query->params.events->held (query->params.context,
                                  g_ptr_array_index (page.records, i),
                                  head.era);
    }
  query->known |= valid && page.records->len > 0
                  && head.proof_lead_us >= -query->params.age_max_us;
  pfs_clear_page (&page);
  rly_clear_head (&head);
  return valid;
}

/* Handles the answer of the daemon that was asked last.  */
static void
on_answer (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  struct hqr_query *query = context;
  query->call = NULL;
  g_autoptr (GError) error = NULL;
  if (status != HTTP_STATUS_OK || !read_held (query, body, body_bytes, &error))
    {
      lg_line (LOG_INFO, "relay_not_asked",
               "topic=%s relay=%s status=%u why=\"%s\"", query->params.topic,
               (char *)g_ptr_array_index (query->addresses,
                                          query->addresses->len - 1),
               status, error != NULL ? error->message : why);
    }
  g_ptr_array_set_size (query->addresses, (gint)query->addresses->len - 1);
  ask_next (query);
}

/* Asks the daemons of QUESTION; an earlier question ends without a call of the
   events.  Ends at once where there is nobody to ask.  */
void
hqr_start (struct hqr_query *query, const struct hqr_question *question)
{
  hqr_stop (query);
  for (guint i = 0; i < question->addresses->len; i++)
    {
      g_ptr_array_add (query->addresses,
                       g_strdup (g_ptr_array_index (question->addresses, i)));
    }
  query->era = question->era;
  query->until_known = question->until_known;
  query->until_us = question->until_us;
  query->known = false;
  ask_next (query);
}

/* True while a daemon is asked.  */
bool
hqr_is_active (const struct hqr_query *query)
{
  return query->addresses->len > 0;
}
