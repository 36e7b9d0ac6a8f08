/* Tests of the entry daemon: crowds of callers outside the limits.  The
   process must live and stay within the memory and the descriptors that its
   settings name, and an ordinary request must be answered while the crowd is
   still connected.  Crowd and bounds follow from the settings below. */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The memory of the host.  It holds the daemon itself and a few bodies of
   BODY_BYTES_MAX, the limit that the test's configuration publishes. */
#define MEMORY_MB 48
#define BODY_BYTES_MAX 1048576

/* The bodies of a crowd are together twice the memory. */
#define CROWD (2 * MEMORY_MB)

/* The daemon accepts half as many callers as it may open descriptors, which is
   more than a crowd. */
#define DESCRIPTORS 256

/* Callers that connect and say nothing: more than the daemon accepts. */
#define SILENT_CALLERS 200

/* The longest time in which a crowd sends, and the time for which it then
   stays connected. */
#define SEND_US (8 * CLK_S_US)
#define HOLD_US (1500 * CLK_MS_US)
#define ROUND_US (10 * CLK_MS_US)

/* Bytes of repeated text that are sent by one call. */
#define BLOCK_BYTES 65536

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define GET                                                                   \
  "GET /look/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST                             \
  "\r\nX-Api-Key: key-1\r\n" PFH_REQUEST_ID ": crowd\r\n\r\n"

/* What the callers of a crowd send. */
struct load
{
  const char *name;
  uint32_t callers;
  const char *headers;  /* after the head of a request; NULL: no request */
  uint32_t chunk_bytes; /* of the body; 0: `unit' is repeated instead */
  const char *unit;
  uint64_t bytes;      /* of all units, without the chunks' heads */
  const char *end;     /* after the units */
  const char *trickle; /* then sent in each round; NULL: none */
};

static const struct load loads[] = {
  { "chunked bodies, large chunks", CROWD, CHUNKED, 65536, NULL,
    BODY_BYTES_MAX, "0\r\n\r\n", NULL },
  { "chunked bodies, chunks of a byte", CROWD, CHUNKED, 1, NULL,
    BODY_BYTES_MAX / 2 + 1, "0\r\n\r\n", NULL },
  { "bodies that stop short of their end", CROWD, CHUNKED, 16384, NULL,
    BODY_BYTES_MAX, "", NULL },
  { "announced bodies that stop short of their end", CROWD,
    "Content-Length: 1048576\r\n\r\n", 0, "x", BODY_BYTES_MAX - 1, "", NULL },
  { "bodies over the limit, announced", CROWD,
    "Content-Length: 67108864\r\n\r\n", 0, "x", (uint64_t)64 * BODY_BYTES_MAX,
    "", NULL },
  { "bodies over the limit, sent", CROWD, CHUNKED, 65536, NULL,
    (uint64_t)64 * BODY_BYTES_MAX, "", NULL },
  { "heads without end", CROWD, "", 0, "X-Filler: abcdefghijklmnop\r\n",
    BODY_BYTES_MAX, "", NULL },
  { "chunk extensions without end", CROWD, CHUNKED, 0, "1;abcdefghijklmnop",
    BODY_BYTES_MAX, "", NULL },
  { "trailers without end", CROWD, CHUNKED "0\r\n", 0,
    "X-Filler: abcdefghijklmnop\r\n", BODY_BYTES_MAX, "", NULL },
  { "a byte now and then", CROWD, CHUNKED, 16384, NULL,
    BODY_BYTES_MAX / 2 + 16384, "", "1\r\nx\r\n" },
  { "pipelined requests, responses not read", CROWD,
    "Content-Length: 0\r\n\r\n", 0, GET, 61440, "", NULL },
  { "callers that say nothing", SILENT_CALLERS, NULL, 0, "", 0, "", NULL },
};

/* A crowd whose callers send different loads in turn. */
#define MIX G_N_ELEMENTS (loads)

/* A caller of a crowd. */
struct caller
{
  const struct load *load;
  int fd;
  bool closed; /* by the daemon */
  GString *head;
  GString *block; /* repeated units */
  size_t unit_bytes;
  uint64_t sent;
  uint64_t units_bytes; /* of all units */
};

/* Appends one unit of LOAD to TEXT.  */
static void
append_unit (const struct load *load, GString *text)
{
  if (load->chunk_bytes == 0)
    {
      g_string_append (text, load->unit);
      return;
    }
  g_string_append_printf (text, "%x\r\n", load->chunk_bytes);
  gsize begin = text->len;
  g_string_set_size (text, begin + load->chunk_bytes);
  memset (text->str + begin, 'x', load->chunk_bytes);
  g_string_append (text, "\r\n");
}

/* Connects CALLER, the one at INDEX, which will send LOAD.  */
static void
open_caller (const struct efx_fixture *fixture, struct caller *caller,
             const struct load *load, uint32_t index)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  const char *port = strrchr (sep_caller_address (fixture->daemon), ':');
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)g_ascii_strtoull (port + 1, NULL, 10));
  *caller = (struct caller){
    .load = load,
    .fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
    .head = g_string_new (NULL),
    .block = g_string_new (NULL),
  };
  caller->closed
      = connect (caller->fd, (struct sockaddr *)&address, sizeof address) != 0;
  if (load->headers == NULL)
    {
      return;
    }
  g_string_printf (caller->head,
                   "POST /sum/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
                   "\r\nX-Api-Key: key-1\r\n" PFH_REQUEST_ID
                   ": crowd-%u\r\n%s",
                   index, load->headers);
  append_unit (load, caller->block);
  caller->unit_bytes = caller->block->len;
  size_t unit_payload
      = load->chunk_bytes > 0 ? load->chunk_bytes : caller->unit_bytes;
  caller->units_bytes = load->bytes / unit_payload * caller->unit_bytes;
  while (caller->block->len < BLOCK_BYTES)
    {
      append_unit (load, caller->block);
    }
}

