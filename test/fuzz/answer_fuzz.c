/* Fuzzes what an entry daemon passes on of endpoints' answers: its traffic
   thread runs in this process, and each input is what endpoints answer to the
   attempts of one request.  The first byte selects the request.  The others
   are answers, separated by SEPARATOR; the first byte of each says how its
   connection ends.  What the caller gets must be one answer that a strict
   reader understands, with nothing that no endpoint has sent and, as a stream,
   with events whose ids rise. */
#include "fuzz_daemon.h"

/* Turns of the loop that an input may take.  Requests that wait for something
   are given up when the caller closes. */
#define TURNS_MAX 400

/* Between two answers of an input. */
#define SEPARATOR '\x1e'

/* Attempts that are answered; later ones are refused. */
#define ANSWERS_MAX 4

/* Endpoints: one that has failed gets no further attempt for a while. */
#define ENDPOINTS ANSWERS_MAX

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

/* All requests are public. */
static const char configuration[]
    = "{\"Version\":1,\"Routes\":["
      "{\"Name\":\"stream\",\"Hostname\":\"a\",\"PathPrefix\":\"/s/\","
      "\"Kind\":\"stream\",\"TimeoutMs\":2000,\"Service\":\"one\","
      "\"MaxAttempts\":3,\"Public\":true},"
      "{\"Name\":\"resumed\",\"Hostname\":\"a\",\"PathPrefix\":\"/r/\","
      "\"Kind\":\"stream\",\"Resumable\":true,\"TimeoutMs\":2000,"
      "\"Service\":\"one\",\"MaxAttempts\":3,\"Public\":true},"
      "{\"Name\":\"look\",\"Hostname\":\"a\",\"PathPrefix\":\"/a/\","
      "\"Kind\":\"idempotent\",\"TimeoutMs\":2000,\"Service\":\"one\","
      "\"MaxAttempts\":3,\"Public\":true}],"
      "\"Services\":[{\"Name\":\"one\"}],"
      "\"Limits\":{\"MaxHeaderBytes\":4096,\"MaxBodyBytes\":4096,"
      "\"HeaderTimeoutMs\":100000,\"IdleTimeoutMs\":100000},"
      "\"Tenants\":[]}";

/* What the caller asks for. */
static const struct
{
  const char *method;
  const char *prefix;
  bool is_stream;
} requests[] = {
  { "GET", "/s/", true },
  { "GET", "/r/", true },
  { "GET", "/a/", false },
  { "HEAD", "/a/", false },
};

/* How the endpoint's side of a connection ends after its answer. */
enum ending
{
  ENDING_CLOSE,
  ENDING_RESET,
  ENDING_NONE, /* it stays open */
  ENDING_COUNT
};

/* A connection of the daemon to the endpoint. */
struct attempt
{
  int socket;
  GString *request;
  bool answered;
};

static struct
{
  struct fz_daemon daemon;
  uint64_t inputs;
  int endpoints[ENDPOINTS];   /* sockets that accept attempts */
  char *addresses[ENDPOINTS]; /* of the endpoints */
  struct attempt attempts[ANSWERS_MAX];
  uint32_t attempt_count;
  char **answers;
} fuzz;

/* Opens the endpoints.  They keep their ports for all inputs: new ports for
   each input would wait for late bytes afterwards, until none is free.  */
static void
open_endpoints (void)
{
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      struct sockaddr_in address
          = { .sin_family = AF_INET,
              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      socklen_t length = sizeof address;
      int endpoint
          = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      if (bind (endpoint, (struct sockaddr *)&address, length) != 0
          || listen (endpoint, ANSWERS_MAX) != 0
          || getsockname (endpoint, (struct sockaddr *)&address, &length) != 0)
        {
          fz_fail ("an endpoint can't listen");
        }
      fuzz.endpoints[i] = endpoint;
      fuzz.addresses[i]
          = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
    }
}

/* Returns a connection to an endpoint that has arrived; -1: there is none.  */
static int
accept_attempt (void)
{
  int accepted = -1;
  for (uint32_t i = 0; i < ENDPOINTS && accepted < 0; i++)
    {
      accepted = accept (fuzz.endpoints[i], NULL, NULL);
    }
  return accepted;
}

/* Closes the connections to the endpoints, also those that weren't
   accepted.  */
static void
close_attempts (void)
{
  for (int unread = accept_attempt (); unread >= 0; unread = accept_attempt ())
    {
      fz_reset (unread);
    }
  for (uint32_t i = 0; i < fuzz.attempt_count; i++)
    {
      if (fuzz.attempts[i].socket >= 0)
        {
          fz_reset (fuzz.attempts[i].socket);
        }
      g_string_free (fuzz.attempts[i].request, TRUE);
    }
  fuzz.attempt_count = 0;
}

