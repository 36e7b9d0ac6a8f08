#include "standin/engine.h"
#include "standin/model.h"
#include "standin_client.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include <cmocka.h>

#define LAYERS 8
#define SPLIT_LAYER 4 /* first layer of the second engine */
#define ANSWER_TOKENS 12
#define BLOCK_BYTES 256 /* of a prompt, for one block of the prefix cache */

#define STEP_PATH "/v1/step"
#define ORDER_PATH "/v1/orders"
#define RANGE "\"model\":\"draft\",\"first\":0,\"end\":4"
#define OPEN(attempt)                                                         \
  "{\"request\":\"r\",\"attempt\":" attempt ",\"step\":0," RANGE              \
  ",\"prompt\":\"screens\"}"
#define NEXT(attempt, step)                                                   \
  "{\"request\":\"r\",\"attempt\":" attempt ",\"step\":" step "," RANGE       \
  ",\"token\":7}"
#define REFUSED "\"kind\":\"endpoint_refused\""
#define OUT_OF_ORDER "\"kind\":\"out_of_order\""

/* Starts an engine that has loaded the layers from FIRST to END, excluded.  */
static struct fe_engine *
start_engine (uint32_t first, uint32_t end, bool fencing_checked)
{
  const struct fe_options options = {
    .connections = 8,
    .name = "engine",
    .models = { { .name = "draft", .layers = LAYERS } },
    .model_count = 1,
    .first = first,
    .end = end,
    .layer_tokens_per_s = 10000000,
    .step_overhead_us = 100,
    .batch = 8,
    .fencing_checked = fencing_checked,
    .kv_mib = 1,
    .layer_load_ms = 1,
    .cache_blocks = 4,
  };
  GError *error = NULL;
  struct fe_engine *engine = fe_create (&options, &error);
  assert_non_null (engine);
  return engine;
}

/* The exchanges with one engine, in order. */
struct engine_case
{
  const char *name;
  bool fencing_ignored;
  struct exchange exchanges[EXCHANGES_MAX];
};

