/* Tests of peer/hub: hubs on one main loop that connect to each other over
   loopback, and plain sockets that send invalid data to a hub.  */
#include "base/clock.h"
#include "config/parse.h"
#include "peer/frame.h"
#include "peer/hub.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define LENGTH(table) (sizeof (table) / sizeof (table)[0])

#define LARGE_BYTES (UINT32_C (3) << 20) /* below FRM_BYTES_MAX */

/* A test fails when a condition isn't met within this time. */
#define CONDITION_TIMEOUT_US (20 * CLK_S_US)

/* A hub and the messages that it has received. */
struct node
{
  struct peer_hub *hub;
  uint32_t messages;
  uint64_t last_version; /* of the last ConfigRequest */
  char sender[64];       /* name; of the last message */
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

/* Timer that makes an iteration of the main loop return without an event.  */
static gboolean
wake_up (gpointer data)
{
  (void)data;
  return G_SOURCE_CONTINUE;
}

/* Runs the main loop until CONDITION returns true for DATA; fails after
   CONDITION_TIMEOUT_US.  */
static void
run_until (bool (*condition) (const void *), const void *data)
{
  const int64_t end_us = clk_monotonic_us () + CONDITION_TIMEOUT_US;
  const guint timer = g_timeout_add (5, wake_up, NULL);
  while (!condition (data) && clk_monotonic_us () < end_us)
    {
      g_main_context_iteration (NULL, TRUE);
    }
  g_source_remove (timer);
  assert_true (condition (data));
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
has_accepted (const void *data)
{
  const struct node *node = data;
  return peer_hub_stats (node->hub).accepted > 0;
}

static bool
has_timed_out (const void *data)
{
  const struct node *node = data;
  return peer_hub_stats (node->hub).timed_out > 0;
}

static void
one_connection_carries_messages_both_ways (void **state)
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
wrong_secrets_are_rejected (void **state)
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

/* Returns a plain socket that is connected to NODE's hub.  */
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

/* The first bytes on a connection, which the hub must reject. */
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

/* An invalid first frame closes its connection, is counted and logged once,
   and doesn't affect other connections.  */
static void
invalid_first_frames_close_the_connection (void **state)
{
  (void)state;
  static const struct rejected cases[] = {
    REJECTED ("oversized", "\x7f\xff\xff\xff"),
    REJECTED ("over the limit before the hello", "\0\0\x10\x01"),
    REJECTED ("HTTP request", "GET / HTTP/1.1\r\n\r\n"),
    REJECTED ("malformed", "\0\0\0\x02\x0a\x7f"),
    REJECTED ("heartbeat before hello", "\0\0\0\x02\x1a\0"),
    REJECTED ("empty envelope", "\0\0\0\0"),
    REJECTED ("hello without version", "\0\0\0\x02\x0a\0"),
    REJECTED ("hello without nonce", "\0\0\0\x04\x0a\x02\x08\x01"),
    REJECTED ("membership before hello", "\0\0\0\x02\x52\0"),
  };
  struct node other;
  start (&other, "entry-b", "secret");
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
      send_version (&other, peer_hub_address (node.hub), i);
      run_until (has_message, &node);
      assert_int_equal (peer_hub_stats (node.hub).rejected, 1);
      close (fd);
      peer_hub_destroy (node.hub);
    }
  peer_hub_destroy (other.hub);
}

/* A connection from whose other end nothing is received times out, and a new
   connection can be opened afterwards.  The main loop of the other hub isn't
   run during the timeout, so that the hub sends no heartbeats, as if its host
   had vanished.  */
static void
a_connection_without_data_times_out (void **state)
{
  (void)state;
  GMainContext *other_context = g_main_context_new ();
  const struct peer_callbacks callbacks = { .on_message = on_message };
  const struct peer_settings settings = { .name = "entry-b",
                                          .address = "127.0.0.1:0",
                                          .secret = "secret",
                                          .incarnation = 1 };
  struct node b = { 0 };
  b.hub = peer_hub_create (other_context, &settings, &callbacks, &b, NULL);
  const struct peer_settings short_timeouts
      = { .name = "entry-a",
          .address = "127.0.0.1:0",
          .secret = "secret",
          .incarnation = 1,
          .heartbeat_interval_us = 20 * CLK_MS_US,
          .receive_timeout_us = 200 * CLK_MS_US };
  struct node a;
  start_with (&a, &short_timeouts);
  send_version (&a, peer_hub_address (b.hub), 1);
  while (b.messages == 0)
    {
      g_main_context_iteration (NULL, FALSE);
      g_main_context_iteration (other_context, FALSE);
    }
  run_until (has_timed_out, &a);
  assert_int_equal (peer_hub_stats (a.hub).open, 0);
  send_version (&a, peer_hub_address (b.hub), 2);
  while (b.last_version != 2)
    {
      g_main_context_iteration (NULL, FALSE);
      g_main_context_iteration (other_context, FALSE);
    }
  assert_int_equal (peer_hub_stats (a.hub).dialled, 2);
  peer_hub_destroy (a.hub);
  peer_hub_destroy (b.hub);
  g_main_context_unref (other_context);
}

static bool
is_past (const void *data)
{
  const int64_t *end_us = data;
  return clk_monotonic_us () > *end_us;
}

/* With nothing but heartbeats, a connection stays open longer than the receive
   timeout.  */
static void
heartbeats_keep_a_connection_open (void **state)
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
  run_until (is_past, &end_us);
  assert_int_equal (peer_hub_stats (nodes[0].hub).open, 1);
  assert_int_equal (peer_hub_stats (nodes[0].hub).timed_out, 0);
  peer_hub_destroy (nodes[0].hub);
  peer_hub_destroy (nodes[1].hub);
}

