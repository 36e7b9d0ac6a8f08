#include "base/clock.h"
#include "peer/hub.h"

#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define LENGTH(table) (sizeof (table) / sizeof (table)[0])

#define LARGE_BYTES (UINT32_C (3) << 20)

/* No test waits that long unless it fails. */
#define PATIENCE_US (20 * CLK_S_US)

/* One hub and what it was told. */
struct node
{
  struct peer_hub *hub;
  uint32_t messages;
  uint64_t last_version;
  char sender[64];
};

static void
on_message (void *user_data, const struct hsk_identity *sender,
            const Peer__Envelope *envelope)
{
  struct node *node = user_data;
  node->messages++;
  g_strlcpy (node->sender, sender->name, sizeof node->sender);
  if (envelope->body_case == PEER__ENVELOPE__BODY_CONFIG_REQUEST)
    {
      node->last_version = envelope->config_request->newer_than;
    }
}

static void
start_with (struct node *node, const struct peer_settings *settings)
{
  const struct peer_callbacks callbacks = { .on_message = on_message };
  GError *error = NULL;
  *node = (struct node){ 0 };
  node->hub = peer_hub_create (g_main_context_default (), settings, &callbacks,
                               node, &error);
  assert_null (error);
  assert_non_null (node->hub);
}

static void
start (struct node *node, const char *name, const char *secret)
{
  const struct peer_settings settings = {
    .name = name, .address = "127.0.0.1:0", .secret = secret, .incarnation = 1
  };
  start_with (node, &settings);
}

static void
send_version (struct node *from, const char *to, uint64_t version)
{
  Peer__ConfigRequest request = PEER__CONFIG_REQUEST__INIT;
  request.newer_than = version;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  envelope.body_case = PEER__ENVELOPE__BODY_CONFIG_REQUEST;
  envelope.config_request = &request;
  peer_hub_send (from->hub, to, &envelope);
}

static gboolean
wake_up (gpointer data)
{
  (void)data;
  return G_SOURCE_CONTINUE;
}

/* Runs the main loop until HOLDS says so; fails after PATIENCE_US. */
static void
run_until (bool (*holds) (const void *), const void *data)
{
  const int64_t end_us = clk_monotonic_us () + PATIENCE_US;
  const guint timer = g_timeout_add (5, wake_up, NULL);
  while (!holds (data) && clk_monotonic_us () < end_us)
    {
      g_main_context_iteration (NULL, TRUE);
    }
  g_source_remove (timer);
  assert_true (holds (data));
}

static bool
has_message (const void *data)
{
  return ((const struct node *)data)->messages > 0;
}

static bool
has_rejected (const void *data)
{
  const struct node *node = data;
  return peer_hub_stats (node->hub).rejected > 0;
}

static bool
has_found_silence (const void *data)
{
  const struct node *node = data;
  return peer_hub_stats (node->hub).timed_out > 0;
}

static void
messages_go_both_ways_on_one_connection (void **state)
{
  (void)state;
  struct node a;
  struct node b;
  start (&a, "entry-a", "secret");
  start (&b, "entry-b", "secret");
  send_version (&a, peer_hub_address (b.hub), 41);
  run_until (has_message, &b);
  assert_int_equal (b.last_version, 41);
  assert_string_equal (b.sender, "entry-a");
  send_version (&b, peer_hub_address (a.hub), 42);
  run_until (has_message, &a);
  assert_int_equal (a.last_version, 42);
  assert_string_equal (a.sender, "entry-b");
  assert_int_equal (peer_hub_stats (a.hub).dialled, 1);
  assert_int_equal (peer_hub_stats (b.hub).dialled, 0);
  peer_hub_destroy (a.hub);
  peer_hub_destroy (b.hub);
}

static void
a_wrong_secret_is_refused (void **state)
{
  (void)state;
  static const struct
  {
    const char *dialler;
    const char *listener;
  } cases[] = { { "secret", "other" }, { "", "secret" }, { "secret", "" } };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      struct node a;
      struct node b;
      start (&a, "entry-a", cases[i].dialler);
      start (&b, "entry-b", cases[i].listener);
      send_version (&a, peer_hub_address (b.hub), 1);
      run_until (has_rejected, &a);
      assert_int_equal (b.messages, 0);
      peer_hub_destroy (a.hub);
      peer_hub_destroy (b.hub);
    }
}

/* Connects a plain socket to NODE. */
static int
connect_to (const struct node *node)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (peer_hub_port (node->hub)),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  return fd;
}

