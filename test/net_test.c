/* Tests of the HTTP server and client over loopback connections. */
#include "base/clock.h"
#include "base/log.h"
#include "net/call.h"
#include "net/client.h"
#include "net/server.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US (10 * CLK_S_US)
#define CHUNK_BYTES 65536
#define READ_BYTES 65536

/* A server, a client, and what their callbacks have seen. */
struct fixture
{
  uv_loop_t loop;
  struct nsv_limits limits;
  struct nsv_server *server;
  char *address;
  struct nsv_connection *connection; /* of the newest request */
  uint32_t drained;                  /* calls */
  uint32_t disconnected;             /* calls */
  struct ncl_client *client;
  struct ncl_exchange *exchange;
  uint32_t completed;       /* exchanges */
  uint32_t failed;          /* exchanges */
  enum ncl_failure failure; /* of the last one that failed */
  bool pauses;              /* the client pauses the next answer */
  uv_tcp_t caller;          /* a caller that reads when it is told to */
  uv_connect_t connecting;
  char read_buffer[READ_BYTES];
};

static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  (void)method;
  struct fixture *fixture = context;
  fixture->connection = connection;
  if (strcmp (request->url->str, "/short") == 0)
    {
      nsv_respond (connection, 200, "", "body", 4);
      return;
    }
  bool has_length = strcmp (request->url->str, "/open") != 0;
  nsv_set_request_context (connection, fixture);
  nsv_begin_response (connection, 200, "", has_length);
}

static void
on_disconnected (void *context)
{
  struct fixture *fixture = context;
  fixture->disconnected++;
}

static void
on_drained (void *context)
{
  struct fixture *fixture = context;
  fixture->drained++;
}

static const struct nsv_events server_events = {
  .request = on_request,
  .disconnected = on_disconnected,
  .drained = on_drained,
};

static bool
on_headers (void *context, uint32_t status, const struct msg_message *answer)
{
  (void)context;
  (void)answer;
  return status == 200;
}

static void
on_body (void *context, const char *bytes, size_t count)
{
  (void)bytes;
  (void)count;
  struct fixture *fixture = context;
  if (fixture->pauses)
    {
      fixture->pauses = false;
      ncl_pause (fixture->exchange);
    }
}

static void
on_complete (void *context)
{
  struct fixture *fixture = context;
  fixture->completed++;
}

static void
on_failed (void *context, enum ncl_failure failure)
{
  struct fixture *fixture = context;
  fixture->failed++;
  fixture->failure = failure;
}

static const struct ncl_events client_events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

static int
create_fixture (void **state)
{
  const struct ncl_params client_params = {
    .idle_max_us = 8 * CLK_S_US,
    .connect_timeout_us = CLK_S_US,
    .user_timeout_ms = 1000,
    .idle_connections_max = 4,
  };
  struct fixture *fixture = g_new0 (struct fixture, 1);
  fixture->limits = (struct nsv_limits){
    .header_bytes_max = 4096,
    .body_bytes_max = 4096,
    .header_timeout_us = TIMEOUT_US,
    .idle_timeout_us = TIMEOUT_US,
    .unsent_bytes_max = CHUNK_BYTES,
    .user_timeout_ms = 10000,
    .connections_max = 16,
  };
  uv_loop_init (&fixture->loop);
  fixture->server
      = nsv_create (&fixture->loop, "127.0.0.1:0", &fixture->limits,
                    &server_events, fixture, NULL);
  assert_non_null (fixture->server);
  fixture->address = nsv_address (fixture->server);
  fixture->client = ncl_create (&fixture->loop, &client_params);
  *state = fixture;
  return 0;
}

static int
destroy_fixture (void **state)
{
  struct fixture *fixture = *state;
  ncl_destroy (fixture->client);
  nsv_destroy (fixture->server);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  uv_loop_close (&fixture->loop);
  g_free (fixture->address);
  g_free (fixture);
  return 0;
}

/* Runs the loop until *COUNT is EXPECTED.  Returns false after TIMEOUT_US.  */
static bool
run_until (struct fixture *fixture, const uint32_t *count, uint32_t expected)
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (*count != expected && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
  return *count == expected;
}