static void
the_number_of_connections_is_limited (void **state)
{
  (void)state;
  enum
  {
    PEERS = 6,
    LIMIT = 3
  };
  const struct peer_settings settings = { .name = "entry-a",
                                          .address = "127.0.0.1:0",
                                          .secret = "secret",
                                          .incarnation = 1,
                                          .connections_max = LIMIT };
  struct node a;
  struct node peers[PEERS];
  start_with (&a, &settings);
  for (int i = 0; i < PEERS; i++)
    {
      start (&peers[i], "entry-b", "secret");
      send_version (&a, peer_hub_address (peers[i].hub), 1);
      run_until (has_message, &peers[i]);
      assert_in_range (peer_hub_stats (a.hub).open, 1, LIMIT);
    }
  assert_int_equal (peer_hub_stats (a.hub).dialled, PEERS);
  peer_hub_destroy (a.hub);
  for (int i = 0; i < PEERS; i++)
    {
      peer_hub_destroy (peers[i].hub);
    }
}

/* At the limit, connections that haven't finished the handshake are closed
   before that of a peer.  */
static void
unauthenticated_clients_do_not_evict_peers (void **state)
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
  int clients[5];
  for (size_t i = 0; i < LENGTH (clients); i++)
    {
      clients[i] = connect_to (&a);
      while (peer_hub_stats (a.hub).accepted < i + 2)
        {
          g_main_context_iteration (NULL, FALSE);
        }
    }
  assert_int_equal (peer_hub_stats (a.hub).open, 1);
  for (size_t i = 0; i < LENGTH (clients); i++)
    {
      close (clients[i]);
    }
  peer_hub_destroy (a.hub);
  peer_hub_destroy (b.hub);
}

static void
large_messages_are_delivered (void **state)
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

/* A configuration that is sent to a peer. */
struct size_case
{
  uint32_t yaml_bytes;
  bool sent;
};

/* The largest configuration reaches the peer, and a message that is too long
   for a frame is dropped; the connection stays open in any case.  Guards
   against a connection that was closed, and dialled again, for each message
   that the peer had to reject.  */
