#include "soak/callers.h"

#include "base/clock.h"
#include "platform/headers.h"
#include "standin/fleet.h"

#include <stdio.h>
#include <string.h>

/* Percentages of drafts and bookings; the other requests are lookups. */
#define DRAFT_PERCENT 40
#define BOOKING_PERCENT 35

/* Percentages of requests with the extra key, which publications add and
   remove; of requests that may go to a daemon out of rotation, as on a
   connection opened earlier; and of drafts whose callers leave early. */
#define EXTRA_KEY_PERCENT 30
#define ANY_DAEMON_PERCENT 30
#define EARLY_LEAVE_PERCENT 10

/* While requests crash endpoints, one in so many does so if it is a draft or a
   look-up. */
#define HARM_INTERVAL 4

/* The longest time that a caller waits before it leaves early. */
#define EARLY_LEAVE_MAX_MS 150

/* Deadlines of drafts and of calls to services.  The first is also the
   deadline that every request states; the second is the time-out of the
   stand-in's routes. */
#define DRAFT_DEADLINE_US (5 * CLK_S_US)
#define CALL_DEADLINE_US (600 * CLK_MS_US)

/* A caller gives up on a request this long after its deadline. */
#define GIVE_UP_DELAY_US (3 * CLK_S_US)

/* How much of a wrong answer is printed. */
#define WRONG_ANSWER_BYTES_MAX 200

struct scl_callers
{
  struct scl_params params;
  struct ncl_client *client;
  GPtrArray *calls; /* struct call, in flight */
  uint32_t next_id;
};

/* A request in flight. */
struct call
{
  struct scl_callers *callers;
  struct srd_request *request;
  struct ncl_exchange *exchange;
  GString *body;
  int64_t leaves_at_us; /* SRD_NEVER unless the caller leaves early */
};

static void
end_call (struct call *call)
{
  g_ptr_array_remove_fast (call->callers->calls, call);
  g_string_free (call->body, TRUE);
  g_free (call);
}

/* Returns the body that the answer to REQUEST must have.  */
static GString *
expected_answer (const struct srd_request *request)
{
  GString *text = g_string_new (NULL);
  if (request->kind != SRD_DRAFT)
    {
      g_string_append_printf (text, "done %s", request->id);
      return text;
    }
  for (uint32_t i = 1; i <= SFL_STREAM_EVENTS; i++)
    {
      g_string_append_printf (text, "id: %u\ndata: %s-%u\n\n", i, request->id,
                              i);
    }
  return text;
}

static bool
on_headers (void *context, uint32_t status, const struct msg_message *answer)
{
  struct call *call = context;
  call->request->status = status;
  /* The daemon's own answers have no signature. */
  if (msg_find (answer, PFH_SIGNATURE) != NULL)
    {
      srd_pass_on (call->callers->params.record, call->request,
                   clk_monotonic_us ());
    }
  return true;
}

static void
on_body (void *context, const char *bytes, size_t count)
{
  struct call *call = context;
  g_string_append_len (call->body, bytes, (gssize)count);
}

static void
on_complete (void *context)
{
  struct call *call = context;
  struct srd_request *request = call->request;
  GString *expected = expected_answer (request);
  request->complete = true;
  request->correct = g_string_equal (expected, call->body);
  request->ended_us = clk_monotonic_us ();
  if (request->status == HTTP_STATUS_OK && !request->correct)
    {
      g_autofree char *text
          = g_strndup (call->body->str, WRONG_ANSWER_BYTES_MAX);
      g_autofree char *escaped = g_strescape (text, NULL);
      printf ("wrong answer to %s, %zu bytes: \"%s\"\n", request->id,
              call->body->len, escaped);
    }
  g_string_free (expected, TRUE);
  end_call (call);
}

static void
on_failed (void *context, enum ncl_failure failure)
{
  (void)failure;
  struct call *call = context;
  call->request->ended_us = clk_monotonic_us ();
  end_call (call);
}

static const struct ncl_events call_events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

/* Returns callers without requests; free them with scl_destroy.  What PARAMS
   point to must outlive them.  */
struct scl_callers *
scl_create (const struct scl_params *params)
{
  const struct ncl_params client = {
    .idle_max_us = 8 * CLK_S_US,
    .idle_margin_us = CLK_S_US,
    .connect_timeout_us = CLK_S_US,
    .user_timeout_ms = 20000,
    .idle_connections_max = 16,
  };
  struct scl_callers *callers = g_new0 (struct scl_callers, 1);
  callers->params = *params;
  callers->client = ncl_create (params->loop, &client);
  callers->calls = g_ptr_array_new ();
  return callers;
}

/* Cancels the requests in flight and frees CALLERS.  */
void
scl_destroy (struct scl_callers *callers)
{
  for (guint i = callers->calls->len; i-- > 0;)
    {
      struct call *call = g_ptr_array_index (callers->calls, i);
      ncl_cancel (call->exchange);
      g_string_free (call->body, TRUE);
      g_free (call);
    }
  ncl_destroy (callers->client);
  g_ptr_array_free (callers->calls, TRUE);
  g_free (callers);
}

/* Returns true with a probability of PERCENT in 100.  */
static bool
draw_chance (struct scl_callers *callers, gint percent)
{
  return g_rand_int_range (callers->params.random, 0, 100) < percent;
}

/* Returns the daemon for the next request: any running one now and then, else
   the load balancer's choice.  */