/* An answer that ends while it is paused leaves a connection that the next
   exchange can use.  Guards against an exchange that waited for its deadline,
   since nothing read its connection.  */
static void
pause_ends_with_its_exchange (void **state)
{
  struct fixture *fixture = *state;
  static const char request[] = "GET /short HTTP/1.1\r\nHost: a\r\n\r\n";
  for (uint32_t i = 1; i <= 3; i++)
    {
      fixture->pauses = true;
      fixture->exchange
          = ncl_send (fixture->client, fixture->address, request,
                      strlen (request), false, &client_events, fixture);
      assert_true (run_until (fixture, &fixture->completed, i));
    }
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void)suggested;
  struct fixture *fixture = handle->data;
  *buffer = uv_buf_init (fixture->read_buffer, READ_BYTES);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  (void)stream;
  (void)count;
  (void)buffer;
}

static void
on_connected (uv_connect_t *connecting, int status)
{
  static char request[] = "GET /long HTTP/1.1\r\nHost: a\r\n\r\n";
  uv_buf_t buffer = uv_buf_init (request, sizeof request - 1);
  assert_int_equal (status, 0);
  assert_int_equal (uv_try_write (connecting->handle, &buffer, 1),
                    sizeof request - 1);
}

/* Connects a socket to the server and returns it.  */
static int
connect_socket (const struct fixture *fixture)
{
  struct sockaddr_in address;
  const char *port = strchr (fixture->address, ':') + 1;
  uv_ip4_addr ("127.0.0.1", atoi (port), &address);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  return fd;
}

