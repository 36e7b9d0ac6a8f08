/* Tests the HTTP server for callers over real connections, with a backend that
   returns fixed results: statuses, bodies and headers of the responses, and
   input that is not valid HTTP. */
#include "base/clock.h"
#include "caller/caller.h"

#include <arpa/inet.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define BODY_BYTES_MAX 4096
#define AUTHORIZATION "Authorization: Bearer good\r\n"
/* A chat completion request without its closing brace. */
#define CHAT_REQUEST                                                          \
  "{\"model\":\"draft\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]"

static bool
ready (void *user_data)
{
  (void)user_data;
  return true;
}

static bool
authorize (void *user_data, const char *token_sha256,
           struct cal_account *account, struct err_failure *failure)
{
  g_autofree char *good
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "good", -1);
  (void)user_data;
  account->index = 0;
  account->default_deadline_us = 7 * CLK_S_US;
  g_strlcpy (account->name, "clerks", sizeof account->name);
  if (strcmp (good, token_sha256) != 0)
    {
      err_set_failure (failure, ERR_UNAUTHORIZED, NULL);
      return false;
    }
  return true;
}

/* Generates three tokens.  The model `broken' fails after the first token, the
   model `full' before it.  */
static bool
run_draft (void *user_data, const struct cal_account *account,
           const struct cal_request_options *terms,
           const struct cal_draft *draft, cal_on_token on_token,
           void *token_data, struct cal_draft_result *result,
           struct err_failure *failure)
{
  (void)user_data;
  (void)account;
  (void)terms;
  if (strcmp (draft->model, "full") == 0)
    {
      err_set_failure (failure, ERR_NO_CAPACITY, NULL);
      return false;
    }
  on_token ("a ", 0, token_data);
  if (strcmp (draft->model, "broken") == 0)
    {
      err_set_failure (failure, ERR_ENDPOINT_FAILED, NULL);
      return false;
    }
  on_token ("b ", 0, token_data);
  on_token ("c ", 0, token_data);
  result->tokens = 3;
  result->prompt_tokens = 1;
  result->path = g_strdup ("e1,e2");
  return true;
}

static bool
call_service (void *user_data, const struct cal_account *account,
              const struct cal_request_options *terms,
              const struct cal_service_call *call,
              struct cal_service_answer *answer, struct err_failure *failure)
{
  (void)user_data;
  (void)account;
  if (strcmp (call->service, "bookings") != 0)
    {
      err_set_failure (failure, ERR_NOT_FOUND, NULL);
      return false;
    }
  answer->status = 201;
  answer->body = g_string_new (NULL);
  g_string_printf (answer->body, "%s %s %s", call->method, call->path,
                   call->key != NULL ? call->key : "-");
  int64_t left_us = terms->deadline_us - clk_monotonic_us ();
  g_string_append_printf (answer->body, " deadline in %d s",
                          (int)round ((double)left_us / CLK_S_US));
  return true;
}

static bool
lookup_key (void *user_data, const struct cal_account *account,
            const char *key, char **outcome, struct err_failure *failure)
{
  (void)user_data;
  (void)account;
  if (strcmp (key, "known") != 0)
    {
      err_set_failure (failure, ERR_NOT_FOUND, NULL);
      return false;
    }
  *outcome = g_strdup ("{\"ran\":\"yes\"}");
  return true;
}

static bool
list_models (void *user_data, char **models, struct err_failure *failure)
{
  (void)user_data;
  (void)failure;
  *models = g_strdup ("{\"data\":[]}");
  return true;
}

static void
ignore_thread (void *user_data)
{
  (void)user_data;
}

static const struct cal_backend backend = {
  .ready = ready,
  .authorize = authorize,
  .run_draft = run_draft,
  .call_service = call_service,
  .lookup_key = lookup_key,
  .list_models = list_models,
  .thread_begins = ignore_thread,
  .thread_ends = ignore_thread,
};

struct fixture
{
  struct cnt_set *counters;
  struct cal_server *server;
};

static int
set_up (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  fixture->counters = cnt_set_create ();
  struct cal_params params = {
    .address = "127.0.0.1:0",
    .threads = 4,
    .timeout_ms = 500,
    .body_bytes_max = BODY_BYTES_MAX,
    .counters = fixture->counters,
    .backend = &backend,
  };
  fixture->server = cal_server_create (&params, NULL);
  *state = fixture;
  return fixture->server == NULL;
}