static struct sdm_daemon *
choose_daemon (struct scl_callers *callers)
{
  const struct sdm_daemons *daemons = callers->params.daemons;
  uint32_t number = g_rand_int (callers->params.random);
  struct sdm_daemon *any = sdm_at (daemons, number % daemons->list->len);
  return draw_chance (callers, ANY_DAEMON_PERCENT)
                 && sep_is_running (any->process)
             ? any
             : sdm_choose (daemons, number);
}

/* Draws the kind, key and deadline of REQUEST, which is sent now.  */
static void
draw_request (struct scl_callers *callers, uint32_t extra_key,
              struct srd_request *request)
{
  request->kind
      = draw_chance (callers, DRAFT_PERCENT) ? SRD_DRAFT
        : draw_chance (callers, 100 * BOOKING_PERCENT / (100 - DRAFT_PERCENT))
            ? SRD_BOOK
            : SRD_LOOK;
  request->key = extra_key > 0 && draw_chance (callers, EXTRA_KEY_PERCENT)
                     ? extra_key
                     : 0;
  request->sent_us = clk_monotonic_us ();
  request->deadline_us
      = request->sent_us
        + (request->kind == SRD_DRAFT ? DRAFT_DEADLINE_US : CALL_DEADLINE_US);
}

/* Returns the headers that state the token counts and the parts of the prompt
   of REQUEST, a draft; free them with g_free.  */
static char *
format_prompt (const struct srd_request *request)
{
  g_autofree char *text = srd_harm_text (request->harm);
  g_autofree char *harm
      = request->harm == 0 ? g_strdup ("") : g_strdup_printf ("%s:9,", text);
  return g_strdup_printf (PFH_TOKENS ": 40,24\r\n" PFH_PROMPT_PARTS
                                     ": a1:20,b%u:30,%sf%s:9\r\n",
                          request->key, harm, request->id);
}

/* Returns REQUEST as HTTP; free it with g_free.  */
static char *
format_request (const struct srd_request *request)
{
  static const char *const paths[SRD_KINDS] = {
    [SRD_DRAFT] = "/draft/a",
    [SRD_BOOK] = "/book/a",
    [SRD_LOOK] = "/look/a",
  };
  g_autofree char *prompt
      = request->kind == SRD_DRAFT ? format_prompt (request) : g_strdup ("");
  g_autofree char *body = request->kind == SRD_LOOK && request->harm > 0
                              ? srd_harm_text (request->harm)
                              : g_strdup ("body");
  return g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: fleet.example\r\nX-Api-Key: key-%u\r\n"
      "X-Own: 1\r\n" PFH_REQUEST_ID ": %s\r\n" PFH_TIME_LEFT_MS
      ": %ld\r\n%sContent-Length: %zu\r\n\r\n%s",
      paths[request->kind], request->key + 1, request->id,
      (long)(DRAFT_DEADLINE_US / CLK_MS_US), prompt, strlen (body), body);
}

/* Sends one random request.  A share of the requests has the key EXTRA_KEY,
   unless that is 0, and one draft or look-up in HARM_INTERVAL has the harm of
   its kind in HARMS, unless that is 0.  Adds the request to the record.  */
void
scl_send (struct scl_callers *callers, uint32_t extra_key,
          const uint32_t harms[SRD_KINDS])
{
  char id[SRD_ID_BYTES];
  g_snprintf (id, sizeof id, "r%u", ++callers->next_id);
  struct sdm_daemon *daemon = choose_daemon (callers);
  struct srd_request *request = srd_add_request (callers->params.record, id);
  draw_request (callers, extra_key, request);
  request->harm
      = callers->next_id % HARM_INTERVAL == 0 ? harms[request->kind] : 0;
  request->daemon = daemon->index;
  request->sender = daemon->index;
  request->start_number = daemon->start_number;
  request->daemon_started_us = daemon->started_us;
  struct call *call = g_new0 (struct call, 1);
  call->callers = callers;
  call->request = request;
  call->body = g_string_new (NULL);
  call->leaves_at_us = SRD_NEVER;
  if (request->kind == SRD_DRAFT && draw_chance (callers, EARLY_LEAVE_PERCENT))
    {
      call->leaves_at_us
          = request->sent_us
            + g_rand_int_range (callers->params.random, 1, EARLY_LEAVE_MAX_MS)
                  * CLK_MS_US;
    }
  g_ptr_array_add (callers->calls, call);
  g_autofree char *bytes = format_request (request);
  call->exchange
      = ncl_send (callers->client, sep_caller_address (daemon->process), bytes,
                  strlen (bytes), false, &call_events, call);
  if (call->exchange == NULL)
    {
      request->ended_us = request->sent_us;
      end_call (call);
    }
}

/* Closes the connections of callers that leave early, and of those whose
   requests are too far past their deadlines.  */
void
scl_expire (struct scl_callers *callers, int64_t now_us)
{
  ncl_expire (callers->client, now_us);
  for (guint i = callers->calls->len; i-- > 0;)
    {
      struct call *call = g_ptr_array_index (callers->calls, i);
      bool leaves = now_us >= call->leaves_at_us;
      if (leaves || now_us >= call->request->deadline_us + GIVE_UP_DELAY_US)
        {
          call->request->caller_left_us = leaves ? now_us : SRD_NEVER;
          ncl_cancel (call->exchange);
          end_call (call);
        }
    }
}

/* Returns the number of requests in flight.  */
guint
scl_in_flight (const struct scl_callers *callers)
{
  return callers->calls->len;
}