static const struct engine_case engine_cases[] = {
  { .name = "steps in order",
    .exchanges
    = { { STEP_PATH, OPEN ("1"), 200,
          "\"step\":0,\"first\":0,\"activation\":" },
        { STEP_PATH, NEXT ("1", "1"), 200,
          "{\"request\":\"r\",\"attempt\":1,\"step\":1," },
        { STEP_PATH, NEXT ("1", "2"), 200, "\"load\":{\"running\":" } } },
  { .name = "a skipped step and an old step are out of order",
    .exchanges = { { STEP_PATH, OPEN ("1"), 200, NULL },
                   { STEP_PATH, NEXT ("1", "2"), 409, "\"expected\":1" },
                   { STEP_PATH, NEXT ("1", "1"), 200, NULL },
                   { STEP_PATH, OPEN ("1"), 409, OUT_OF_ORDER } } },
  { .name = "a later step of an unknown stream",
    .exchanges
    = { { STEP_PATH, NEXT ("1", "3"), 404, "\"kind\":\"not_found\"" } } },
  { .name = "a lower attempt is out of order",
    .exchanges = { { STEP_PATH, OPEN ("2"), 200, NULL },
                   { STEP_PATH, OPEN ("1"), 409, OUT_OF_ORDER },
                   { STEP_PATH, NEXT ("1", "1"), 409, OUT_OF_ORDER },
                   { STEP_PATH, NEXT ("2", "1"), 200, NULL },
                   { STEP_PATH, OPEN ("3"), 200, NULL },
                   { STEP_PATH, NEXT ("2", "2"), 409, OUT_OF_ORDER },
                   { STEP_PATH, NEXT ("3", "1"), 200, NULL } } },
  { .name = "cancel drops the stream and rejects later steps",
    .exchanges
    = { { STEP_PATH, OPEN ("1"), 200, NULL },
        { "/v1/cancel", "{\"request\":\"r\",\"attempt\":1}", 200, NULL },
        { STEP_PATH, NEXT ("1", "1"), 404, NULL },
        { STEP_PATH, OPEN ("1"), 404, NULL },
        { STEP_PATH, OPEN ("2"), 200, NULL },
        { "/v1/cancel", "{\"request\":\"other\",\"attempt\":1}", 200,
          NULL } } },
  { .name = "malformed requests",
    .exchanges
    = { { STEP_PATH, "{", 400, "\"kind\":\"bad_request\"" },
        { STEP_PATH, "{\"attempt\":1,\"step\":0," RANGE "}", 400, NULL },
        { STEP_PATH,
          "{\"request\":\"a/b\",\"attempt\":1,\"step\":0," RANGE "}", 400,
          NULL },
        { STEP_PATH, "{\"request\":\"r\",\"attempt\":1,\"step\":0," RANGE "}",
          400, NULL },
        { STEP_PATH,
          "{\"request\":\"r\",\"attempt\":1,\"step\":0,\"model\":\"draft\","
          "\"first\":4,\"end\":9,\"activation\":\"0123456789abcdef\"}",
          400, NULL },
        { STEP_PATH,
          "{\"request\":\"r\",\"attempt\":1,\"step\":0,\"model\":\"draft\","
          "\"first\":4,\"end\":8,\"activation\":\"0123\"}",
          400, NULL },
        { "/v1/none", "{}", 404, NULL } } },
  { .name = "a range that is not loaded",
    .exchanges
    = { { STEP_PATH,
          "{\"request\":\"r\",\"attempt\":1,\"step\":0,\"model\":\"draft\","
          "\"first\":4,\"end\":8,\"activation\":\"0123456789abcdef\"}",
          503, REFUSED },
        { STEP_PATH,
          "{\"request\":\"r\",\"attempt\":1,\"step\":0,\"model\":\"other\","
          "\"first\":0,\"end\":4,\"prompt\":\"x\"}",
          503, REFUSED } } },
  { .name = "a leaving host rejects new streams and continues open ones",
    .exchanges = { { STEP_PATH, OPEN ("1"), 200, NULL },
                   { "/fault", "{\"leaving\":true}", 200, NULL },
                   { STEP_PATH, NEXT ("1", "1"), 200, "\"leaving\":true" },
                   { STEP_PATH, OPEN ("2"), 503, REFUSED },
                   { "/fault", "{\"leaving\":false}", 200, NULL },
                   { STEP_PATH, OPEN ("3"), 200, "\"leaving\":false" } } },
  { .name = "the fault refuse rejects every step",
    .exchanges = { { STEP_PATH, OPEN ("1"), 200, NULL },
                   { "/fault", "{\"refuse\":true}", 200, NULL },
                   { STEP_PATH, NEXT ("1", "1"), 503, REFUSED },
                   { "/fault", "{\"refuse\":false}", 200, NULL },
                   { STEP_PATH, NEXT ("1", "1"), 200, NULL } } },
  { .name = "open connections become silent, new ones work",
    .exchanges = { { STEP_PATH, OPEN ("1"), 200, NULL },
                   { "/fault", "{\"silent_connections\":true}", 200, NULL },
                   { STEP_PATH, NEXT ("1", "1"), STATUS_SILENT, NULL },
                   { STEP_PATH, NEXT ("1", "1"), 200,
                     "{\"request\":\"r\",\"attempt\":1,\"step\":1," } } },
  { .name = "the repeat of a step with a late answer is answered at once",
    .exchanges
    = { { "/fault", "{\"late_answers\":1,\"late_ms\":1000}", 200, NULL },
        { STEP_PATH, OPEN ("1"), STATUS_SILENT, NULL },
        { STEP_PATH, OPEN ("1"), 200, "\"step\":0," } } },
  { .name = "a prompt that exceeds the KV memory",
    .exchanges
    = { { STEP_PATH,
          "{\"request\":\"r\",\"attempt\":1,\"step\":0," RANGE ",\"prompt\":"
          "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
          "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
          "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
          "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
          "0123456789abcdef\"}",
          503, "\"kind\":\"no_capacity\"" },
        { STEP_PATH, OPEN ("2"), 200, NULL } } },
  { .name = "fencing numbers of orders, checked",
    .exchanges
    = { { ORDER_PATH, "{\"order\":\"load\"," RANGE ",\"fence\":5}", 200,
          NULL },
        { ORDER_PATH, "{\"order\":\"unload\"," RANGE ",\"fence\":4}", 409,
          "\"fence\":5" },
        { STEP_PATH, OPEN ("1"), 200, NULL },
        { ORDER_PATH, "{\"order\":\"unload\"," RANGE ",\"fence\":5}", 200,
          NULL },
        { STEP_PATH, NEXT ("1", "1"), 200, NULL },
        { STEP_PATH, OPEN ("2"), 503, REFUSED },
        { ORDER_PATH, "{\"order\":\"dance\"," RANGE ",\"fence\":6}", 400,
          NULL },
        { ORDER_PATH, "{\"order\":\"load\"," RANGE "}", 400, NULL } } },
  { .name = "fencing numbers of orders, ignored",
    .fencing_ignored = true,
    .exchanges
    = { { ORDER_PATH, "{\"order\":\"load\"," RANGE ",\"fence\":5}", 200,
          NULL },
        { ORDER_PATH, "{\"order\":\"unload\"," RANGE ",\"fence\":4}", 200,
          NULL },
        { STEP_PATH, OPEN ("1"), 503, REFUSED } } },
};

