#include "endpoint/engine.h"
#include "standin/engine.h"
#include "standin/http_server.h"
#include "standin_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TIMEOUT_US INT64_C (5000000)
#define THREADS 2 /* of the server, one for each open connection */
#define CALLS 6

/* Leaves the initial answer: status 200 with an empty body.  */
static void
answer_empty (void *user, const struct hs_request *request,
              struct hs_answer *answer)
{
  (void)user;
  (void)request;
  (void)answer;
}

/* Guards against connections that stay open after a call with new_connection.
   A server for THREADS connections could then answer only THREADS of the
   calls.  */
static void
closes_connection_of_each_call (void **state)
{
  (void)state;
  const struct hs_options options = {
    .connections = THREADS,
    .handler = answer_empty,
  };
  struct hs_server *server = hs_create (&options, NULL);
  char *url = g_strdup_printf ("http://127.0.0.1:%u", hs_port (server));
  struct con_pool *pool = con_pool_create (url);
  const struct con_call call = {
    .method = "GET",
    .path = "/",
    .timeout_us = TIMEOUT_US,
    .new_connection = true,
  };
  for (int i = 0; i < CALLS; i++)
    {
      struct con_answer answer;
      assert_int_equal (con_call_run (pool, &call, &answer), ERR_NONE);
      con_answer_clear (&answer);
    }
  con_pool_destroy (pool);
  hs_destroy (server);
  g_free (url);
}

/* A call that opens a stream, and its result. */
struct stream_call
{
  struct con_pool *pool;
  const char *request;
  enum err_kind error;
};

/* Thread function: runs the first step of a request on the engine.  */
static gpointer
run_step (gpointer data)
{
  struct stream_call *stream_call = data;
  const struct eng_step step = {
    .request = stream_call->request,
    .attempt = 1,
    .model = "draft",
    .end = 4,
    .prompt = "x",
    .timeout_us = TIMEOUT_US,
  };
  struct eng_step_answer answer;
  stream_call->error = eng_step_run (stream_call->pool, &step, &answer);
  eng_step_answer_clear (&answer);
  return NULL;
}

/* Returns true when the engine has swapped the answers of two requests.  It
   can't when the requests don't overlap, as on a busy host.  */
static bool
has_swapped_answers (struct client *client)
{
  GString *answer = g_string_new (NULL);
  client_call (client, "/fault", "{}", answer);
  bool swapped = strstr (answer->str, "\"cross_answers\":0") != NULL;
  g_string_free (answer, TRUE);
  return swapped;
}

/* Guards against accepting the answer to another request.  When the engine
   swaps the answers of two concurrent requests, both calls fail.  */
static void
rejects_both_swapped_answers (void **state)
{
  (void)state;
  const struct fe_options options = {
    .connections = 8,
    .name = "engine",
    .models = { { .name = "draft", .layers = 8 } },
    .model_count = 1,
    .end = 4,
    .layer_tokens_per_s = 1000000,
    .batch = 8,
    .kv_mib = 16,
  };
  struct fe_engine *engine = fe_create (&options, NULL);
  char *url = g_strdup_printf ("http://127.0.0.1:%u", fe_port (engine));
  struct con_pool *pool = con_pool_create (url);
  struct client *client = client_create (fe_port (engine));
  static const struct exchange cross[EXCHANGES_MAX] = {
    { "/fault", "{\"cross_answers\":1}", 200, NULL },
  };
  struct stream_call stream_calls[2] = {
    { .pool = pool, .request = "one" },
    { .pool = pool, .request = "two" },
  };
  client_run (client, "cross", cross);
  do
    {
      GThread *threads[2];
      for (int i = 0; i < 2; i++)
        {
          threads[i] = g_thread_new ("open", run_step, &stream_calls[i]);
        }
      for (int i = 0; i < 2; i++)
        {
          g_thread_join (threads[i]);
        }
    }
  while (!has_swapped_answers (client));
  assert_int_equal (stream_calls[0].error, ERR_ENDPOINT_FAILED);
  assert_int_equal (stream_calls[1].error, ERR_ENDPOINT_FAILED);
  for (int i = 0; i < 2; i++)
    {
      run_step (&stream_calls[i]);
      assert_int_equal (stream_calls[i].error, ERR_NONE);
    }
  client_destroy (client);
  con_pool_destroy (pool);
  fe_destroy (engine);
  g_free (url);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (closes_connection_of_each_call),
    cmocka_unit_test (rejects_both_swapped_answers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