static void
close_caller (struct caller *caller)
{
  close (caller->fd);
  g_string_free (caller->head, TRUE);
  g_string_free (caller->block, TRUE);
}

/* Sends COUNT BYTES of CALLER, or as many as its socket takes.  Returns how
   many.  */
static size_t
send_bytes (struct caller *caller, const char *bytes, size_t count)
{
  ssize_t sent = send (caller->fd, bytes, count, MSG_DONTWAIT | MSG_NOSIGNAL);
  caller->closed |= sent < 0 && errno != EAGAIN;
  return sent < 0 ? 0 : (size_t)sent;
}

/* Sends the next bytes of CALLER.  Returns true while it has more.  */
static bool
send_next (struct caller *caller)
{
  size_t head_bytes = caller->head->len;
  uint64_t units_end = head_bytes + caller->units_bytes;
  size_t end_bytes = strlen (caller->load->end);
  const char *bytes = caller->load->end + (caller->sent - units_end);
  uint64_t count = units_end + end_bytes - caller->sent;
  if (caller->closed || caller->load->headers == NULL
      || caller->sent >= units_end + end_bytes)
    {
      return false;
    }
  if (caller->sent < head_bytes)
    {
      bytes = caller->head->str + caller->sent;
      count = head_bytes - caller->sent;
    }
  else if (caller->sent < units_end)
    {
      size_t at = (caller->sent - head_bytes) % caller->unit_bytes;
      bytes = caller->block->str + at;
      count = MIN (caller->block->len - at, units_end - caller->sent);
    }
  caller->sent += send_bytes (caller, bytes, count);
  return true;
}

/* Lets CALLERS send all they have, in turn, and then stay connected.  Returns
   the most descriptors that the daemon had open.  */
static uint32_t
run_crowd (struct efx_fixture *fixture, struct caller *callers, uint32_t count)
{
  int64_t end_us = clk_monotonic_us () + SEND_US;
  uint32_t most = 0;
  bool sending = true;
  while (sending && clk_monotonic_us () < end_us)
    {
      sending = false;
      for (uint32_t i = 0; i < count; i++)
        {
          sending |= send_next (&callers[i]);
        }
      most = MAX (most, sep_descriptor_count (fixture->daemon));
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
  end_us = clk_monotonic_us () + HOLD_US;
  while (clk_monotonic_us () < end_us)
    {
      for (uint32_t i = 0; i < count; i++)
        {
          const char *trickle = callers[i].load->trickle;
          if (trickle != NULL && !callers[i].closed)
            {
              send_bytes (&callers[i], trickle, strlen (trickle));
            }
        }
      most = MAX (most, sep_descriptor_count (fixture->daemon));
      efx_run_for (fixture, ROUND_US);
    }
  return most;
}

/* Sends ordinary requests, while the crowd is connected, until one is served.
   Returns false if none is.  */
static bool
is_served (struct efx_fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  bool served = false;
  while (!served && clk_monotonic_us () < end_us)
    {
      served = efx_send_booking (fixture, "key-1") == 200;
      efx_run_for (fixture, ROUND_US * 10);
    }
  return served;
}

/* Returns true if MEMORY_KB, the most that the daemon has used, is within that
   of the host.  The address sanitizer needs memory of its own, so such a build
   checks only the other bounds.  */
static bool
is_within_memory (uint64_t memory_kb)
{
#ifdef __SANITIZE_ADDRESS__
  return memory_kb > 0;
#else
  return memory_kb > 0 && memory_kb <= (uint64_t)MEMORY_MB * 1000000 / 1024;
#endif
}

/* Plays the load at ROW, or all in turn, against a daemon of its own.  Returns
   true if the daemon has kept to the bounds.  */
static bool
play_load (size_t row)
{
  struct efx_fixture *fixture = NULL;
  uint32_t count = row == MIX ? CROWD : loads[row].callers;
  g_autofree struct caller *callers = g_new0 (struct caller, count);
  int status = 0;
  efx_set_up_limited ((void **)&fixture, BODY_BYTES_MAX, DESCRIPTORS);
  assert_true (sep_reset_memory_peak (fixture->daemon));
  uint64_t before_kb = sep_memory_kb (fixture->daemon);
  for (uint32_t i = 0; i < count; i++)
    {
      open_caller (fixture, &callers[i], &loads[row == MIX ? i % MIX : row],
                   i);
    }
  uint32_t descriptors = run_crowd (fixture, callers, count);
  bool served = is_served (fixture);
  uint64_t peak_kb = sep_memory_peak_kb (fixture->daemon);
  bool ended = sep_has_ended (fixture->daemon, &status);
  uint32_t closed = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      closed += callers[i].closed;
      close_caller (&callers[i]);
    }
  bool kept = !ended && served && is_within_memory (peak_kb)
              && descriptors <= DESCRIPTORS;
  print_message ("%s: %s; ended %d (status %d), served %d, %lu KiB before, "
                 "at most %lu KiB, at most %u descriptors, %u of %u closed\n",
                 row == MIX ? "a mix" : loads[row].name,
                 kept ? "kept" : "NOT KEPT", ended, status, served,
                 (unsigned long)before_kb, (unsigned long)peak_kb, descriptors,
                 closed, count);
  efx_tear_down ((void **)&fixture);
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
  return cmocka_run_group_tests (tests, NULL, NULL);
}