/* The engine answers each exchange with the expected status and text.  */
static void
engine_answers_each_exchange (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (engine_cases); i++)
    {
      const struct engine_case *entry = &engine_cases[i];
      struct fe_engine *engine
          = start_engine (0, SPLIT_LAYER, !entry->fencing_ignored);
      struct client *client = client_create (fe_port (engine));
      client_run (client, entry->name, entry->exchanges);
      client_destroy (client);
      fe_destroy (engine);
    }
}

/* Returns a copy of the value of member NAME in ANSWER, a flat JSON
   object.  */
static char *
copy_member (const GString *answer, const char *name)
{
  char *start = g_strdup_printf ("\"%s\":", name);
  const char *at = strstr (answer->str, start);
  assert_non_null (at);
  at += strlen (start);
  at += *at == '"' ? 1 : 0;
  char *value = g_strndup (at, strcspn (at, "\","));
  g_free (start);
  return value;
}

/* Runs step STEP through the engines of CLIENTS, on the last range twice.
   INPUT has the JSON members of the input to the first range.  Appends the
   text of the token to OUT and returns the token.  */
static int
run_chain (struct client *const clients[2], int attempt, int step,
           const char *input, GString *out)
{
  GString *answer = g_string_new (NULL);
  char *first = g_strdup_printf (
      "{\"request\":\"r\",\"attempt\":%d,\"step\":%d," RANGE ",%s}", attempt,
      step, input);
  assert_int_equal (client_call (clients[0], STEP_PATH, first, answer), 200);
  char *activation = copy_member (answer, "activation");
  char *second = g_strdup_printf (
      "{\"request\":\"r\",\"attempt\":%d,\"step\":%d,\"model\":\"draft\","
      "\"first\":4,\"end\":8,\"activation\":\"%s\"}",
      attempt, step, activation);
  assert_int_equal (client_call (clients[1], STEP_PATH, second, answer), 200);
  char *before = g_strdup (answer->str);
  assert_int_equal (client_call (clients[1], STEP_PATH, second, answer), 200);
  char *token = copy_member (answer, "token");
  char *text = copy_member (answer, "text");
  assert_memory_equal (before, answer->str, strcspn (before, "l"));
  g_string_append (out, text);
  int number = atoi (token);
  g_free (text);
  g_free (token);
  g_free (before);
  g_free (second);
  g_free (activation);
  g_free (first);
  g_string_free (answer, TRUE);
  return number;
}

/* Two engines in a chain compute the same answer as the model function, also
   when a new attempt replays the stream half way.  Every step on the last
   range is requested twice, runs once and gives the same output both
   times.  */
static void
two_engines_compute_the_model_answer (void **state)
{
  (void)state;
  struct fe_engine *engines[2] = {
    start_engine (0, SPLIT_LAYER, true),
    start_engine (SPLIT_LAYER, LAYERS, true),
  };
  struct client *clients[2] = {
    client_create (fe_port (engines[0])),
    client_create (fe_port (engines[1])),
  };
  GString *expected = g_string_new (NULL);
  GString *answer_text = g_string_new (NULL);
  GString *tokens = g_string_new (NULL);
  uint32_t count
      = md_answer ("draft", LAYERS, "two crews", ANSWER_TOKENS, expected);
  assert_int_equal (count, ANSWER_TOKENS);
  for (int i = 0; i < ANSWER_TOKENS; i++)
    {
      bool second = i >= ANSWER_TOKENS / 2;
      int step = second ? i - ANSWER_TOKENS / 2 : i;
      char *input;
      if (step == 0)
        {
          input = g_strdup_printf ("\"prompt\":\"two crews\",\"tokens\":[%s]",
                                   tokens->str);
        }
      else
        {
          input = g_strdup_printf ("\"token\":%s",
                                   strrchr (tokens->str, ' ') + 1);
        }
      int token
          = run_chain (clients, second ? 2 : 1, step, input, answer_text);
      g_string_append_printf (tokens, "%s %d", tokens->len == 0 ? "" : ",",
                              token);
      g_free (input);
    }
  assert_string_equal (answer_text->str, expected->str);
  g_string_free (tokens, TRUE);
  g_string_free (answer_text, TRUE);
  g_string_free (expected, TRUE);
  for (int i = 0; i < 2; i++)
    {
      client_destroy (clients[i]);
      fe_destroy (engines[i]);
    }
}