/* Answers the request of ATTEMPT with TEXT, whose first byte says how the
   connection ends.  */
static void
answer (struct attempt *attempt, const char *text)
{
  enum ending ending = (enum ending) ((uint8_t)text[0] % ENDING_COUNT);
  attempt->answered = true;
  if (text[0] != '\0')
    {
      send (attempt->socket, text + 1, strlen (text + 1), MSG_NOSIGNAL);
    }
  switch (ending)
    {
    case ENDING_RESET:
      fz_reset (attempt->socket);
      attempt->socket = -1;
      break;
    case ENDING_CLOSE:
      shutdown (attempt->socket, SHUT_WR);
      break;
    case ENDING_NONE:
    case ENDING_COUNT:
      break;
    }
}

/* Accepts the attempts that have arrived, and answers those whose head is
   there.  */
static void
serve_attempts (void)
{
  while (fuzz.attempt_count < ANSWERS_MAX)
    {
      int accepted = accept_attempt ();
      if (accepted < 0)
        {
          break;
        }
      fuzz.attempts[fuzz.attempt_count++]
          = (struct attempt){ .socket = accepted,
                              .request = g_string_new (NULL) };
    }
  for (uint32_t i = 0; i < fuzz.attempt_count; i++)
    {
      struct attempt *attempt = &fuzz.attempts[i];
      if (attempt->answered)
        {
          continue;
        }
      fz_receive (attempt->socket, attempt->request);
      if (strstr (attempt->request->str, "\r\n\r\n") != NULL
          && i < g_strv_length (fuzz.answers))
        {
          answer (attempt, fuzz.answers[i]);
        }
    }
}

/* What the head of an answer says of its body. */
struct framing
{
  int64_t length; /* -1: not stated */
  bool chunked;
  bool has_type;
  bool has_events; /* by its first type */
};

/* Reads the head at TEXT.  Returns what follows it; NULL: it isn't whole, or a
   strict reader would refuse it.  */
static const char *
read_head (const char *text, uint32_t *status, struct framing *framing)
{
  const char *end = strstr (text, "\r\n\r\n");
  *framing = (struct framing){ .length = -1 };
  if (end == NULL || !g_str_has_prefix (text, "HTTP/1.1 "))
    {
      return NULL;
    }
  *status = (uint32_t)g_ascii_strtoull (text + strlen ("HTTP/1.1 "), NULL, 10);
  g_autofree char *head = g_strndup (text, (gsize)(end - text));
  g_auto (GStrv) lines = g_strsplit (head, "\r\n", -1);
  for (size_t i = 1; lines[i] != NULL; i++)
    {
      char *colon = strchr (lines[i], ':');
      if (colon == NULL || colon == lines[i]
          || strpbrk (lines[i], "\r\n") != NULL
          || strcspn (lines[i], " \t") < (size_t)(colon - lines[i]))
        {
          return NULL;
        }
      *colon = '\0';
      const char *value = g_strstrip (colon + 1);
      if (g_ascii_strcasecmp (lines[i], "Content-Length") == 0)
        {
          if (framing->length >= 0 || framing->chunked
              || strspn (value, "0123456789") != strlen (value))
            {
              return NULL;
            }
          framing->length = g_ascii_strtoll (value, NULL, 10);
        }
      if (!framing->has_type
          && g_ascii_strcasecmp (lines[i], "Content-Type") == 0)
        {
          framing->has_type = true;
          framing->has_events = g_str_has_prefix (value, "text/event-stream");
        }
      if (g_ascii_strcasecmp (lines[i], "Transfer-Encoding") == 0)
        {
          if (framing->length >= 0 || framing->chunked
              || strcmp (value, "chunked") != 0)
            {
              return NULL;
            }
          framing->chunked = true;
        }
    }
  return end + strlen ("\r\n\r\n");
}

/* Appends the content of the chunks at TEXT to BODY.  Returns false when they
   aren't valid.  An answer that was cut off may end anywhere.  */
static bool
read_chunks (const char *text, GString *body)
{
  while (*text != '\0')
    {
      char *size_end = NULL;
      guint64 size = g_ascii_strtoull (text, &size_end, 16);
      if (size_end == text)
        {
          return false;
        }
      if (strlen (size_end) < strlen ("\r\n"))
        {
          return true;
        }
      if (!g_str_has_prefix (size_end, "\r\n"))
        {
          return false;
        }
      const char *content = size_end + strlen ("\r\n");
      size_t there = strlen (content);
      g_string_append_len (body, content, (gssize)MIN (size, there));
      if (size > there || there - size < strlen ("\r\n"))
        {
          return true;
        }
      text = content + size;
      if (!g_str_has_prefix (text, "\r\n"))
        {
          return false;
        }
      text += strlen ("\r\n");
      if (size == 0)
        {
          return *text == '\0';
        }
    }
  return true;
}

