#include "net/event_scan.h"

#include <string.h>

/* Initializes SCANNER for the start of a stream.  Free with evs_clear.  */
void
evs_init (struct evs_scanner *scanner)
{
  *scanner = (struct evs_scanner){
    .pending = g_byte_array_new (),
    .last_id = -1,
  };
}

/* Frees the buffer of SCANNER, but not SCANNER itself.  */
void
evs_clear (struct evs_scanner *scanner)
{
  g_byte_array_unref (scanner->pending);
  scanner->pending = NULL;
}

/* Discards the incomplete event and what was out of order, before the bytes of
   another sender that resumes the stream after the last complete event.  */
void
evs_restart (struct evs_scanner *scanner)
{
  g_byte_array_set_size (scanner->pending, 0);
  scanner->line = 0;
  scanner->searched = 0;
  scanner->repeated = 0;
  scanner->out_of_order = false;
}

/* Returns the number of bytes of the first complete event of SCANNER's pending
   bytes from AT on, including the empty line that ends it, or 0 when no event
   is complete.  Goes on where the last call stopped, so that an event that
   arrives in many pieces is read once.  */
static size_t
first_event_bytes (struct evs_scanner *scanner, size_t at)
{
  const uint8_t *bytes = scanner->pending->data;
  size_t count = scanner->pending->len;
  scanner->line = MAX (scanner->line, at);
  scanner->searched = MAX (scanner->searched, at);
  while (scanner->searched < count)
    {
      const uint8_t *end = memchr (bytes + scanner->searched, '\n',
                                   count - scanner->searched);
      if (end == NULL)
        {
          scanner->searched = count;
          return 0;
        }
      size_t line = scanner->line;
      size_t next = (size_t)(end - bytes) + 1;
      size_t length = next - line - 1;
      scanner->line = next;
      scanner->searched = next;
      if (length == 0 || (length == 1 && bytes[line] == '\r'))
        {
          return next - at;
        }
    }
  return 0;
}

/* Returns the number in TEXT, of COUNT bytes without an end, at most
   INT64_MAX; -1 if it is negative, and 0 if there is none.  */
static int64_t
read_id (const uint8_t *text, size_t count)
{
  size_t at = 0;
  int64_t id = 0;
  while (at < count && (text[at] == ' ' || text[at] == '\t'))
    {
      at++;
    }
  if (at < count && text[at] == '-')
    {
      return -1;
    }
  for (; at < count && g_ascii_isdigit (text[at]); at++)
    {
      int64_t digit = text[at] - '0';
      id = id > (INT64_MAX - digit) / 10 ? INT64_MAX : id * 10 + digit;
    }
  return id;
}

/* Returns the id of the event BYTES, or -1 when the event has no id.  Of
   several the last one counts, as for the readers of callers (HTML,
   server-sent events).  An id that is not a number is read as 0.  */
static int64_t
event_id (const uint8_t *bytes, size_t count)
{
  int64_t id = -1;
  size_t line = 0;
  while (line < count)
    {
      const uint8_t *end = memchr (bytes + line, '\n', count - line);
      size_t next = end == NULL ? count : (size_t)(end - bytes) + 1;
      if (next - line > 3 && memcmp (bytes + line, "id:", 3) == 0)
        {
          id = read_id (bytes + line + 3, next - line - 3);
        }
      line = next;
    }
  return id;
}

/* Returns true if all lines of the event BYTES are comments, which keep a
   connection alive.  */
static bool
is_comment (const uint8_t *bytes, size_t count)
{
  bool comment = true;
  size_t line = 0;
  while (comment && line < count)
    {
      const uint8_t *end = memchr (bytes + line, '\n', count - line);
      comment = strchr (":\r\n", bytes[line]) != NULL;
      line = end == NULL ? count : (size_t)(end - bytes) + 1;
    }
  return comment;
}

/* Adds COUNT bytes to the stream and appends the events that are now complete
   to COMPLETE.  Discards events whose id is not above the last one, which a
   resumed stream may repeat.  An id that skips a number sets `out_of_order',
   and so does an event without one after one that has an id, or where all need
   one: it may be the text of an error.  No more events are passed on then.
   Returns the number of events appended, without blocks of comments, which are
   appended too.  */
uint32_t
evs_feed (struct evs_scanner *scanner, const void *bytes, size_t count,
          GByteArray *complete)
{
  g_byte_array_append (scanner->pending, bytes, (guint)count);
  size_t at = 0;
  uint32_t events = 0;
  while (!scanner->out_of_order)
    {
      const uint8_t *start = scanner->pending->data + at;
      size_t length = first_event_bytes (scanner, at);
      if (length == 0)
        {
          break;
        }
      int64_t id = event_id (start, length);
      bool repeated = id >= 0 && id <= scanner->last_id;
      scanner->repeated += repeated;
      bool comment = id < 0 && is_comment (start, length);
      bool follows = comment || (id > 0 && id - 1 == scanner->last_id);
      bool lacks_id = scanner->needs_ids && id < 0 && !comment;
      scanner->out_of_order
          = lacks_id || (!repeated && !follows && scanner->last_id >= 0);
      if (!repeated && !scanner->out_of_order)
        {
          g_byte_array_append (complete, start, (guint)length);
          scanner->last_id = id >= 0 ? id : scanner->last_id;
          events += !comment;
        }
      at += length;
    }
  if (at > 0)
    {
      g_byte_array_remove_range (scanner->pending, 0, (guint)at);
      scanner->line -= at;
      scanner->searched -= at;
    }
  return events;
}
