/* Tests of `kumquatthread serve': crowds of callers outside the limits.  The
   process must live and stay within the memory and the descriptors of its
   host, and an ordinary request must be answered while the crowd is still
   connected.  Crowd and bounds follow from the settings below. */
#include "base/clock.h"
#include "standin/fleet.h"
#include "standin/platform.h"
#include "standin/process_status.h"
#include "standin/service.h"
#include "test/crowd.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

/* The memory of the host, and the limit on a body. */
#define MEMORY_MB 64
#define BODY_BYTES_MAX 1048576

/* The bodies of a crowd are together one and a half times the memory, and all
   of them may be read at a time. */
#define CROWD (MEMORY_MB * 3 / 2)
#define THREADS (CROWD + 8)
#define CALLER_TIMEOUT_MS 1500

/* Each thread holds a caller's connection, one to a service and the two
   sockets with which libcurl wakes a transfer; the daemon's own are fewer
   than 64. */
#define DESCRIPTORS (4 * THREADS + 64)

/* The longest time in which a crowd sends, for which it then stays connected,
   and for which an ordinary request is tried. */
#define SEND_US (8 * CLK_S_US)
#define HOLD_US (1500 * CLK_MS_US)
#define ROUND_US (10 * CLK_MS_US)
#define SERVED_WITHIN_US (20 * CLK_S_US)

#define TOKEN "clerk-token"

/* A large body that arrives piece by piece. */
#define PIECE_BYTES 2048
#define LARGEST "Content-Length: 1048576\r\n\r\n"

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define LOOK_UP                                                               \
  "GET /v1/services/bookings/lookup?job=17 HTTP/1.1\r\nHost: x\r\n"           \
  "Authorization: Bearer " TOKEN "\r\n"

static const struct crw_load loads[] = {
  { .name = "chunked bodies, large chunks",
    .callers = CROWD,
    .chunk_bytes = 65536,
    .headers = CHUNKED,
    .bytes = BODY_BYTES_MAX,
    .end = "0\r\n\r\n" },
  { .name = "chunked bodies, chunks of a byte",
    .callers = CROWD,
    .chunk_bytes = 1,
    .headers = CHUNKED,
    .bytes = BODY_BYTES_MAX / 2 + 1,
    .end = "0\r\n\r\n" },
  { .name = "bodies that stop short of their end",
    .callers = CROWD,
    .chunk_bytes = 16384,
    .headers = CHUNKED,
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "announced bodies that stop short of their end",
    .callers = CROWD,
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX - 1,
    .end = "" },
  { .name = "bodies over the limit, announced",
    .callers = CROWD,
    .headers = "Content-Length: 67108864\r\n\r\n",
    .unit = "x",
    .bytes = (uint64_t)64 * BODY_BYTES_MAX,
    .end = "" },
  { .name = "bodies over the limit, sent",
    .callers = CROWD,
    .chunk_bytes = 65536,
    .headers = CHUNKED,
    .bytes = (uint64_t)64 * BODY_BYTES_MAX,
    .end = "" },
  { .name = "heads without end",
    .callers = CROWD,
    .headers = "",
    .unit = "X-Filler: abcdefghijklmnop\r\n",
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "chunk extensions without end",
    .callers = CROWD,
    .headers = CHUNKED,
    .unit = "1;abcdefghijklmnop",
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "trailers without end",
    .callers = CROWD,
    .headers = CHUNKED "0\r\n",
    .unit = "X-Filler: abcdefghijklmnop\r\n",
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "a byte now and then",
    .callers = THREADS,
    .chunk_bytes = 16384,
    .headers = CHUNKED,
    .bytes = BODY_BYTES_MAX / 2 + 16384,
    .end = "",
    .trickle = "1\r\nx\r\n" },
  { .name = "pipelined requests, responses not read",
    .callers = CROWD,
    .headers = "Content-Length: 0\r\n\r\n",
    .unit = LOOK_UP "\r\n",
    .bytes = 61440,
    .end = "" },
  { .name = "callers that say nothing", .callers = THREADS, .end = "" },
  { .name = "announced bodies, whole",
    .callers = CROWD,
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "announced bodies, piece by piece",
    .callers = CROWD,
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX,
    .end = "",
    .piece_bytes = PIECE_BYTES },
  { .name = "announced bodies, piece by piece, that stop short of their end",
    .callers = CROWD,
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX - 1,
    .end = "",
    .piece_bytes = PIECE_BYTES },
};