static void
message_sizes_do_not_close_the_connection (void **state)
{
  (void)state;
  static const struct size_case cases[] = {
    { CFG_TEXT_BYTES_MAX - 1, true },
    { CFG_TEXT_BYTES_MAX, true },
    { FRM_BYTES_MAX, false },
    { 2 * FRM_BYTES_MAX, false },
  };
  for (size_t i = 0; i < LENGTH (cases); i++)
    {
      struct node a;
      struct node b;
      start (&a, "entry-a", "secret");
      start (&b, "entry-b", "secret");
      Peer__ConfigReply reply = PEER__CONFIG_REPLY__INIT;
      reply.version = UINT64_MAX;
      reply.yaml.len = cases[i].yaml_bytes;
      reply.yaml.data = g_malloc0 (reply.yaml.len);
      Peer__Envelope envelope = PEER__ENVELOPE__INIT;
      envelope.body_case = PEER__ENVELOPE__BODY_CONFIG_REPLY;
      envelope.config_reply = &reply;
      peer_hub_send (a.hub, peer_hub_address (b.hub), &envelope);
      send_version (&a, peer_hub_address (b.hub), 1);
      g_free (reply.yaml.data);
      const int64_t end_us = clk_monotonic_us () + CLK_S_US;
      while (b.last_version != 1 && clk_monotonic_us () < end_us)
        {
          g_main_context_iteration (NULL, FALSE);
        }
      const struct peer_stats sent = peer_hub_stats (a.hub);
      const struct peer_stats received = peer_hub_stats (b.hub);
      if (b.messages != (cases[i].sent ? 2 : 1) || received.rejected != 0
          || sent.dropped != !cases[i].sent)
        {
          fail_msg ("%u bytes: %u messages received, %" PRIu64
                    " connections rejected, %" PRIu64 " messages dropped",
                    cases[i].yaml_bytes, b.messages, received.rejected,
                    sent.dropped);
        }
      peer_hub_destroy (a.hub);
      peer_hub_destroy (b.hub);
    }
}

/* Lowers the limit on open files so that none can be opened.  Returns the
   limits to restore.  */
static struct rlimit
exhaust_descriptors (void)
{
  struct rlimit old;
  assert_int_equal (getrlimit (RLIMIT_NOFILE, &old), 0);
  const int next = fcntl (STDIN_FILENO, F_DUPFD, 0);
  assert_true (next >= 0);
  close (next);
  const struct rlimit low
      = { .rlim_cur = (rlim_t)next, .rlim_max = old.rlim_max };
  assert_int_equal (setrlimit (RLIMIT_NOFILE, &low), 0);
  return old;
}

/* A hub that can't accept for lack of descriptors sleeps between its attempts,
   and accepts the waiting connection once there are some.  Guards against a
   main loop that used a whole core meanwhile.  */
static void
lack_of_descriptors_does_not_spin (void **state)
{
  (void)state;
  const struct peer_settings settings
      = { .name = "entry-a",
          .address = "127.0.0.1:0",
          .secret = "secret",
          .incarnation = 1,
          .heartbeat_interval_us = 50 * CLK_MS_US };
  struct node node;
  start_with (&node, &settings);
  const int fd = connect_to (&node);
  const struct rlimit old = exhaust_descriptors ();
  const int64_t end_us = clk_monotonic_us () + CLK_S_US;
  uint32_t turns = 0;
  while (clk_monotonic_us () < end_us)
    {
      g_main_context_iteration (NULL, TRUE);
      turns++;
    }
  setrlimit (RLIMIT_NOFILE, &old);
  assert_int_equal (peer_hub_stats (node.hub).accepted, 0);
  /* A few in each of 20 intervals of the timer. */
  assert_in_range (turns, 1, 200);
  run_until (has_accepted, &node);
  close (fd);
  peer_hub_destroy (node.hub);
}

static void
invalid_addresses_are_rejected (void **state)
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
    cmocka_unit_test (one_connection_carries_messages_both_ways),
    cmocka_unit_test (wrong_secrets_are_rejected),
    cmocka_unit_test (invalid_first_frames_close_the_connection),
    cmocka_unit_test (a_connection_without_data_times_out),
    cmocka_unit_test (heartbeats_keep_a_connection_open),
    cmocka_unit_test (the_number_of_connections_is_limited),
    cmocka_unit_test (unauthenticated_clients_do_not_evict_peers),
    cmocka_unit_test (large_messages_are_delivered),
    cmocka_unit_test (message_sizes_do_not_close_the_connection),
    cmocka_unit_test (lack_of_descriptors_does_not_spin),
    cmocka_unit_test (invalid_addresses_are_rejected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