/* Returns whether the bytes of PART occur in WHOLE in the same order.  */
static bool
is_subsequence (const char *part, const char *whole)
{
  for (; *part != '\0'; part++)
    {
      whole = strchr (whole, *part);
      if (whole == NULL)
        {
          return false;
        }
      whole++;
    }
  return true;
}

/* Returns the id that VALUE states; -1: it is no number.  */
static int64_t
read_id (const char *value)
{
  value += strspn (value, " ");
  return *value != '\0' && strspn (value, "0123456789") == strlen (value)
             ? g_ascii_strtoll (value, NULL, 10)
             : -1;
}

/* Returns whether the ids of the events of BODY rise.  Of several ids of an
   event the last one counts.  */
static bool
ids_rise (const char *body)
{
  g_auto (GStrv) lines = g_strsplit (body, "\n", -1);
  int64_t last = -1;
  int64_t id = -1;
  for (size_t i = 0; lines[i] != NULL; i++)
    {
      char *line = lines[i];
      if (g_str_has_suffix (line, "\r"))
        {
          line[strlen (line) - 1] = '\0';
        }
      if (g_str_has_prefix (line, "id:"))
        {
          id = read_id (line + strlen ("id:"));
        }
      /* What follows the last line end is cut off. */
      bool ends = *line == '\0' && lines[i + 1] != NULL;
      if (ends && id >= 0)
        {
          if (id <= last)
            {
              return false;
            }
          last = id;
          id = -1;
        }
    }
  return true;
}

/* Checks what the caller has got for REQUEST.  SENT is all that the endpoint
   may have sent.  */
static void
check_received (const char *received, uint32_t request, const char *sent)
{
  if (*received == '\0')
    {
      return;
    }
  uint32_t status = 0;
  struct framing framing;
  g_autoptr (GString) body = g_string_new (NULL);
  const char *content = read_head (received, &status, &framing);
  bool heads = strcmp (requests[request].method, "HEAD") == 0;
  bool valid
      = content != NULL && status >= 200 && status < 600
        && (!heads || *content == '\0')
        && (framing.length < 0 || strlen (content) <= (size_t)framing.length);
  if (valid && framing.chunked)
    {
      valid = read_chunks (content, body);
    }
  else if (valid)
    {
      g_string_assign (body, content);
    }
  const char *fault = !valid ? "the daemon sent an invalid answer"
                      : status == 200 && !is_subsequence (body->str, sent)
                          ? "the daemon sent what no endpoint has sent"
                      : status == 200 && requests[request].is_stream
                              && framing.has_events && !ids_rise (body->str)
                          ? "the daemon sent events out of order"
                          : NULL;
  if (fault != NULL)
    {
      fprintf (stderr, "%s\n", received);
      fz_fail (fault);
    }
}

/* Lets the daemon and the endpoint run until the caller's connection has
   ended, and appends what the caller gets to RECEIVED.  */
static void
run (int caller, GString *received)
{
  bool open = true;
  for (uint32_t turn = 0; open && turn < TURNS_MAX; turn++)
    {
      uv_run (&fuzz.daemon.loop, UV_RUN_NOWAIT);
      serve_attempts ();
      open = fz_receive (caller, received);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (fuzz.daemon.traffic == NULL)
    {
      fz_start_daemon (&fuzz.daemon);
      open_endpoints ();
    }
  if (bytes < 2 || memchr (data, '\0', bytes) != NULL)
    {
      return 0;
    }
  fuzz.inputs++;
  uint32_t request = data[0] % G_N_ELEMENTS (requests);
  g_autofree char *sent = g_strndup ((const char *)data + 1, bytes - 1);
  g_auto (GStrv) answers
      = g_strsplit (sent, (const char[]){ SEPARATOR, '\0' }, ANSWERS_MAX);
  fuzz.answers = answers;
  int caller = fz_connect (&fuzz.daemon);
  if (caller < 0)
    {
      return 0;
    }
  /* What is known of the endpoints of the input before doesn't count. */
  fz_configure (&fuzz.daemon, configuration, fuzz.addresses, ENDPOINTS,
                fuzz.inputs);
  /* Another path for each input: repeats of one request that break off are
     quarantined. */
  g_autofree char *head = g_strdup_printf (
      "%s %s%" G_GUINT64_FORMAT " HTTP/1.1\r\nHost: a\r\n" PFH_REQUEST_ID
      ": i\r\nConnection: close\r\n\r\n",
      requests[request].method, requests[request].prefix, fuzz.inputs);
  send (caller, head, strlen (head), MSG_NOSIGNAL);
  g_autoptr (GString) received = g_string_new (NULL);
  run (caller, received);
  fz_reset (caller);
  fz_check_idle (&fuzz.daemon, TURNS_MAX);
  close_attempts ();
  check_received (received->str, request, sent);
  return 0;
}