/* Waits until the server has a request.  */
static void
await_request (struct fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (fixture->connection == NULL && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
  assert_non_null (fixture->connection);
}

/* Connects the caller of FIXTURE, which sends a request to /long, and returns
   when the server has begun to respond.  */
static void
begin_long_response (struct fixture *fixture)
{
  struct sockaddr_in address;
  const char *port = strchr (fixture->address, ':') + 1;
  uv_ip4_addr ("127.0.0.1", atoi (port), &address);
  uv_tcp_init (&fixture->loop, &fixture->caller);
  fixture->caller.data = fixture;
  uv_tcp_connect (&fixture->connecting, &fixture->caller,
                  (const struct sockaddr *)&address, on_connected);
  await_request (fixture);
}

/* A caller that is slow stays so until it has read everything, whatever is
   sent or configured meanwhile; then `drained' is called.  Guards against an
   answer whose reading was paused for good.  */
static void
slow_caller_drains (void **state)
{
  struct fixture *fixture = *state;
  begin_long_response (fixture);
  char *chunk = g_strnfill (CHUNK_BYTES, 'x');
  while (!nsv_is_slow (fixture->connection))
    {
      nsv_send_body (fixture->connection, chunk, CHUNK_BYTES);
    }
  fixture->limits.unsent_bytes_max = UINT32_MAX;
  nsv_set_limits (fixture->server, &fixture->limits);
  nsv_send_body (fixture->connection, chunk, 1);
  g_free (chunk);
  assert_true (nsv_is_slow (fixture->connection));
  uv_read_start ((uv_stream_t *)&fixture->caller, on_alloc, on_read);
  assert_true (run_until (fixture, &fixture->drained, 1));
  assert_false (nsv_is_slow (fixture->connection));
  uv_close ((uv_handle_t *)&fixture->caller, NULL);
}

static void
on_shut_down (uv_shutdown_t *shutdown, int status)
{
  (void)status;
  g_free (shutdown);
}

/* Makes a connection of the server or of the client unusable for further
   writes; libuv rejects them at once.  */
static void
disable_writing (uv_handle_t *handle, void *context)
{
  struct fixture *fixture = context;
  if (handle->type == UV_TCP && handle != (uv_handle_t *)&fixture->caller
      && uv_is_writable ((uv_stream_t *)handle))
    {
      uv_shutdown (g_new0 (uv_shutdown_t, 1), (uv_stream_t *)handle,
                   on_shut_down);
    }
}

static void
send_body (struct nsv_connection *connection)
{
  nsv_send_body (connection, "body", 4);
}

static void
send_body_twice (struct nsv_connection *connection)
{
  nsv_send_body (connection, "body", 4);
  nsv_send_body (connection, "body", 4);
}

/* How the owner uses a connection that accepts no writes. */
struct unwritable_case
{
  const char *name;
  void (*write) (struct nsv_connection *connection);
  uint32_t disconnected; /* calls expected */
  uint32_t requests;     /* without a complete response afterwards */
};

/* The owner of a response is told when its bytes can't be queued, though the
   caller keeps the connection open.  Guards against a response that is lost
   without an event, and whose buffers are leaked.  */
static void
rejected_write_disconnects (void **state)
{
  struct fixture *fixture = *state;
  static const struct unwritable_case cases[] = {
    { "part of the body", send_body, 1, 0 },
    { "two parts of the body", send_body_twice, 1, 0 },
    { "end of the body", nsv_end_response, 0, 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint32_t open = nsv_connection_count (fixture->server);
      fixture->connection = NULL;
      fixture->disconnected = 0;
      begin_long_response (fixture);
      uv_walk (&fixture->loop, disable_writing, fixture);
      cases[i].write (fixture->connection);
      int64_t end_us = clk_monotonic_us () + CLK_S_US;
      while (nsv_connection_count (fixture->server) > open
             && clk_monotonic_us () < end_us)
        {
          uv_run (&fixture->loop, UV_RUN_NOWAIT);
        }
      uint32_t left = nsv_connection_count (fixture->server) - open;
      if (left != 0 || fixture->disconnected != cases[i].disconnected
          || nsv_request_count (fixture->server) != cases[i].requests)
        {
          fail_msg ("%s: %u connections left, disconnected called %u times, "
                    "%u requests open",
                    cases[i].name, left, fixture->disconnected,
                    nsv_request_count (fixture->server));
        }
      uv_close ((uv_handle_t *)&fixture->caller, NULL);
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
}

/* An exchange fails when its request can't be queued on a kept connection.
   Guards against a request that is lost, and whose buffers are leaked.  */
static void
rejected_request_fails (void **state)
{
  struct fixture *fixture = *state;
  static const char request[] = "GET /short HTTP/1.1\r\nHost: a\r\n\r\n";
  fixture->exchange
      = ncl_send (fixture->client, fixture->address, request, strlen (request),
                  false, &client_events, fixture);
  assert_true (run_until (fixture, &fixture->completed, 1));
  uv_walk (&fixture->loop, disable_writing, fixture);
  fixture->exchange
      = ncl_send (fixture->client, fixture->address, request, strlen (request),
                  false, &client_events, fixture);
  assert_non_null (fixture->exchange);
  assert_int_equal (fixture->failed, 0);
  assert_true (run_until (fixture, &fixture->failed, 1));
  assert_int_equal (fixture->failure, NCL_CUT_OFF);
  assert_int_equal (ncl_counts (fixture->client)->connections, 1);
}

/* Lowers the limit on open files so that none can be opened.  Returns the
   limits to restore.  */
static struct rlimit
exhaust_descriptors (void)
{
  struct rlimit old;
  assert_int_equal (getrlimit (RLIMIT_NOFILE, &old), 0);
  int next = fcntl (STDIN_FILENO, F_DUPFD, 0);
  assert_true (next >= 0);
  close (next);
  struct rlimit low = { .rlim_cur = (rlim_t)next, .rlim_max = old.rlim_max };
  assert_int_equal (setrlimit (RLIMIT_NOFILE, &low), 0);
  return old;
}

static void
count_connection (uv_handle_t *handle, void *context)
{
  uint32_t *count = context;
  *count += handle->type == UV_TCP && !uv_is_closing (handle);
}

/* A client that is out of descriptors refuses to send, and sends again once
   there are some.  Guards against handles that were removed twice from the
   list of the loop, which broke the list: later handles were missing in it,
   and it pointed to freed memory.  */
static void
client_survives_lack_of_descriptors (void **state)
{
  struct fixture *fixture = *state;
  static const char request[] = "GET /short HTTP/1.1\r\nHost: a\r\n\r\n";
  for (uint32_t i = 1; i <= 3; i++)
    {
      struct rlimit old = exhaust_descriptors ();
      struct ncl_exchange *refused
          = ncl_send (fixture->client, fixture->address, request,
                      strlen (request), true, &client_events, fixture);
      setrlimit (RLIMIT_NOFILE, &old);
      assert_null (refused);
      assert_int_equal (ncl_counts (fixture->client)->open, i - 1);
      fixture->exchange
          = ncl_send (fixture->client, fixture->address, request,
                      strlen (request), true, &client_events, fixture);
      assert_non_null (fixture->exchange);
      assert_true (run_until (fixture, &fixture->completed, i));
      uint32_t count = 0;
      uv_walk (&fixture->loop, count_connection, &count);
      assert_int_equal (count, 1 + 2 * i); /* the listener, and both ends */
    }
}

/* Whether libuv still holds the descriptor that it reserves for connections
   that it can't accept.  It loses that when another thread opens a file at the
   wrong moment. */
struct accept_case
{
  const char *name;
  bool reserve;
};

/* A server without descriptors closes the connections of its callers, keeps
   its event loop running, and serves callers once there are some.  Guards
   against an event loop that never returned from accepting.  */
static void
server_survives_lack_of_descriptors (void **state)
{
  struct fixture *fixture = *state;
  static const char request[] = "GET /short HTTP/1.1\r\nHost: a\r\n\r\n";
  static const struct accept_case cases[] = {
    { "with the reserve", true },
    { "without the reserve", false },
    { "with the reserve again", true },
  };
  for (uint32_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int fd = connect_socket (fixture);
      struct rlimit old = exhaust_descriptors ();
      int taken = -1;
      if (!cases[i].reserve)
        {
          close (fixture->loop.emfile_fd);
          fixture->loop.emfile_fd = -1;
          taken = dup (STDIN_FILENO);
        }
      alarm (TIMEOUT_US / CLK_S_US); /* ends the test when the loop is stuck */
      int64_t end_us = clk_monotonic_us () + CLK_S_US / 10;
      while (clk_monotonic_us () < end_us)
        {
          uv_run (&fixture->loop, UV_RUN_NOWAIT);
        }
      alarm (0);
      setrlimit (RLIMIT_NOFILE, &old);
      char byte;
      if (recv (fd, &byte, 1, MSG_DONTWAIT) == 1
          || nsv_connection_count (fixture->server) != 0)
        {
          fail_msg ("%s: the connection was accepted", cases[i].name);
        }
      close (fd);
      close (taken);
      nsv_expire (fixture->server, clk_monotonic_us ());
      fixture->exchange
          = ncl_send (fixture->client, fixture->address, request,
                      strlen (request), true, &client_events, fixture);
      assert_true (run_until (fixture, &fixture->completed, i + 1));
      ncl_close_idle (fixture->client, fixture->address);
      while (nsv_connection_count (fixture->server) > 0)
        {
          uv_run (&fixture->loop, UV_RUN_ONCE);
        }
    }
}

/* Returns the number of lines in TEXT that contain NEEDLE.  */
static uint32_t
count_lines (const char *text, const char *needle)
{
  uint32_t count = 0;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (size_t i = 0; lines[i] != NULL; i++)
    {
      count += strstr (lines[i], needle) != NULL;
    }
  return count;
}

/* A server logs each lack of descriptors once, and its end.  Guards against
   callers that were closed without a line.  */
static void
lack_of_descriptors_is_logged (void **state)
{
  struct fixture *fixture = *state;
  const uint32_t lacks = 2;
  char *path = NULL;
  char *log = NULL;
  int file = g_file_open_tmp (NULL, &path, NULL);
  int output = dup (STDOUT_FILENO);
  dup2 (file, STDOUT_FILENO);
  for (uint32_t i = 0; i < lacks; i++)
    {
      struct rlimit old = exhaust_descriptors ();
      for (uint32_t j = 0; j < 3; j++)
        {
          nsv_expire (fixture->server, clk_monotonic_us ());
        }
      setrlimit (RLIMIT_NOFILE, &old);
      nsv_expire (fixture->server, clk_monotonic_us ());
      nsv_expire (fixture->server, clk_monotonic_us ());
    }
  lg_flush ();
  dup2 (output, STDOUT_FILENO);
  assert_true (g_file_get_contents (path, &log, NULL, NULL));
  assert_int_equal (count_lines (log, "event=caller_descriptors_lacking"),
                    lacks);
  assert_int_equal (count_lines (log, "event=caller_descriptors_back"), lacks);
  assert_int_equal (nsv_lack_count (fixture->server), lacks);
  close (output);
  close (file);
  unlink (path);
  g_free (path);
  g_free (log);
}

/* Sends a short request on the open connection, or on a new one if there is
   none.  */
static void
send_short (struct fixture *fixture)
{
  static const char request[] = "GET /short HTTP/1.1\r\nHost: x\r\n\r\n";
  fixture->exchange
      = ncl_send (fixture->client, fixture->address, request,
                  sizeof request - 1, false, &client_events, fixture);
  assert_non_null (fixture->exchange);
}

/* Replaces the server, as at the end of its process.  */
static void
restart_server (struct fixture *fixture)
{
  nsv_destroy (fixture->server);
  fixture->server
      = nsv_create (&fixture->loop, fixture->address, &fixture->limits,
                    &server_events, fixture, NULL);
  assert_non_null (fixture->server);
}

/* Guards against closing connections unanswered in a stop: those that had just
   been accepted, and those whose next request had arrived but wasn't read yet,
   were taken for idle.  */
static void
stop_answers_requests_on_idle_connections (void **state)
{
  static const struct
  {
    const char *name;
    bool used; /* the connection has had a request before */
  } connections[] = {
    { "new", false },
    { "used", true },
  };
  struct fixture *fixture = *state;
  uint32_t completed = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (connections); i++)
    {
      if (connections[i].used)
        {
          send_short (fixture);
          assert_true (run_until (fixture, &fixture->completed, ++completed));
        }
      nsv_disable_keep_alive (fixture->server, clk_monotonic_us ());
      send_short (fixture);
      while (nsv_connection_count (fixture->server) == 0)
        {
          uv_run (&fixture->loop, UV_RUN_NOWAIT);
        }
      nsv_expire (fixture->server, clk_monotonic_us ());
      print_message ("%s\n", connections[i].name);
      assert_true (run_until (fixture, &fixture->completed, ++completed));
      assert_int_equal (fixture->failed, 0);
      restart_server (fixture);
    }
}

/* Guards against requests that are dropped unanswered in a stop: those behind
   a response whose head, sent before the stop, didn't announce the close.  */
static void
stop_answers_pipelined_requests (void **state)
{
  static const char requests[] = "GET /long HTTP/1.1\r\nHost: a\r\n\r\n"
                                 "GET /short HTTP/1.1\r\nHost: a\r\n\r\n";
  static const struct
  {
    const char *name;
    size_t late_bytes; /* that arrive after the stop began */
  } cases[] = {
    { "before the stop", 0 },
    { "in part", 9 },
    { "after the stop began", 32 },
  };
  struct fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      size_t early = sizeof requests - 1 - cases[i].late_bytes;
      int caller = connect_socket (fixture);
      fixture->connection = NULL;
      send (caller, requests, early, MSG_NOSIGNAL);
      await_request (fixture);
      nsv_disable_keep_alive (fixture->server, clk_monotonic_us ());
      send (caller, requests + early, cases[i].late_bytes, MSG_NOSIGNAL);
      nsv_end_response (fixture->connection);
      GString *answers = g_string_new (NULL);
      int64_t end_us = clk_monotonic_us () + 2 * CLK_S_US;
      ssize_t count = -1;
      while (count != 0 && clk_monotonic_us () < end_us)
        {
          uv_run (&fixture->loop, UV_RUN_NOWAIT);
          nsv_expire (fixture->server, clk_monotonic_us ());
          count
              = recv (caller, fixture->read_buffer, READ_BYTES, MSG_DONTWAIT);
          g_string_append_len (answers, fixture->read_buffer, MAX (count, 0));
        }
      if (!g_str_has_suffix (answers->str, "body")
          || strstr (answers->str, "Connection: close") == NULL)
        {
          fail_msg ("%s: '%s'", cases[i].name, answers->str);
        }
      g_string_free (answers, TRUE);
      close (caller);
      restart_server (fixture);
    }
}

/* Guards against the end of a process while a request still arrives: it isn't
   idle then, and at the end of the grace period the request is refused, which
   promises that it hasn't run.  */
static void
stop_refuses_incomplete_requests (void **state)
{
  static const struct
  {
    const char *name;
    const char *bytes;
    bool refused;
  } cases[] = {
    { "a part of the start line", "POST /sh", true },
    { "a part of the headers", "POST /short HTTP/1.1\r\nHost", true },
    { "a part of the body",
      "POST /short HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nbody",
      true },
    { "a part of a chunk",
      "POST /short HTTP/1.1\r\nHost: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n9\r\nbody",
      true },
    { "nothing", "", false },
  };
  struct fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int caller = connect_socket (fixture);
      send (caller, cases[i].bytes, strlen (cases[i].bytes), MSG_NOSIGNAL);
      while (nsv_connection_count (fixture->server) == 0)
        {
          uv_run (&fixture->loop, UV_RUN_NOWAIT);
        }
      bool is_idle = nsv_is_idle (fixture->server);
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      is_idle = is_idle || nsv_is_idle (fixture->server);
      nsv_refuse_incomplete (fixture->server, "Retry-After: 0.5\r\n");
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      ssize_t count
          = recv (caller, fixture->read_buffer, READ_BYTES - 1, MSG_DONTWAIT);
      fixture->read_buffer[MAX (count, 0)] = '\0';
      bool refused
          = g_str_has_prefix (fixture->read_buffer, "HTTP/1.1 503")
            && strstr (fixture->read_buffer, "Retry-After: 0.5") != NULL;
      if (refused != cases[i].refused || is_idle == cases[i].refused)
        {
          fail_msg ("%s: idle %d, '%s'", cases[i].name, is_idle,
                    fixture->read_buffer);
        }
      close (caller);
      restart_server (fixture);
    }
}