struct rejected
{
  const char *name;
  const char *bytes;
  size_t size;
};

#define REJECTED(name, text)                                                  \
  {                                                                           \
    name, (text), sizeof (text) - 1                                           \
  }

/* Each one closes its connection with one line and harms no other. */
static void
bad_first_frames_close_the_connection (void **state)
{
  (void)state;
  static const struct rejected cases[] = {
    REJECTED ("oversized", "\x7f\xff\xff\xff"),
    REJECTED ("over the bound before the hello", "\0\0\x10\x01"),
    REJECTED ("text", "GET / HTTP/1.1\r\n\r\n"),
    REJECTED ("malformed", "\0\0\0\x02\x0a\x7f"),
    REJECTED ("heartbeat before hello", "\0\0\0\x02\x1a\0"),
    REJECTED ("empty envelope", "\0\0\0\0"),
    REJECTED ("hello without version", "\0\0\0\x02\x0a\0"),
    REJECTED ("hello without nonce", "\0\0\0\x04\x0a\x02\x08\x01"),
    REJECTED ("membership before hello", "\0\0\0\x02\x52\0"),
  };
  struct node good;
  start (&good, "entry-b", "secret");
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      struct node node;
      start (&node, "entry-a", "secret");
      const int fd = connect_to (&node);
      assert_int_equal (write (fd, cases[i].bytes, cases[i].size),
                        cases[i].size);
      run_until (has_rejected, &node);
      char byte;
      const ssize_t got = read (fd, &byte, 1);
      assert_true (got == 0 || (got < 0 && errno == ECONNRESET));
      send_version (&good, peer_hub_address (node.hub), i);
      run_until (has_message, &node);
      assert_int_equal (peer_hub_stats (node.hub).rejected, 1);
      close (fd);
      peer_hub_destroy (node.hub);
    }
  peer_hub_destroy (good.hub);
}

/* A hub that never runs is as silent as a connection whose other end was
   forgotten; a new connection works.  */
static void
a_silent_connection_is_abandoned (void **state)
{
  (void)state;
  GMainContext *frozen = g_main_context_new ();
  const struct peer_callbacks callbacks = { .on_message = on_message };
  const struct peer_settings settings = { .name = "entry-b",
                                          .address = "127.0.0.1:0",
                                          .secret = "secret",
                                          .incarnation = 1 };
  struct node b = { 0 };
  b.hub = peer_hub_create (frozen, &settings, &callbacks, &b, NULL);
  const struct peer_settings quick = { .name = "entry-a",
                                       .address = "127.0.0.1:0",
                                       .secret = "secret",
                                       .incarnation = 1,
                                       .heartbeat_interval_us = 20 * CLK_MS_US,
                                       .receive_timeout_us = 200 * CLK_MS_US };
  struct node a;
  start_with (&a, &quick);
  send_version (&a, peer_hub_address (b.hub), 1);
  while (b.messages == 0)
    {
      g_main_context_iteration (NULL, FALSE);
      g_main_context_iteration (frozen, FALSE);
    }
  run_until (has_found_silence, &a);
  assert_int_equal (peer_hub_stats (a.hub).open, 0);
  send_version (&a, peer_hub_address (b.hub), 2);
  while (b.last_version != 2)
    {
      g_main_context_iteration (NULL, FALSE);
      g_main_context_iteration (frozen, FALSE);
    }
  assert_int_equal (peer_hub_stats (a.hub).dialled, 2);
  peer_hub_destroy (a.hub);
  peer_hub_destroy (b.hub);
  g_main_context_unref (frozen);
}

/* Heartbeats alone keep a connection past the bound on silence. */
static bool
has_outlived_the_bound (const void *data)
{
  const int64_t *end_us = data;
  return clk_monotonic_us () > *end_us;
}

static void
heartbeats_keep_a_connection (void **state)
{
  (void)state;
  struct node nodes[2];
  for (int i = 0; i < 2; i++)
    {
      const struct peer_settings settings
          = { .name = i == 0 ? "entry-a" : "entry-b",
              .address = "127.0.0.1:0",
              .secret = "secret",
              .incarnation = 1,
              .heartbeat_interval_us = 20 * CLK_MS_US,
              .receive_timeout_us = 2 * CLK_S_US };
      start_with (&nodes[i], &settings);
    }
  send_version (&nodes[0], peer_hub_address (nodes[1].hub), 1);
  run_until (has_message, &nodes[1]);
  const int64_t end_us = clk_monotonic_us () + 3 * CLK_S_US;
  run_until (has_outlived_the_bound, &end_us);
  assert_int_equal (peer_hub_stats (nodes[0].hub).open, 1);
  assert_int_equal (peer_hub_stats (nodes[0].hub).timed_out, 0);
  peer_hub_destroy (nodes[0].hub);
  peer_hub_destroy (nodes[1].hub);
}