/* A stream that is imported to another engine from its exported KV state
   computes the same activation as at the first engine.  */
static void
stream_resumes_from_exported_kv (void **state)
{
  (void)state;
  struct fe_engine *engines[2] = {
    start_engine (0, SPLIT_LAYER, true),
    start_engine (0, SPLIT_LAYER, true),
  };
  struct client *clients[2] = {
    client_create (fe_port (engines[0])),
    client_create (fe_port (engines[1])),
  };
  GString *answers[2] = { g_string_new (NULL), g_string_new (NULL) };
  static const char export[]
      = "{\"request\":\"r\",\"attempt\":1,\"first\":0,\"end\":4}";
  client_call (clients[0], STEP_PATH, OPEN ("1"), answers[0]);
  assert_int_equal (
      client_call (clients[0], "/v1/kv/export", export, answers[0]), 200);
  char *kv = copy_member (answers[0], "kv");
  char *import = g_strdup_printf ("{\"request\":\"r\",\"attempt\":1," RANGE
                                  ",\"step\":0,\"kv\":\"%s\"}",
                                  kv);
  assert_int_equal (
      client_call (clients[1], "/v1/kv/import", import, answers[1]), 200);
  assert_int_equal (
      client_call (clients[1], "/v1/kv/import", import, answers[1]), 409);
  for (int i = 0; i < 2; i++)
    {
      assert_int_equal (
          client_call (clients[i], STEP_PATH, NEXT ("1", "1"), answers[i]),
          200);
    }
  char *moved = copy_member (answers[1], "activation");
  char *stayed = copy_member (answers[0], "activation");
  assert_string_equal (moved, stayed);
  g_free (stayed);
  g_free (moved);
  g_free (import);
  g_free (kv);
  for (int i = 0; i < 2; i++)
    {
      g_string_free (answers[i], TRUE);
      client_destroy (clients[i]);
      fe_destroy (engines[i]);
    }
}

/* A stream to open, and the answer. */
struct opening
{
  uint16_t port;
  const char *request;
  GString *answer;
};

/* The thread that opens the stream DATA, a struct opening.  */
static gpointer
open_stream (gpointer data)
{
  struct opening *opening = data;
  struct client *client = client_create (opening->port);
  char *body = g_strdup_printf ("{\"request\":\"%s\",\"attempt\":1,"
                                "\"step\":0," RANGE ",\"prompt\":\"x\"}",
                                opening->request);
  client_call (client, STEP_PATH, body, opening->answer);
  g_free (body);
  client_destroy (client);
  return NULL;
}

/* With the fault cross_answers each of two calls gets the answer to the other,
   which names the other request.  */
static void
swapped_answers_name_their_request (void **state)
{
  (void)state;
  struct fe_engine *engine = start_engine (0, SPLIT_LAYER, true);
  struct client *client = client_create (fe_port (engine));
  struct opening openings[2] = {
    { .request = "one", .answer = g_string_new (NULL) },
    { .request = "two", .answer = g_string_new (NULL) },
  };
  static const struct exchange swap_fault[EXCHANGES_MAX] = {
    { "/fault", "{\"cross_answers\":1}", 200, NULL },
  };
  static const struct exchange cancels[EXCHANGES_MAX] = {
    { "/v1/cancel", "{\"request\":\"one\",\"attempt\":1}", 200, NULL },
    { "/v1/cancel", "{\"request\":\"two\",\"attempt\":1}", 200, NULL },
  };
  bool swapped = false;
  while (!swapped)
    {
      GThread *threads[2];
      client_run (client, "cross", swap_fault);
      for (int i = 0; i < 2; i++)
        {
          openings[i].port = fe_port (engine);
          threads[i] = g_thread_new ("open", open_stream, &openings[i]);
        }
      for (int i = 0; i < 2; i++)
        {
          g_thread_join (threads[i]);
        }
      swapped = strstr (openings[0].answer->str, "\"two\"") != NULL;
      assert_int_equal (strstr (openings[1].answer->str, "\"one\"") != NULL,
                        swapped);
    }
  client_run (client, "cancel", cancels);
  g_string_free (openings[0].answer, TRUE);
  g_string_free (openings[1].answer, TRUE);
  client_destroy (client);
  fe_destroy (engine);
}

