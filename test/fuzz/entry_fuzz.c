/* Fuzzes what an entry daemon does with requests: its traffic thread runs in
   this process, with a configuration and an endpoint of its own.  The first
   byte selects the state of the daemon, the second one how the endpoint
   answers; the others are those of a caller.  Each answer must be whole, and
   bear no id but one that the caller has sent; the endpoint must get no
   request that the caller hasn't sent, and none that is refused in the state.
 */
#include "fuzz_daemon.h"

/* Turns of the loop that an input may take.  Requests that wait for something
   are given up when the caller closes. */
#define TURNS_MAX 400

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

/* `none' has no endpoint. */
static const char configuration[]
    = "{\"Version\":1,\"Routes\":["
      "{\"Name\":\"look\",\"Hostname\":\"a\",\"PathPrefix\":\"/a/\","
      "\"Kind\":\"idempotent\",\"TimeoutMs\":2000,\"Service\":\"one\","
      "\"MaxAttempts\":2},"
      "{\"Name\":\"book\",\"Hostname\":\"a\",\"PathPrefix\":\"/b/\","
      "\"Kind\":\"non_idempotent\",\"TimeoutMs\":2000,\"Service\":\"one\","
      "\"MaxAttempts\":1,\"Public\":true},"
      "{\"Name\":\"lost\",\"Hostname\":\"a\",\"PathPrefix\":\"/c/\","
      "\"Kind\":\"idempotent\",\"TimeoutMs\":2000,\"Service\":\"none\","
      "\"MaxAttempts\":1,\"Public\":true}],"
      "\"Services\":[{\"Name\":\"one\"},{\"Name\":\"none\"}],"
      "\"Limits\":{\"MaxHeaderBytes\":4096,\"MaxBodyBytes\":4096,"
      "\"HeaderTimeoutMs\":100000,\"IdleTimeoutMs\":100000},"
      "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"k\"]}]}";

/* States of the daemon.  The first one can't be entered again. */
enum daemon_state
{
  STATE_CURRENT,  /* the configuration is known to be the newest */
  STATE_KEYS_OLD, /* it may have lost keys */
  STATE_STOPPING,
  STATE_COUNT
};

/* How the endpoint answers. */
enum answer
{
  ANSWER_SERVES,
  ANSWER_REFUSES,
  ANSWER_WITHOUT_ID,
  ANSWER_FAILS,
  ANSWER_CLOSES,
  ANSWER_COUNT
};

static struct
{
  struct fz_daemon daemon;
  struct nsv_server *endpoint;
  enum daemon_state state;
  enum answer answer;
  const char *sent; /* by the caller of this input; line feeds stand for null
                       characters */
} fuzz;

/* Returns whether the caller has sent TEXT.  The parser joins folded lines. */
static bool
was_sent (const char *text)
{
  return strchr (text, ' ') != NULL || strstr (fuzz.sent, text) != NULL;
}

static void
on_endpoint_request (void *context, struct nsv_connection *connection,
                     const struct msg_message *request, const char *method)
{
  static const struct
  {
    uint32_t status;
    const char *headers;
  } answers[ANSWER_COUNT] = {
    [ANSWER_SERVES] = { 200, PFH_SIGNATURE ": 1\r\n" },
    [ANSWER_REFUSES] = { 503, PFH_NOT_EXECUTED ": 1\r\n" },
    [ANSWER_WITHOUT_ID] = { 200, PFH_SIGNATURE ": 1\r\n" },
    [ANSWER_FAILS] = { 500, PFH_SIGNATURE ": 1\r\n" },
  };
  const char *id = msg_find (request, PFH_REQUEST_ID);
  const char *account = msg_find (request, PFH_ACCOUNT);
  (void)context;
  if (id == NULL || !was_sent (id) || !was_sent (request->url->str + 1)
      || !was_sent (method))
    {
      fz_fail ("the endpoint got a request that nobody has sent");
    }
  if (msg_find (request, PFH_API_KEY) != NULL
      || (account != NULL && strcmp (account, "t") != 0)
      || (account != NULL && fuzz.state == STATE_KEYS_OLD))
    {
      fz_fail ("the endpoint got a key, or a request with an old one");
    }
  if (fuzz.answer == ANSWER_CLOSES)
    {
      nsv_abort (connection);
      return;
    }
  g_autofree char *headers
      = fuzz.answer == ANSWER_WITHOUT_ID
            ? g_strdup (answers[fuzz.answer].headers)
            : g_strdup_printf (PFH_REQUEST_ID ": %s\r\n%s", id,
                               answers[fuzz.answer].headers);
  nsv_respond (connection, answers[fuzz.answer].status, headers, "bbbb", 4);
}

static void
ignore_event (void *context)
{
  (void)context;
}

static const struct nsv_events endpoint_events = {
  .request = on_endpoint_request,
  .disconnected = ignore_event,
  .drained = ignore_event,
};

