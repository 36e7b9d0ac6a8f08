/* Tests of the headers that endpoint/connection sends and receives, with a
   plain socket as the server. */
#include "endpoint/connection.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define TIMEOUT_US INT64_C (5000000)

/* A server for one request.  A value of N bytes in a header is a letter that
   is repeated N times. */
struct server
{
  int listener;
  uint32_t answer_bytes; /* of the Content-Type in the response; 0: none */
  GString *request;      /* its headers */
};

static void *
serve (void *data)
{
  struct server *server = data;
  int fd = accept (server->listener, NULL, NULL);
  char byte;
  while (strstr (server->request->str, "\r\n\r\n") == NULL
         && recv (fd, &byte, 1, 0) == 1)
    {
      g_string_append_c (server->request, byte);
    }
  g_autofree char *type = g_strnfill (server->answer_bytes, 't');
  g_autofree char *header = g_strdup_printf (
      "%s%s%s", server->answer_bytes > 0 ? "Content-Type: " : "", type,
      server->answer_bytes > 0 ? "\r\n" : "");
  g_autofree char *response = g_strdup_printf (
      "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", header);
  send (fd, response, strlen (response), MSG_NOSIGNAL);
  close (fd);
  return NULL;
}

/* Listens on a port that the kernel chooses, and returns it.  */
static uint16_t
start_listening (struct server *server)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (server->listener, (struct sockaddr *)&address, size),
                    0);
  assert_int_equal (listen (server->listener, 1), 0);
  getsockname (server->listener, (struct sockaddr *)&address, &size);
  return ntohs (address.sin_port);
}

/* Lengths of the values of one call, in bytes; 0: the header is missing. */
struct header_case
{
  uint32_t content_type;
  uint32_t request_id;
  uint32_t bearer;
  uint32_t answer_content_type;
};

static const struct header_case header_cases[] = {
  { 16, 0, 0, 0 },   { 0, 16, 0, 16 },  { 112, 112, 0, 62 },
  { 113, 0, 0, 63 }, { 114, 0, 0, 64 }, { 0, 113, 0, 65 },
  { 0, 114, 0, 0 },  { 0, 115, 0, 0 },  { 200, 200, 500, 200 },
};

/* Returns whether REQUEST has the header NAME with VALUE; an empty VALUE is
   taken for a header that needn't be there.  */
static bool
has_header (const char *request, const char *name, const char *value)
{
  g_autofree char *line = g_strdup_printf ("\r\n%s%s\r\n", name, value);
  return value[0] == '\0' || strstr (request, line) != NULL;
}

/* Values of headers arrive whole, whatever their length.  Guards against a
   Content-Type whose boundary was cut off, so that the endpoint, or the
   caller, couldn't parse the body.  */
static void
headers_arrive_whole (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (header_cases); i++)
    {
      const struct header_case *test_case = &header_cases[i];
      struct server server
          = { .request = g_string_new (NULL),
              .answer_bytes = test_case->answer_content_type };
      g_autofree char *url
          = g_strdup_printf ("http://127.0.0.1:%u", start_listening (&server));
      g_autofree char *type = g_strnfill (test_case->content_type, 'c');
      g_autofree char *id = g_strnfill (test_case->request_id, 'r');
      g_autofree char *bearer = g_strnfill (test_case->bearer, 'b');
      g_autofree char *answered
          = g_strnfill (test_case->answer_content_type, 't');
      const struct con_call call = {
        .method = "GET",
        .path = "/",
        .content_type = type[0] != '\0' ? type : NULL,
        .request_id = id[0] != '\0' ? id : NULL,
        .bearer = bearer[0] != '\0' ? bearer : NULL,
        .timeout_us = TIMEOUT_US,
        .new_connection = true,
      };
      pthread_t thread;
      struct con_answer answer;
      struct con_pool *pool = con_pool_create (url);
      assert_int_equal (pthread_create (&thread, NULL, serve, &server), 0);
      assert_int_equal (con_call_run (pool, &call, &answer), ERR_NONE);
      pthread_join (thread, NULL);
      if (!has_header (server.request->str, "Content-Type: ", type)
          || !has_header (server.request->str, "X-Request-Id: ", id)
          || !has_header (server.request->str, "Authorization: Bearer ",
                          bearer)
          || g_strcmp0 (answer.content_type,
                        answered[0] != '\0' ? answered : NULL)
                 != 0)
        {
          fail_msg ("case %zu: the server received \"%s\", the answer has "
                    "Content-Type \"%s\"",
                    i, server.request->str, answer.content_type);
        }
      con_answer_clear (&answer);
      con_pool_destroy (pool);
      close (server.listener);
      g_string_free (server.request, TRUE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (headers_arrive_whole),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