/* How the answer to a caller ended. */
enum ending
{
  END_NONE,  /* not at all in time */
  END_CLOSE, /* its connection was closed in order */
  END_RESET  /* its connection was reset */
};

/* Connects a caller that asks for an answer that only the end of the
   connection ends, and returns its socket when the server has begun to answer.
 */
static int
begin_open_response (struct fixture *fixture)
{
  static const char request[] = "GET /open HTTP/1.1\r\nHost: a\r\n\r\n";
  int caller = connect_socket (fixture);
  assert_int_equal (send (caller, request, sizeof request - 1, 0),
                    sizeof request - 1);
  fixture->connection = NULL;
  await_request (fixture);
  return caller;
}

/* Reads from CALLER while the server runs, until its connection ends, and sets
   BYTES to the number of bytes.  */
static enum ending
await_ending (struct fixture *fixture, int caller, size_t *bytes)
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  *bytes = 0;
  while (clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      ssize_t count
          = recv (caller, fixture->read_buffer, READ_BYTES, MSG_DONTWAIT);
      if (count == 0)
        {
          return END_CLOSE;
        }
      if (count < 0 && errno != EAGAIN)
        {
          return END_RESET;
        }
      *bytes += count > 0 ? (size_t)count : 0;
    }
  return END_NONE;
}