static void
set_up (void)
{
  const struct nsv_limits limits = {
    .header_bytes_max = 65536,
    .body_bytes_max = 65536,
    .header_timeout_us = FZ_FAR_US,
    .idle_timeout_us = FZ_FAR_US,
    .unsent_bytes_max = 65536,
    .user_timeout_ms = 1000,
    .connections_max = 64,
  };
  fz_start_daemon (&fuzz.daemon);
  fuzz.endpoint = nsv_create (&fuzz.daemon.loop, "127.0.0.1:0", &limits,
                              &endpoint_events, NULL, NULL);
  g_autofree char *address = nsv_address (fuzz.endpoint);
  fz_configure (&fuzz.daemon, configuration, &address, 1, 1);
}

/* Brings the daemon into STATE.  */
static void
enter_state (enum daemon_state state)
{
  fuzz.state = state;
  fuzz.daemon.traffic->freshness.revoke_us
      = state == STATE_KEYS_OLD ? 0 : FZ_FAR_US;
  fuzz.daemon.traffic->freshness.change_us = 0;
  fuzz.daemon.traffic->stopping_us
      = state == STATE_STOPPING ? clk_monotonic_us () : 0;
}

/* Returns what follows the header lines at TEXT, or NULL if one of them isn't
   whole or has an id that the caller hasn't sent.  Sets LENGTH to the length
   that they state, -1 if they state none.  */
static const char *
skip_headers (const char *text, int64_t *length)
{
  static const char id_name[] = PFH_REQUEST_ID ": ";
  *length = -1;
  while (!g_str_has_prefix (text, "\r\n"))
    {
      const char *end = strstr (text, "\r\n");
      g_autofree char *line
          = end == NULL ? NULL : g_strndup (text, (gsize)(end - text));
      if (line == NULL || strstr (line, ":") == NULL
          || strpbrk (line, "\r\n") != NULL
          || (g_str_has_prefix (line, id_name)
              && !was_sent (line + strlen (id_name))))
        {
          return NULL;
        }
      if (g_str_has_prefix (line, "Content-Length: "))
        {
          *length
              = g_ascii_strtoll (line + strlen ("Content-Length: "), NULL, 10);
        }
      text = end + 2;
    }
  return text + 2;
}

/* Checks that ANSWER consists of whole responses.  One without a length ends
   with its connection, or is one to HEAD.  */
static void
check_answer (const char *answer)
{
  bool heads = strstr (fuzz.sent, "HEAD") != NULL;
  while (*answer != '\0')
    {
      int64_t length = 0;
      const char *line_end = strstr (answer, "\r\n");
      const char *body
          = line_end == NULL || !g_str_has_prefix (answer, "HTTP/1.1 ")
                ? NULL
                : skip_headers (line_end + 2, &length);
      bool has_end = length >= 0 || heads || body == NULL || *body == '\0'
                     || g_str_has_prefix (answer, "HTTP/1.1 100 ");
      if (body == NULL || !has_end)
        {
          fprintf (stderr, "%s\n", answer);
          fz_fail ("the daemon sent something that is no whole answer");
        }
      /* A response to HEAD has no body. */
      answer = length > 0 && strspn (body, "b") >= (size_t)length
                   ? body + length
                   : body;
    }
}

/* Lets the daemon run for a turn, and longer while requests are handled.
   Returns false when the connection of CALLER has ended.  */
static bool
run (int caller, GString *answer, bool until_closed)
{
  bool open = true;
  uint32_t turn = 0;
  do
    {
      uv_run (&fuzz.daemon.loop, UV_RUN_NOWAIT);
      open = fz_receive (caller, answer);
      turn++;
    }
  while (open && turn < TURNS_MAX
         && (until_closed
             || g_hash_table_size (fuzz.daemon.traffic->exchanges) > 0));
  return open;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (fuzz.daemon.traffic == NULL)
    {
      set_up ();
    }
  if (bytes < 3)
    {
      return 0;
    }
  enter_state ((enum daemon_state) (data[0] % STATE_COUNT));
  fuzz.answer = (enum answer) (data[1] % ANSWER_COUNT);
  data += 2;
  bytes -= 2;
  GString *sent = g_string_new_len ((const char *)data, (gssize)bytes);
  for (gsize i = 0; i < sent->len; i++)
    {
      sent->str[i] = sent->str[i] == '\0' ? '\n' : sent->str[i];
    }
  fuzz.sent = sent->str;
  GString *answer = g_string_new (NULL);
  int caller = fz_connect (&fuzz.daemon);
  if (caller < 0)
    {
      g_string_free (sent, TRUE);
      g_string_free (answer, TRUE);
      return 0;
    }
  send (caller, data, bytes, MSG_NOSIGNAL);
  bool open = run (caller, answer, false);
  open = open && run (caller, answer, false); /* once it has been read */
  shutdown (caller, SHUT_WR);
  if (open)
    {
      run (caller, answer, true);
    }
  fz_reset (caller);
  check_answer (answer->str);
  fz_check_idle (&fuzz.daemon, TURNS_MAX);
  g_string_free (sent, TRUE);
  g_string_free (answer, TRUE);
  return 0;
}