/* A crowd whose callers send different loads in turn, the first MIXED_LOADS.
 */
#define MIX G_N_ELEMENTS (loads)
#define MIXED_LOADS 12

static const char configuration[]
    = "version: 1\n"
      "accounts:\n"
      "  - {name: clerks, token_sha256: %s, requests_per_s: 1000,"
      " tokens_per_s: 10000, streams: 1000, weight: 1}\n"
      "models:\n"
      "  - {name: draft, layers: 24, layer_memory_mib: 512,"
      " activation_bytes: 16, demand_weight: 1}\n"
      "data_centres:\n"
      "  - {name: kingston-1, region: kingston}\n"
      "hosts:\n"
      "  - {name: booking-1, address: '127.0.0.1:%u', role: service,"
      " data_centre: kingston-1, service: bookings}\n"
      "services:\n"
      "  - {name: bookings, idempotent: [{method: GET, path_prefix: /}]}\n"
      "rules: {profile: throughput, spare_hosts: 1, key_lifetime_s: 86400,"
      " queue_length: 256, default_deadline_ms: 60000, max_tokens: 1024,"
      " prompt_bytes: 65536}\n";

static const char settings[] = "name: entry-1\n"
                               "data_centre: kingston-1\n"
                               "caller_address: 127.0.0.1:0\n"
                               "operator_address: 127.0.0.1:0\n"
                               "peer_address: 127.0.0.1:%u\n"
                               "log_urls: ['http://127.0.0.1:%u']\n"
                               "host_list_url: http://127.0.0.1:%u\n"
                               "operator_token_file: operator.token\n"
                               "peer_secret_file: peer.secret\n"
                               "log_level: notice\n"
                               "traffic_threads: %u\n"
                               "caller_timeout_ms: %u\n"
                               "memory_mb: %u\n";

struct fixture
{
  struct jn_journal *journal;
  struct fp_platform *platform;
  struct fs_service *service;
  char *folder;
  char *executable;
  char *caller_address;
  char *operator_url;
  pid_t pid; /* of the daemon; 0: not running */
};

/* Writes TEXT to the file NAME of FIXTURE.  */
static void
write_file (const struct fixture *fixture, const char *name, const char *text)
{
  g_autofree char *path = g_build_filename (fixture->folder, name, NULL);
  assert_true (g_file_set_contents (path, text, -1, NULL));
}

static void
write_files (const struct fixture *fixture)
{
  uint16_t port = fp_port (fixture->platform);
  g_autofree char *sum
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, TOKEN, -1);
  g_autofree char *published
      = g_strdup_printf (configuration, sum, fs_port (fixture->service));
  g_autofree char *daemon
      = g_strdup_printf (settings, sfl_free_port (), port, port, THREADS,
                         CALLER_TIMEOUT_MS, MEMORY_MB);
  write_file (fixture, "configuration.yaml", published);
  write_file (fixture, "settings.yaml", daemon);
  write_file (fixture, "operator.token", "operator\n");
  write_file (fixture, "peer.secret", "peers\n");
}

/* Starts the daemon of FIXTURE, whose output goes to the file daemon.out.  */
static void
start_daemon (struct fixture *fixture)
{
  g_autofree char *output
      = g_build_filename (fixture->folder, "daemon.out", NULL);
  g_autofree char *path
      = g_build_filename (fixture->folder, "settings.yaml", NULL);
  pid_t parent = getpid ();
  fixture->pid = fork ();
  assert_true (fixture->pid >= 0);
  if (fixture->pid == 0)
    {
      /* A failed test must leave no daemon behind. */
      if (prctl (PR_SET_PDEATHSIG, SIGKILL) == 0 && getppid () == parent
          && freopen (output, "w", stdout) != NULL
          && freopen ("/dev/null", "w", stderr) != NULL)
        {
          execl (fixture->executable, fixture->executable, "serve", path,
                 (char *)NULL);
        }
      _exit (127);
    }
}

