/* Drafts (chat completions): sends random prompts and checks the streamed
   answers against those that the model of standin/model.h gives. */
#include "standin/load_private.h"

#include "base/clock.h"
#include "standin/model.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

/* Shortest time from a draft without a whole answer to the next one of a
   closed loop. */
#define RETRY_MIN_US (100 * CLK_MS_US)

#define EVENT_DATA_PREFIX "data: "
#define EVENT_END "[DONE]"

/* Appends BYTES random letters and spaces.  */
static void
append_random_letters (GString *out, GRand *random, uint32_t bytes)
{
  for (uint32_t i = 0; i < bytes; i++)
    {
      int letter = g_rand_int_range (random, 0, 27);
      g_string_append_c (out, letter == 26 ? ' ' : (char)('a' + letter));
    }
}

/* Returns a random number from LOW to HIGH, both included.  */
static uint32_t
random_between (GRand *random, uint32_t low, uint32_t high)
{
  return (uint32_t)g_rand_int_range (random, (gint32)low, (gint32)high + 1);
}

/* Returns a random prompt, to be freed by the caller.  It starts with one of
   the shared prefixes, if there are any.  */
static char *
make_prompt (struct lt_worker *worker)
{
  const struct lt_options *options = worker->options;
  GString *prompt = g_string_new (NULL);
  if (options->shared_prefixes > 0)
    {
      GRand *shared = g_rand_new_with_seed (
          random_between (worker->random, 1, options->shared_prefixes));
      append_random_letters (prompt, shared, options->shared_prefix_bytes);
      g_rand_free (shared);
    }
  append_random_letters (prompt, worker->random,
                         random_between (worker->random,
                                         options->prompt_bytes_min,
                                         options->prompt_bytes_max));
  return g_string_free (prompt, FALSE);
}

/* Starts a draft by ACCOUNT.  With CLOSED_LOOP the next draft follows when
   this one ends.  */
void
lt_start_draft (struct lt_worker *worker, uint32_t account, bool closed_loop)
{
  const struct lt_options *options = worker->options;
  struct lt_call *call = lt_call_create (worker, LT_DRAFT, account);
  call->closed_loop = closed_loop;
  call->prompt = make_prompt (worker);
  call->max_tokens = random_between (worker->random, options->tokens_min,
                                     options->tokens_max);
  call->body = g_strdup_printf (
      "{\"model\":\"%s\",\"max_tokens\":%u,\"stream\":true,\"messages\":"
      "[{\"role\":\"user\",\"content\":\"%s\"}]}",
      options->model, call->max_tokens, call->prompt);
  if (options->deadline_ms > 0)
    {
      char header[48];
      g_snprintf (header, sizeof header, "X-Deadline-Ms: %u",
                  options->deadline_ms);
      call->headers = curl_slist_append (call->headers, header);
    }
  lt_call_send (call, "/v1/chat/completions");
}

/* Records TEXT, which counts as one token, and the time of its arrival.  */
static void
record_token (struct lt_call *call, const char *text)
{
  struct lt_worker *worker = call->worker;
  struct lt_stats *stats = worker->stats;
  int64_t now_us = clk_monotonic_us ();
  bool measured
      = now_us >= worker->measure_start_us && now_us < worker->end_us;
  g_string_append (call->text, text);
  call->tokens++;
  call->measured_tokens += measured ? 1 : 0;
  stats->tokens += measured ? 1 : 0;
  int64_t window = (now_us - worker->start_us) / LT_WINDOW_US;
  if (window < stats->window_count)
    {
      stats->window_tokens[window]++;
    }
  if (call->first_token_us == 0)
    {
      call->first_token_us = now_us;
    }
  else
    {
      int64_t gap_us = now_us - call->last_us;
      call->longest_gap_us = MAX (call->longest_gap_us, gap_us);
      if (measured)
        {
          g_array_append_val (stats->gap_us, gap_us);
        }
    }
  call->last_us = now_us;
}

/* Parses the DATA of one server-sent event: a token, an error or the end.  */
static void
parse_event (struct lt_call *call, const char *data)
{
  if (strcmp (data, EVENT_END) == 0)
    {
      call->done = true;
      return;
    }
  json_t *event = json_loads (data, 0, NULL);
  if (json_object_get (event, "error") != NULL)
    {
      lt_call_read_error (call, data);
    }
  const json_t *choice
      = json_array_get (json_object_get (event, "choices"), 0);
  const char *text = json_string_value (
      json_object_get (json_object_get (choice, "delta"), "content"));
  if (text != NULL && text[0] != '\0')
    {
      record_token (call, text);
    }
  json_decref (event);
}

