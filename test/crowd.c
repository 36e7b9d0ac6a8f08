#include "test/crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes of repeated text that are sent by one call. */
#define BLOCK_BYTES 65536

/* Appends one unit of LOAD to TEXT.  */
static void
append_unit (const struct crw_load *load, GString *text)
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

/* Connects CALLER to ADDRESS, where it will send LOAD with the request HEAD.
 */
void
crw_open (struct crw_caller *caller, const struct crw_load *load,
          const char *address, const char *head)
{
  struct sockaddr_in server = { .sin_family = AF_INET };
  const char *port = strrchr (address, ':');
  server.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server.sin_port = htons ((uint16_t)g_ascii_strtoull (port + 1, NULL, 10));
  *caller = (struct crw_caller){
    .load = load,
    .fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
    .head = g_string_new (NULL),
    .block = g_string_new (NULL),
  };
  caller->closed
      = connect (caller->fd, (struct sockaddr *)&server, sizeof server) != 0;
  if (load->headers == NULL)
    {
      return;
    }
  g_string_printf (caller->head, "%s%s", head, load->headers);
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

/* Closes CALLER and frees its texts.  */
void
crw_close (struct crw_caller *caller)
{
  close (caller->fd);
  g_string_free (caller->head, TRUE);
  g_string_free (caller->block, TRUE);
}

/* Sends COUNT BYTES of CALLER, or as many as its socket takes.  Returns how
   many.  */
static size_t
send_bytes (struct crw_caller *caller, const char *bytes, size_t count)
{
  ssize_t sent = send (caller->fd, bytes, count, MSG_DONTWAIT | MSG_NOSIGNAL);
  caller->closed |= sent < 0 && errno != EAGAIN;
  return sent < 0 ? 0 : (size_t)sent;
}

/* Sends the next bytes of CALLER.  Returns true while it has more.  */
static bool
send_next (struct crw_caller *caller)
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
  if (caller->load->piece_bytes > 0)
    {
      count = MIN (count, caller->load->piece_bytes);
    }
  caller->sent += send_bytes (caller, bytes, count);
  return true;
}

/* Sends the bytes that CALLER's load has for each round once all is sent.  */
static void
trickle (struct crw_caller *caller)
{
  const char *bytes = caller->load->trickle;
  if (bytes != NULL && !caller->closed)
    {
      send_bytes (caller, bytes, strlen (bytes));
    }
}

/* Sends the next bytes of each of the COUNT CALLERS.  Returns true while one
   of them has more.  */
bool
crw_send_round (struct crw_caller *callers, uint32_t count)
{
  bool sending = false;
  for (uint32_t i = 0; i < count; i++)
    {
      sending |= send_next (&callers[i]);
    }
  return sending;
}

/* Sends the bytes of a round of each of the COUNT CALLERS, which have sent all
   else.  */
void
crw_trickle_round (struct crw_caller *callers, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      trickle (&callers[i]);
    }
}

/* Returns true if MEMORY_KB, the most that a daemon has used, is within the
   memory of a host of HOST_MB.  The address sanitizer needs memory of its own,
   so such a build checks only the other bounds.  */
bool
crw_is_within_memory (uint64_t memory_kb, uint64_t host_mb)
{
#ifdef __SANITIZE_ADDRESS__
  (void)host_mb;
  return memory_kb > 0;
#else
  return memory_kb > 0 && memory_kb <= host_mb * 1000000 / 1024;
#endif
}