/* Sends chunks of a response, without its end, until its caller is slow.
   Returns the number of bytes.  */
static size_t
fill_connection (struct fixture *fixture)
{
  size_t bytes = 0;
  g_autofree char *chunk = g_strnfill (CHUNK_BYTES, 'x');
  while (!nsv_is_slow (fixture->connection))
    {
      nsv_send_body (fixture->connection, chunk, CHUNK_BYTES);
      bytes += CHUNK_BYTES;
    }
  return bytes;
}

static void
end_server (struct fixture *fixture, int caller)
{
  (void)caller;
  nsv_send_body (fixture->connection, "body", 4);
  restart_server (fixture);
}

static void
end_server_with_queue (struct fixture *fixture, int caller)
{
  (void)caller;
  fill_connection (fixture);
  nsv_end_response (fixture->connection);
  restart_server (fixture);
}

static void
end_sending (struct fixture *fixture, int caller)
{
  nsv_send_body (fixture->connection, "body", 4);
  shutdown (caller, SHUT_WR);
}

/* Guards against a part of an answer that looks whole: the end of its
   connection completes an answer without a length, so that of an unfinished
   one must be a reset.  */
static void
unfinished_response_is_reset (void **state)
{
  static const struct
  {
    const char *name;
    void (*disturb) (struct fixture *fixture, int caller);
  } cases[] = {
    { "the server ends", end_server },
    { "the server ends with bytes in its queue", end_server_with_queue },
    { "the caller ends its side", end_sending },
  };
  struct fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      size_t bytes = 0;
      int caller = begin_open_response (fixture);
      cases[i].disturb (fixture, caller);
      enum ending ending = await_ending (fixture, caller, &bytes);
      if (ending != END_RESET)
        {
          fail_msg ("%s: ending %d", cases[i].name, ending);
        }
      close (caller);
    }
}