static int
tear_down (void **state)
{
  struct fixture *fixture = *state;
  cal_server_destroy (fixture->server);
  cnt_set_destroy (fixture->counters);
  g_free (fixture);
  return 0;
}

/* Sends BYTES on a new connection and returns everything received until the
   server closes the connection or sends nothing for two seconds.  */
static char *
send_and_receive (const struct fixture *fixture, const char *bytes,
                  size_t count)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons (cal_server_port (fixture->server)),
    .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
  };
  const struct timeval timeout = { .tv_sec = 2 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  ssize_t sent = send (fd, bytes, count, MSG_NOSIGNAL);
  (void)sent;
  GString *response = g_string_new (NULL);
  char part[4096];
  ssize_t received = recv (fd, part, sizeof part, 0);
  while (received > 0)
    {
      g_string_append_len (response, part, received);
      received = recv (fd, part, sizeof part, 0);
    }
  close (fd);
  return g_string_free (response, FALSE);
}

struct response_case
{
  const char *name;
  const char *line; /* method and path */
  const char *headers;
  const char *body;
  const char *status;   /* start of the status line after HTTP/1.1 */
  const char *expected; /* a part of the response */
};

static const struct response_case response_cases[] = {
  { "complete chat response", "POST /v1/chat/completions", AUTHORIZATION,
    CHAT_REQUEST "}", "200", "\"content\":\"a b c \"" },
  { "usage", "POST /v1/chat/completions", AUTHORIZATION, CHAT_REQUEST "}",
    "200", "\"total_tokens\":4" },
  { "streamed chat response ends with [DONE]", "POST /v1/chat/completions",
    AUTHORIZATION, CHAT_REQUEST ",\"stream\":true}", "200", "data: [DONE]" },
  { "text completion", "POST /v1/completions", AUTHORIZATION,
    "{\"model\":\"draft\",\"prompt\":\"x\"}", "200", "\"text\":\"a b c \"" },
  { "no capacity sends Retry-After", "POST /v1/completions", AUTHORIZATION,
    "{\"model\":\"full\",\"prompt\":\"x\"}", "503", "Retry-After: 2" },
  { "no capacity reports that the request did not run", "POST /v1/completions",
    AUTHORIZATION, "{\"model\":\"full\",\"prompt\":\"x\"}", "503",
    "\"ran\":\"no\"" },
  { "no token", "POST /v1/completions", "", "{}", "401", "unauthorized" },
  { "wrong token", "POST /v1/completions", "Authorization: Bearer bad\r\n",
    "{}", "401", "unauthorized" },
  { "not JSON", "POST /v1/completions", AUTHORIZATION, "{", "400",
    "bad_request" },
  { "duplicate member of a JSON object", "POST /v1/completions", AUTHORIZATION,
    "{\"model\":\"a\",\"model\":\"b\",\"prompt\":\"\"}", "400",
    "bad_request" },
  { "no model", "POST /v1/completions", AUTHORIZATION, "{\"prompt\":\"x\"}",
    "400", "model:" },
  { "empty model", "POST /v1/chat/completions", AUTHORIZATION,
    "{\"model\":\"\",\"messages\":[]}", "400", "model:" },
  { "no messages", "POST /v1/chat/completions", AUTHORIZATION,
    "{\"model\":\"draft\",\"messages\":[]}", "400", "messages:" },
  { "max_tokens below one", "POST /v1/completions", AUTHORIZATION,
    "{\"model\":\"draft\",\"prompt\":\"x\",\"max_tokens\":0}", "400",
    "max_tokens:" },
  { "bad deadline", "POST /v1/completions",
    AUTHORIZATION "X-Deadline-Ms: soon\r\n", "{}", "400", "X-Deadline-Ms" },
  { "bad priority", "POST /v1/completions", AUTHORIZATION "X-Priority: 9\r\n",
    "{}", "400", "X-Priority" },
  { "unknown path", "GET /v2/nothing", AUTHORIZATION, "", "404", "not_found" },
  { "unknown service", "GET /v1/services/none/x", AUTHORIZATION, "", "404",
    "not_found" },
  { "service call forwards path, query and key",
    "POST /v1/services/bookings/book?a=1",
    AUTHORIZATION "Idempotency-Key: k1\r\n", "{}", "201",
    "POST /book?a=1 k1" },
  { "deadline of the account", "GET /v1/services/bookings/x", AUTHORIZATION,
    "", "201", "deadline in 7 s" },
  { "deadline of the request", "GET /v1/services/bookings/x",
    AUTHORIZATION "X-Deadline-Ms: 3000\r\n", "", "201", "deadline in 3 s" },
  { "key that is unknown or of another account", "GET /v1/requests/other",
    AUTHORIZATION, "", "404", "not_found" },
  { "known key", "GET /v1/requests/known", AUTHORIZATION, "", "200",
    "\"ran\":\"yes\"" },
  { "/healthz requires no token", "GET /healthz", "", "", "200", "ok" },
  { "/readyz requires no token", "GET /readyz", "", "", "200", "ready" },
};