/* Receives a part of a streamed answer and parses the lines that are
   complete.  */
size_t
lt_receive_events (char *data, size_t size, size_t count, void *user)
{
  struct lt_call *call = user;
  GString *received = call->received;
  g_string_append_len (received, data, (gssize)(size * count));
  char *start = received->str;
  char *end = memchr (start, '\n', received->len);
  while (end != NULL)
    {
      *end = '\0';
      if (g_str_has_prefix (start, EVENT_DATA_PREFIX))
        {
          parse_event (call, start + strlen (EVENT_DATA_PREFIX));
        }
      start = end + 1;
      size_t left = received->len - (size_t)(start - received->str);
      end = memchr (start, '\n', left);
    }
  g_string_erase (received, 0, start - received->str);
  return size * count;
}

/* Returns how CALL ended.  With status 200, compares the answer with the
   model's.  */
static enum lt_outcome
classify_draft (const struct lt_call *call, CURLcode result)
{
  const struct lt_options *options = call->worker->options;
  long status = lt_call_status (call);
  if (status == 0)
    {
      return result == CURLE_COULDNT_CONNECT ? LT_UNCONNECTED : LT_CUT;
    }
  if (status != 200)
    {
      return LT_REFUSED;
    }
  char *prompt = g_strdup_printf ("user: %s\n", call->prompt);
  GString *expected = g_string_new (NULL);
  md_answer (options->model, options->layers, prompt, call->max_tokens,
             expected);
  enum lt_outcome outcome;
  if (!g_str_has_prefix (expected->str, call->text->str)
      || (call->done && expected->len != call->text->len))
    {
      outcome = LT_WRONG;
    }
  else if (call->done)
    {
      outcome = LT_WHOLE;
    }
  else
    {
      outcome = call->error_kind[0] != '\0' ? LT_FAILED : LT_CUT;
    }
  g_string_free (expected, TRUE);
  g_free (prompt);
  return outcome;
}

/* Counts a draft that ended with OUTCOME at NOW_US.  Latencies count only for
   drafts that were sent after the warm-up and got a token; the latency of the
   account only for whole answers.  */
static void
count_draft (struct lt_call *call, enum lt_outcome outcome, int64_t now_us)
{
  struct lt_worker *worker = call->worker;
  struct lt_stats *stats = worker->stats;
  stats->outcomes[LT_DRAFT][outcome]++;
  lt_stats_count_error (stats, call->error_kind);
  if (outcome == LT_WHOLE)
    {
      stats->goodput_tokens += call->measured_tokens;
    }
  if (call->sent_us < worker->measure_start_us || call->first_token_us == 0)
    {
      return;
    }
  int64_t first_token_us = call->first_token_us - call->sent_us;
  g_array_append_val (stats->first_token_us, first_token_us);
  g_array_append_val (stats->longest_gap_us, call->longest_gap_us);
  if (outcome == LT_WHOLE)
    {
      int64_t latency_us = now_us - call->sent_us;
      g_array_append_val (stats->account_latency_us[call->account],
                          latency_us);
    }
}

/* Finishes a draft: classifies, counts and journals it, and schedules the next
   one of a closed loop.  */
void
lt_finish_draft (struct lt_call *call, CURLcode result)
{
  struct lt_worker *worker = call->worker;
  const struct lt_options *options = worker->options;
  int64_t now_us = clk_monotonic_us ();
  enum lt_outcome outcome = classify_draft (call, result);
  if (outcome == LT_REFUSED)
    {
      lt_call_read_error (call, call->received->str);
    }
  count_draft (call, outcome, now_us);
  jn_write (
      options->journal, "draft",
      ",\"request\":\"%s\",\"caller\":\"%s\",\"account\":\"%s\","
      "\"outcome\":\"%s\",\"status\":%ld,\"kind\":\"%s\",\"tokens\":%u,"
      "\"sent\":%" PRId64 ",\"first_us\":%" PRId64 ",\"longest_us\":%" PRId64,
      call->request_id, options->daemon_urls[call->daemon],
      options->accounts[call->account].name, lt_outcome_name (outcome),
      lt_call_status (call), call->error_kind, call->tokens, call->sent_us,
      call->first_token_us == 0 ? -1 : call->first_token_us - call->sent_us,
      call->longest_gap_us);
  if (call->closed_loop)
    {
      int64_t wait_us = 0;
      if (outcome != LT_WHOLE)
        {
          wait_us = MAX (call->retry_after_us, RETRY_MIN_US);
        }
      lt_schedule (worker, LT_EVENT_NEXT_DRAFT, now_us + wait_us,
                   call->account, NULL);
    }
}