/* Guards against a complete answer of which a slow caller got a part: its
   connection was closed a second after the answer, whatever was still queued.
 */
static void
queued_response_is_delivered (void **state)
{
  struct fixture *fixture = *state;
  size_t bytes = 0;
  int caller = begin_open_response (fixture);
  size_t sent = fill_connection (fixture);
  nsv_end_response (fixture->connection);
  assert_int_equal (nsv_request_count (fixture->server), 0);
  assert_false (nsv_is_idle (fixture->server));
  int64_t end_us = clk_monotonic_us () + 3 * CLK_S_US / 2;
  while (clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      nsv_expire (fixture->server, clk_monotonic_us ());
      usleep (10000);
    }
  assert_int_equal (await_ending (fixture, caller, &bytes), END_CLOSE);
  assert_true (bytes > sent);
  assert_true (nsv_is_idle (fixture->server));
  close (caller);
}

/* Guards against callers that hold a queued answer for ever: one that reads
   nothing for the idle time-out is closed.  */
static void
unread_response_expires (void **state)
{
  struct fixture *fixture = *state;
  int caller = begin_open_response (fixture);
  fill_connection (fixture);
  nsv_end_response (fixture->connection);
  for (uint32_t i = 0; i < 2; i++)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      nsv_expire (fixture->server, clk_monotonic_us () + i * TIMEOUT_US);
    }
  assert_int_equal (nsv_connection_count (fixture->server), 0);
  close (caller);
}

