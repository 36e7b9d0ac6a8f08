/* Tests of the limit on heads of requests, and of the time that they take. */
#include "base/clock.h"
#include "test/caller_socket.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#define HEADER_BYTES_MAX 4096
#define TIMEOUT_US (5 * CLK_S_US)
#define START "GET /a HTTP/1.1\r\n"
#define HOST "Host: a\r\n" /* 9 bytes */

static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  (void)context;
  (void)method;
  (void)request;
  nsv_respond (connection, HTTP_STATUS_OK, "", "ok", 2);
}

static void
ignore_event (void *context)
{
  (void)context;
}

static const struct nsv_events events = {
  .request = on_request,
  .disconnected = ignore_event,
  .drained = ignore_event,
};

/* A head: START, HOST and COUNT times LINE, in which ~ stands for FILL
   blanks, then the end of the head, and TAIL. */
static const struct
{
  const char *name;
  const char *start;
  const char *line;
  uint32_t count;
  uint32_t fill;
  const char *tail;
  uint32_t status;
} heads[] = {
  { "short lines within the limit", START, "a:\r\n", 1021, 0, "", 200 },
  { "short lines beyond it", START, "a:\r\n", 1030, 0, "", 431 },
  { "lines without a return", START, "a:\n", 1450, 0, "", 431 },
  { "a long value within the limit", START, "a: ~b\r\n", 1, 4080, "", 200 },
  { "a long value beyond it", START, "a: ~b\r\n", 1, 4100, "", 431 },
  { "blanks at the end of a line", START, "a: b~\r\n", 1, 4100, "", 431 },
  { "a trailer beyond the limit",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", "a: b\r\n", 1, 0,
    "0\r\nt: ", 431 },
};

/* Returns the bytes of the head I, which the caller frees.  */
static GString *
build_head (size_t i)
{
  GString *text = g_string_new (heads[i].start);
  g_autofree char *blanks = g_strnfill (heads[i].fill, ' ');
  g_string_append (text, HOST);
  for (uint32_t n = 0; n < heads[i].count; n++)
    {
      g_string_append (text, heads[i].line);
    }
  g_string_replace (text, "~", blanks, 0);
  g_string_append (text, "\r\n");
  g_string_append (text, heads[i].tail);
  if (heads[i].tail[0] != '\0')
    {
      for (uint32_t n = 0; n < HEADER_BYTES_MAX + 10; n++)
        {
          g_string_append_c (text, 'x');
        }
      g_string_append (text, "\r\n\r\n");
    }
  return text;
}

/* Sends TEXT to SERVER at ADDRESS.  Returns the status of the answer; 0: there
   is none.  */
static uint32_t
send_head (uv_loop_t *loop, const char *address, const GString *text)
{
  char answer[64] = "";
  ssize_t count = 0;
  int fd = csk_connect (address);
  assert_int_equal (send (fd, text->str, text->len, MSG_NOSIGNAL), text->len);
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (count <= 0 && clk_monotonic_us () < end_us)
    {
      uv_run (loop, UV_RUN_NOWAIT);
      count = recv (fd, answer, sizeof answer - 1, MSG_DONTWAIT);
    }
  close (fd);
  return g_str_has_prefix (answer, "HTTP/1.1 ")
             ? (uint32_t)g_ascii_strtoull (answer + 9, NULL, 10)
             : 0;
}

/* Guards against heads of many times the limit, whose lines are so short that
   their names and values don't exceed it.  */
static void
test_limit (void **state)
{
  (void)state;
  uint32_t failures = 0;
  uv_loop_t loop;
  const struct nsv_limits limits = {
    .header_bytes_max = HEADER_BYTES_MAX,
    .body_bytes_max = 65536,
    .header_timeout_us = TIMEOUT_US,
    .idle_timeout_us = TIMEOUT_US,
    .unsent_bytes_max = 65536,
    .user_timeout_ms = 20000,
    .connections_max = 64,
  };
  uv_loop_init (&loop);
  struct nsv_server *server
      = nsv_create (&loop, "127.0.0.1:0", &limits, &events, NULL, NULL);
  assert_non_null (server);
  g_autofree char *address = nsv_address (server);
  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      GString *text = build_head (i);
      uint32_t status = send_head (&loop, address, text);
      if (status != heads[i].status)
        {
          failures++;
          print_message ("%s: status %u\n", heads[i].name, status);
        }
      g_string_free (text, TRUE);
    }
  nsv_destroy (server);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
  assert_int_equal (failures, 0);
}

/* Returns the processor time in microseconds that it takes to copy a head with
   COUNT lines, and a Connection header with WORDS names unless that is 0.  */
static int64_t
time_copy (uint32_t count, uint32_t words)
{
  struct msg_message message;
  int64_t least_us = INT64_MAX;
  msg_init (&message);
  for (uint32_t i = 0; i < count; i++)
    {
      msg_add_name (&message, "a", 1);
      msg_add_value (&message, "", 0);
    }
  for (uint32_t i = 0; i < words; i++)
    {
      if (i == 0)
        {
          msg_add_name (&message, "Connection", 10);
        }
      msg_add_value (&message, "bc, ", 4);
    }
  msg_end_headers (&message);
  for (uint32_t i = 0; i < 7; i++)
    {
      GString *head = g_string_new (NULL);
      struct timespec begin;
      struct timespec end;
      clock_gettime (CLOCK_THREAD_CPUTIME_ID, &begin);
      msg_copy_headers (&message, NULL, head);
      clock_gettime (CLOCK_THREAD_CPUTIME_ID, &end);
      int64_t took_us = (end.tv_sec - begin.tv_sec) * CLK_S_US
                        + (end.tv_nsec - begin.tv_nsec) / 1000;
      least_us = MIN (least_us, took_us);
      assert_int_equal (head->len, 5 * (size_t)count);
      g_string_free (head, TRUE);
    }
  msg_clear (&message);
  return least_us;
}

/* Guards against time that grows faster than the bytes of a head: eight times
   the lines may take three times eight as long, not eight times eight.  */
static void
test_copy_is_linear (void **state)
{
  (void)state;
  static const uint32_t words[] = { 0, 250 };
  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    {
      int64_t few_us = time_copy (2000, words[i]);
      int64_t many_us = time_copy (16000, 8 * words[i]);
      print_message ("%u words: 2,000 lines %ld us, 16,000 lines %ld us\n",
                     words[i], (long)few_us, (long)many_us);
      assert_true (many_us <= 24 * MAX (few_us, 1));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limit),
    cmocka_unit_test (test_copy_is_linear),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