/* Requests PATH until the answer contains PART.  Without such an answer the
   time limit of the test ends the wait.  */
static void
poll_until (struct client *client, const char *path, const char *part)
{
  GString *answer = g_string_new (NULL);
  do
    {
      g_usleep (1000);
      assert_int_equal (client_call (client, path, NULL, answer), 200);
    }
  while (strstr (answer->str, part) == NULL);
  g_string_free (answer, TRUE);
}

/* After a role order the range is loaded and accepts streams.  */
static void
load_order_takes_effect (void **state)
{
  (void)state;
  struct fe_engine *engine = start_engine (0, 0, true);
  struct client *client = client_create (fe_port (engine));
  static const struct exchange before[EXCHANGES_MAX] = {
    { STEP_PATH, OPEN ("1"), 503, REFUSED },
    { ORDER_PATH, "{\"order\":\"role\"," RANGE ",\"fence\":9}", 200, NULL },
  };
  static const struct exchange after[EXCHANGES_MAX] = {
    { "/v1/load", NULL, 200, "\"fence\":9" },
    { STEP_PATH, OPEN ("1"), 200, NULL },
  };
  client_run (client, "before", before);
  poll_until (client, "/v1/load", "\"ranges\":[{\"model\":\"draft\"");
  client_run (client, "after", after);
  client_destroy (client);
  fe_destroy (engine);
}

/* Opens a stream whose prompt fills one cache block with LETTER.  Returns the
   prefix hash of the block.  */
static uint64_t
open_block_stream (struct client *client, int attempt, char letter)
{
  GString *answer = g_string_new (NULL);
  char *prompt = g_strnfill (BLOCK_BYTES, letter);
  char *body = g_strdup_printf ("{\"request\":\"r\",\"attempt\":%d,"
                                "\"step\":0," RANGE ",\"prompt\":\"%s\"}",
                                attempt, prompt);
  assert_int_equal (client_call (client, STEP_PATH, body, answer), 200);
  uint64_t prefix
      = XXH64 (prompt, BLOCK_BYTES, XXH64 ("draft", strlen ("draft"), 0));
  g_free (body);
  g_free (prompt);
  g_string_free (answer, TRUE);
  return prefix;
}

/* A block that is used again is not stored again, a full cache evicts the
   least recently used block, and each event names the prefix hash of its
   block.  */
static void
cache_events_name_prefixes (void **state)
{
  (void)state;
  static const char letters[] = "abacdeb";
  static const struct
  {
    const char *op;
    char letter;
  } events[] = {
    { "stored", 'a' }, { "stored", 'b' },  { "stored", 'c' },
    { "stored", 'd' }, { "stored", 'e' },  { "evicted", 'b' },
    { "stored", 'b' }, { "evicted", 'a' },
  };
  struct fe_engine *engine = start_engine (0, SPLIT_LAYER, true);
  struct client *client = client_create (fe_port (engine));
  uint64_t prefixes[128];
  for (int i = 0; letters[i] != '\0'; i++)
    {
      prefixes[(unsigned char)letters[i]]
          = open_block_stream (client, i, letters[i]);
    }
  GString *expected = g_string_new ("{\"first\":0,\"next\":8,\"events\":[");
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    {
      g_string_append_printf (
          expected,
          "%s{\"seq\":%zu,\"op\":\"%s\",\"prefix\":\"%016" PRIx64 "\"}",
          i == 0 ? "" : ",", i, events[i].op,
          prefixes[(unsigned char)events[i].letter]);
    }
  g_string_append (expected, "]}");
  GString *answer = g_string_new (NULL);
  client_call (client, "/v1/cache-events?from=0", NULL, answer);
  assert_string_equal (answer->str, expected->str);
  g_string_free (answer, TRUE);
  g_string_free (expected, TRUE);
  client_destroy (client);
  fe_destroy (engine);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (engine_answers_each_exchange),
    cmocka_unit_test (two_engines_compute_the_model_answer),
    cmocka_unit_test (stream_resumes_from_exported_kv),
    cmocka_unit_test (swapped_answers_name_their_request),
    cmocka_unit_test (load_order_takes_effect),
    cmocka_unit_test (cache_events_name_prefixes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
