/* A client's request on a new connection.  */
#include "lab.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

const char *
lab_ending_name (enum lab_ending ending)
{
  static const char *const names[] = {
    [LAB_COMPLETE] = "complete",
    [LAB_CLOSED] = "the connection was closed in order",
    [LAB_RESET] = "the connection was reset",
    [LAB_SILENT] = "no more came in time",
  };
  return names[ending];
}

void
lab_answer_clear (struct lab_answer *answer)
{
  free (answer->body);
  answer->body = NULL;
}

/* Decodes the chunks of RAW in place.  Returns whether the last one is there.
 */
static bool
decode_chunks (char *raw, size_t *count)
{
  size_t from = 0;
  size_t to = 0;
  bool ended = false;
  while (from < *count)
    {
      char *end = NULL;
      size_t bytes = strtoul (raw + from, &end, 16);
      size_t head = (size_t)(end - raw) + 2 - from;
      if (end == raw + from || from + head + bytes > *count)
        {
          break;
        }
      ended = bytes == 0;
      memmove (raw + to, raw + from + head, bytes);
      to += bytes;
      from += head + bytes + 2;
      if (ended)
        {
          break;
        }
    }
  *count = to;
  return ended;
}

/* Returns whether ANSWER, with RAW body bytes so far, is complete by its own
   account, and sets its body.  */
static bool
is_complete (struct lab_answer *answer, const char *raw, size_t count,
             bool at_end)
{
  struct lab_message head = { .body = NULL };
  char value[64];
  memcpy (head.head, answer->head, sizeof head.head);
  bool chunked = lab_header (&head, "Transfer-Encoding", value, sizeof value)
                 && strcasecmp (value, "chunked") == 0;
  bool sized = lab_header (&head, "Content-Length", value, sizeof value);
  answer->has_length = chunked || sized;
  if (!chunked && !at_end && (!sized || count < strtoul (value, NULL, 10)))
    {
      return false;
    }
  free (answer->body);
  answer->body = malloc (count + 1);
  memcpy (answer->body, raw, count);
  answer->body[count] = '\0';
  answer->body_bytes = count;
  if (chunked)
    {
      bool ended = decode_chunks (answer->body, &answer->body_bytes);
      answer->body[answer->body_bytes] = '\0';
      return ended;
    }
  return sized && count >= strtoul (value, NULL, 10);
}

static bool
read_answer_head (struct lab_answer *answer, const char *raw,
                  size_t *head_bytes)
{
  const char *end = strstr (raw, "\r\n\r\n");
  const char *line = end == NULL ? NULL : strstr (raw, "\r\n");
  if (end == NULL || sscanf (raw, "HTTP/1.1 %d", &answer->status) != 1)
    {
      return false;
    }
  *head_bytes = (size_t)(end - raw) + 4;
  snprintf (answer->head, sizeof answer->head, "%.*s", (int)(end - line),
            line + 2);
  return true;
}

/* Reads the answer to a request that was sent on FD, for PATIENCE_S at most.
   The caller clears ANSWER.  */
void
lab_read_answer (int fd, double patience_s, struct lab_answer *answer)
{
  size_t room = 1 << 16;
  size_t used = 0;
  size_t head_bytes = 0;
  double end_s = lab_now_s () + patience_s;
  char *raw = malloc (room + 1);
  *answer = (struct lab_answer){ .ending = LAB_RESET };
  raw[0] = '\0';
  for (;;)
    {
      struct pollfd poller = { .fd = fd, .events = POLLIN };
      double left_s = end_s - lab_now_s ();
      if (left_s <= 0 || poll (&poller, 1, (int)(left_s * 1000) + 1) == 0)
        {
          answer->ending = LAB_SILENT;
          break;
        }
      if (used == room)
        {
          room *= 2;
          raw = realloc (raw, room + 1);
        }
      ssize_t count = recv (fd, raw + used, room - used, 0);
      if (count <= 0)
        {
          answer->ending = count == 0 ? LAB_CLOSED : LAB_RESET;
          break;
        }
      used += (size_t)count;
      raw[used] = '\0';
      if (head_bytes == 0 && !read_answer_head (answer, raw, &head_bytes))
        {
          continue;
        }
      if (is_complete (answer, raw + head_bytes, used - head_bytes, false))
        {
          answer->ending = LAB_COMPLETE;
          break;
        }
    }
  if (head_bytes > 0 && answer->ending != LAB_COMPLETE)
    {
      is_complete (answer, raw + head_bytes, used - head_bytes, true);
    }
  free (raw);
}

/* Sends REQUEST to ADDRESS on a new connection and reads the answer, for
   PATIENCE_S at most.  The caller clears ANSWER.  */
void
lab_ask (const char *address, const char *request, double patience_s,
         struct lab_answer *answer)
{
  int fd = lab_connect (address);
  *answer = (struct lab_answer){ .ending = LAB_RESET };
  if (fd >= 0 && lab_send (fd, request, strlen (request)))
    {
      lab_read_answer (fd, patience_s, answer);
    }
  if (fd >= 0)
    {
      close (fd);
    }
}