static void
responds_as_specified (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (response_cases); i++)
    {
      const struct response_case *row = &response_cases[i];
      g_autofree char *request = g_strdup_printf (
          "%s HTTP/1.1\r\nHost: x\r\n%sConnection: close\r\n"
          "Content-Length: %zu\r\n\r\n%s",
          row->line, row->headers, strlen (row->body), row->body);
      g_autofree char *response
          = send_and_receive (*state, request, strlen (request));
      g_autofree char *status = g_strdup_printf ("HTTP/1.1 %s", row->status);
      if (!g_str_has_prefix (response, status)
          || strstr (response, row->expected) == NULL)
        {
          fail_msg ("%s: got %s", row->name, response);
        }
    }
}

/* A stream that fails after its first token ends with an error event and
   without [DONE], so that the caller detects that the text is incomplete.  */
static void
failed_stream_ends_without_done (void **state)
{
  static const char body[]
      = "{\"model\":\"broken\",\"prompt\":\"x\",\"stream\":true}";
  g_autofree char *request = g_strdup_printf (
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" AUTHORIZATION
      "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
      sizeof body - 1, body);
  g_autofree char *response
      = send_and_receive (*state, request, strlen (request));
  assert_non_null (strstr (response, "\"text\":\"a \""));
  assert_non_null (strstr (response, "endpoint_failed"));
  assert_null (strstr (response, "[DONE]"));
}

/* Input that is not a valid request: `start', then `filler_bytes' times
   `filler'. */
struct invalid_case
{
  const char *name;
  const char *start;
  char filler;
  size_t filler_bytes;
};

static const struct invalid_case invalid_cases[] = {
  { "binary", "\x16\x03\x01\x02", '\xff', 200 },
  { "endless request line", "GET /", 'a', 40000 },
  { "endless header", "GET / HTTP/1.1\r\nX: ", 'a', 40000 },
  { "body above the limit",
    "POST /v1/completions HTTP/1.1\r\n" AUTHORIZATION
    "Content-Length: 9999\r\n\r\n",
    'a', 9999 },
  { "incomplete body",
    "POST /v1/completions HTTP/1.1\r\n" AUTHORIZATION
    "Content-Length: 50\r\n\r\n",
    'a', 3 },
  { "negative length",
    "POST /v1/completions HTTP/1.1\r\n" AUTHORIZATION
    "Content-Length: -5\r\n\r\n",
    'a', 3 },
  { "no bytes", "", 'a', 0 },
};

/* Invalid input gets an error or a closed connection, and the next request
   succeeds.  */
static void
survives_invalid_input (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_cases); i++)
    {
      const struct invalid_case *row = &invalid_cases[i];
      GString *bytes = g_string_new (row->start);
      for (size_t j = 0; j < row->filler_bytes; j++)
        {
          g_string_append_c (bytes, row->filler);
        }
      g_autofree char *response
          = send_and_receive (*state, bytes->str, bytes->len);
      if (g_str_has_prefix (response, "HTTP/1.1 2"))
        {
          fail_msg ("%s: got %s", row->name, response);
        }
      static const char health[]
          = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      g_autofree char *after
          = send_and_receive (*state, health, sizeof health - 1);
      assert_true (g_str_has_prefix (after, "HTTP/1.1 200"));
      g_string_free (bytes, TRUE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (responds_as_specified),
    cmocka_unit_test (failed_stream_ends_without_done),
    cmocka_unit_test (survives_invalid_input),
  };
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