static void
connections_are_bounded (void **state)
{
  (void)state;
  enum
  {
    OTHERS = 6,
    BOUND = 3
  };
  const struct peer_settings settings = { .name = "entry-a",
                                          .address = "127.0.0.1:0",
                                          .secret = "secret",
                                          .incarnation = 1,
                                          .connections_max = BOUND };
  struct node a;
  struct node others[OTHERS];
  start_with (&a, &settings);
  for (int i = 0; i < OTHERS; i++)
    {
      start (&others[i], "entry-b", "secret");
      send_version (&a, peer_hub_address (others[i].hub), 1);
      run_until (has_message, &others[i]);
      assert_in_range (peer_hub_stats (a.hub).open, 1, BOUND);
    }
  assert_int_equal (peer_hub_stats (a.hub).dialled, OTHERS);
  peer_hub_destroy (a.hub);
  for (int i = 0; i < OTHERS; i++)
    {
      peer_hub_destroy (others[i].hub);
    }
}

static void
strangers_do_not_push_out_peers (void **state)
{
  (void)state;
  const struct peer_settings settings = { .name = "entry-a",
                                          .address = "127.0.0.1:0",
                                          .secret = "secret",
                                          .incarnation = 1,
                                          .connections_max = 2 };
  struct node a;
  struct node b;
  start_with (&a, &settings);
  start (&b, "entry-b", "secret");
  send_version (&b, peer_hub_address (a.hub), 1);
  run_until (has_message, &a);
  int strangers[5];
  for (size_t i = 0; i < LENGTH (strangers); i++)
    {
      strangers[i] = connect_to (&a);
      while (peer_hub_stats (a.hub).accepted < i + 2)
        {
          g_main_context_iteration (NULL, FALSE);
        }
    }
  assert_int_equal (peer_hub_stats (a.hub).open, 1);
  for (size_t i = 0; i < LENGTH (strangers); i++)
    {
      close (strangers[i]);
    }
  peer_hub_destroy (a.hub);
  peer_hub_destroy (b.hub);
}

static void
a_large_message_arrives_whole (void **state)
{
  (void)state;
  struct node a;
  struct node b;
  start (&a, "entry-a", "secret");
  start (&b, "entry-b", "secret");
  Peer__ConfigReply reply = PEER__CONFIG_REPLY__INIT;
  reply.yaml.len = LARGE_BYTES;
  reply.yaml.data = g_malloc0 (reply.yaml.len);
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  envelope.body_case = PEER__ENVELOPE__BODY_CONFIG_REPLY;
  envelope.config_reply = &reply;
  peer_hub_send (a.hub, peer_hub_address (b.hub), &envelope);
  run_until (has_message, &b);
  g_free (reply.yaml.data);
  peer_hub_destroy (a.hub);
  peer_hub_destroy (b.hub);
}

static void
bad_addresses_are_refused (void **state)
{
  (void)state;
  static const char *const addresses[] = { "",
                                           "127.0.0.1",
                                           "localhost:7000",
                                           "127.0.0.1:x",
                                           "256.0.0.1:0",
                                           "127.0.0.1:70000" };
  const struct peer_callbacks callbacks = { .on_message = on_message };
  for (size_t i = 0; i < LENGTH (addresses); i++)
    {
      const struct peer_settings settings
          = { .name = "entry-a", .address = addresses[i], .secret = "" };
      GError *error = NULL;
      assert_null (peer_hub_create (g_main_context_default (), &settings,
                                    &callbacks, NULL, &error));
      assert_non_null (error);
      g_clear_error (&error);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (messages_go_both_ways_on_one_connection),
    cmocka_unit_test (a_wrong_secret_is_refused),
    cmocka_unit_test (bad_first_frames_close_the_connection),
    cmocka_unit_test (a_silent_connection_is_abandoned),
    cmocka_unit_test (heartbeats_keep_a_connection),
    cmocka_unit_test (connections_are_bounded),
    cmocka_unit_test (strangers_do_not_push_out_peers),
    cmocka_unit_test (a_large_message_arrives_whole),
    cmocka_unit_test (bad_addresses_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