/* What a call ended with. */
struct call_end
{
  uint32_t count; /* calls of `done' */
  uint32_t status;
  size_t bytes;
};

static void
on_call_done (void *context, uint32_t status, const uint8_t *body,
              size_t body_bytes, const char *reason)
{
  (void)body;
  (void)reason;
  struct call_end *end = context;
  end->count++;
  end->status = status;
  end->bytes = body_bytes;
}

/* Guards against an endpoint that answers an order, a report or a probe
   without end, at many endpoints 8 MiB each: a call keeps no more than its own
   limit.  */
static void
call_limits_its_answer (void **state)
{
  struct fixture *fixture = *state;
  struct call_end end = { 0 };
  const struct cal_params params = {
    .client = fixture->client,
    .loop = &fixture->loop,
    .address = fixture->address,
    .method = "GET",
    .path = "/long",
    .timeout_ms = 10000,
    .answer_bytes_max = (size_t)3 * CHUNK_BYTES,
    .done = on_call_done,
    .context = &end,
  };
  g_autofree char *chunk = g_strnfill (CHUNK_BYTES, 'x');
  cal_send (&params);
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  uint32_t chunks = 0;
  while (end.count == 0 && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      if (fixture->connection != NULL && chunks < 64
          && !nsv_is_slow (fixture->connection))
        {
          nsv_send_body (fixture->connection, chunk, CHUNK_BYTES);
          chunks++;
        }
    }
  assert_int_equal (end.count, 1);
  assert_int_equal (end.status, 0);
  assert_true (end.bytes <= params.answer_bytes_max);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (call_limits_its_answer, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (unfinished_response_is_reset,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (queued_response_is_delivered,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (unread_response_expires, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (pause_ends_with_its_exchange,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (slow_caller_drains, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (rejected_write_disconnects,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (rejected_request_fails, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (server_survives_lack_of_descriptors,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (lack_of_descriptors_is_logged,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (stop_answers_pipelined_requests,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (stop_refuses_incomplete_requests,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (stop_answers_requests_on_idle_connections,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (client_survives_lack_of_descriptors,
                                     create_fixture, destroy_fixture),
  };
  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