/* Returns the address that the daemon has printed for callers or operators,
   WHAT, allocated, or NULL.  */
static char *
printed_address (const struct fixture *fixture, const char *what)
{
  g_autofree char *path
      = g_build_filename (fixture->folder, "daemon.out", NULL);
  g_autofree char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      return NULL;
    }
  const char *found = strstr (text, what);
  return found == NULL || strchr (found, '\n') == NULL
             ? NULL
             : g_strndup (found + strlen (what),
                          strcspn (found + strlen (what), "\n"));
}

/* Publishes the configuration by the daemon.  Returns false when the daemon
   doesn't accept it yet.  */
static bool
publish (const struct fixture *fixture)
{
  g_autofree char *file
      = g_build_filename (fixture->folder, "configuration.yaml", NULL);
  g_autofree char *token
      = g_build_filename (fixture->folder, "operator.token", NULL);
  char *arguments[]
      = { fixture->executable,   "config",       "publish", file, "--operator",
          fixture->operator_url, "--token-file", token,     NULL };
  int status = 0;
  return g_spawn_sync (NULL, arguments, NULL,
                       G_SPAWN_STDOUT_TO_DEV_NULL | G_SPAWN_STDERR_TO_DEV_NULL,
                       NULL, NULL, NULL, NULL, &status, NULL)
         && status == 0;
}

/* Sends one ordinary request.  Returns true if it is served.  */
static bool
look_up (const struct fixture *fixture)
{
  static const char request[] = LOOK_UP "Connection: close\r\n\r\n";
  const struct timeval timeout = { .tv_sec = 2 * CALLER_TIMEOUT_MS / 1000 };
  struct sockaddr_in address = { .sin_family = AF_INET };
  const char *port = strrchr (fixture->caller_address, ':');
  char answer[16] = "";
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)g_ascii_strtoull (port + 1, NULL, 10));
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  bool served = connect (fd, (struct sockaddr *)&address, sizeof address) == 0
                && send (fd, request, sizeof request - 1, MSG_NOSIGNAL)
                       == sizeof request - 1
                && recv (fd, answer, sizeof answer - 1, MSG_WAITALL) > 0
                && g_str_has_prefix (answer, "HTTP/1.1 200");
  close (fd);
  return served;
}

/* Repeats ordinary requests until one is served.  Returns false if none is.
 */
static bool
is_served (const struct fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + SERVED_WITHIN_US;
  bool served = look_up (fixture);
  while (!served && clk_monotonic_us () < end_us)
    {
      g_usleep (10 * ROUND_US);
      served = look_up (fixture);
    }
  return served;
}

static void
set_up (struct fixture *fixture)
{
  char self[512] = "";
  assert_true (readlink ("/proc/self/exe", self, sizeof self - 1) > 0);
  g_autofree char *folder = g_path_get_dirname (self);
  g_autofree char *build = g_path_get_dirname (folder);
  fixture->executable = g_build_filename (build, "kumquatthread", NULL);
  fixture->folder = g_dir_make_tmp ("serve-XXXXXX", NULL);
  fixture->journal = jn_create (NULL, NULL);
  const struct fp_options platform = {
    .connections = 64,
    .appends_per_s = 1000,
    .retention_ms = 3600000,
    .weights_per_min = 1000,
    .journal = fixture->journal,
  };
  const struct fs_options service = {
    .connections = THREADS,
    .name = "booking-1",
    .work_ms = 1,
    .journal = fixture->journal,
  };
  fixture->platform = fp_create (&platform, NULL);
  fixture->service = fs_create (&service, NULL);
  write_files (fixture);
  start_daemon (fixture);
  int64_t end_us = clk_monotonic_us () + SERVED_WITHIN_US;
  while (clk_monotonic_us () < end_us && fixture->operator_url == NULL)
    {
      g_usleep (ROUND_US);
      g_autofree char *address = printed_address (fixture, "operator ");
      fixture->operator_url
          = address == NULL ? NULL : g_strconcat ("http://", address, NULL);
    }
  assert_non_null (fixture->operator_url);
  fixture->caller_address = printed_address (fixture, "caller ");
  while (clk_monotonic_us () < end_us && !publish (fixture))
    {
      g_usleep (10 * ROUND_US);
    }
  assert_true (is_served (fixture));
}

static void
tear_down (struct fixture *fixture)
{
  static const char *const files[]
      = { "configuration.yaml", "settings.yaml", "operator.token",
          "peer.secret", "daemon.out" };
  if (fixture->pid > 0)
    {
      kill (fixture->pid, SIGKILL);
      waitpid (fixture->pid, NULL, 0);
    }
  fs_destroy (fixture->service);
  fp_destroy (fixture->platform);
  jn_destroy (fixture->journal);
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      g_autofree char *path
          = g_build_filename (fixture->folder, files[i], NULL);
      g_unlink (path);
    }
  g_rmdir (fixture->folder);
  g_free (fixture->folder);
  g_free (fixture->executable);
  g_free (fixture->caller_address);
  g_free (fixture->operator_url);
}

/* Lets CALLERS send all they have, in turn, and then stay connected.  Returns
   the most descriptors that the daemon had open.  */
static uint32_t
run_crowd (const struct fixture *fixture, struct crw_caller *callers,
           uint32_t count)
{
  int64_t end_us = clk_monotonic_us () + SEND_US;
  uint32_t most = 0;
  bool sending = true;
  while (sending && clk_monotonic_us () < end_us)
    {
      sending = crw_send_round (callers, count);
      most = MAX (most, pst_descriptor_count (fixture->pid));
    }
  end_us = clk_monotonic_us () + HOLD_US;
  while (clk_monotonic_us () < end_us)
    {
      crw_trickle_round (callers, count);
      most = MAX (most, pst_descriptor_count (fixture->pid));
      g_usleep (ROUND_US);
    }
  return most;
}

/* Plays the load at ROW, or all in turn, against a daemon of its own.  Returns
   true if the daemon has kept to the bounds.  */
static bool
play_load (size_t row)
{
  struct fixture fixture = { 0 };
  uint32_t count = row == MIX ? CROWD : loads[row].callers;
  g_autofree struct crw_caller *callers = g_new0 (struct crw_caller, count);
  set_up (&fixture);
  uint64_t before_kb = pst_memory_peak_kb (fixture.pid);
  for (uint32_t i = 0; i < count; i++)
    {
      crw_open (&callers[i], &loads[row == MIX ? i % MIXED_LOADS : row],
                fixture.caller_address,
                "POST /v1/services/bookings/book HTTP/1.1\r\nHost: x\r\n"
                "Authorization: Bearer " TOKEN "\r\n");
    }
  uint32_t descriptors = run_crowd (&fixture, callers, count);
  bool served = is_served (&fixture);
  uint64_t peak_kb = pst_memory_peak_kb (fixture.pid);
  bool ended = waitpid (fixture.pid, NULL, WNOHANG) != 0;
  uint32_t closed = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      closed += callers[i].closed;
      crw_close (&callers[i]);
    }
  bool kept = !ended && served && crw_is_within_memory (peak_kb, MEMORY_MB)
              && descriptors <= DESCRIPTORS;
  print_message ("%s: %s; ended %d, served %d, %lu KiB before, at most %lu "
                 "KiB, at most %u descriptors, %u of %u closed\n",
                 row == MIX ? "a mix" : loads[row].name,
                 kept ? "kept" : "NOT KEPT", ended, served,
                 (unsigned long)before_kb, (unsigned long)peak_kb, descriptors,
                 closed, count);
  tear_down (&fixture);
  return kept;
}

/* Guards against a daemon that a crowd of callers ends by its memory or its
   descriptors, or keeps from answering others.  */
static void
test_crowds (void **state)
{
  (void)state;
  uint32_t failed = 0;
  for (size_t row = 0; row <= MIX; row++)
    {
      failed += !play_load (row);
    }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_crowds) };
  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
