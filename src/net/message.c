#include "net/message.h"

#include <string.h>
#include <strings.h>

/* Headers that apply to one connection only (RFC 9110, section 7.6.1), and
   those that each sender sets itself.  */
static const char *const hop_by_hop[] = {
  "Connection",        "Keep-Alive", "Proxy-Connection", "TE",     "Trailer",
  "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect",
};

/* Initializes MESSAGE, to be freed with msg_clear.  */
void
msg_init (struct msg_message *message)
{
  message->url = g_string_new (NULL);
  message->text = g_string_new (NULL);
  message->headers = g_array_new (FALSE, FALSE, sizeof (struct msg_header));
  message->body = g_byte_array_new ();
  message->value_open = false;
  message->has_control = false;
}

/* Frees the buffers of MESSAGE, but not MESSAGE itself.  */
void
msg_clear (struct msg_message *message)
{
  g_string_free (message->url, TRUE);
  g_string_free (message->text, TRUE);
  g_array_free (message->headers, TRUE);
  g_byte_array_free (message->body, TRUE);
}

/* Empties MESSAGE for the next message of its connection and keeps the buffers
   allocated.  */
void
msg_reset (struct msg_message *message)
{
  g_string_truncate (message->url, 0);
  g_string_truncate (message->text, 0);
  g_array_set_size (message->headers, 0);
  g_byte_array_set_size (message->body, 0);
  message->value_open = false;
  message->has_control = false;
}

/* Terminates the last value, if that has not been done.  Blanks at its end are
   no part of it.  */
static void
close_value (struct msg_message *message)
{
  if (message->value_open)
    {
      const GString *text = message->text;
      uint32_t start = g_array_index (message->headers, struct msg_header,
                                      message->headers->len - 1)
                           .value;
      gsize end = text->len;
      while (end > start && strchr (" \t", text->str[end - 1]) != NULL)
        {
          end--;
        }
      g_string_truncate (message->text, end);
      g_string_append_c (message->text, '\0');
      message->value_open = false;
    }
}

/* Appends COUNT bytes to the name of a header, as the parser delivers them:
   names and values may come in several pieces.  The first piece after a value
   begins a new header.  */
void
msg_add_name (struct msg_message *message, const char *bytes, size_t count)
{
  bool in_name = message->headers->len > 0 && !message->value_open
                 && g_array_index (message->headers, struct msg_header,
                                   message->headers->len - 1)
                            .value
                        == 0;
  if (!in_name)
    {
      close_value (message);
      struct msg_header header = { .name = (uint32_t)message->text->len };
      g_array_append_val (message->headers, header);
    }
  g_string_append_len (message->text, bytes, (gssize)count);
}

/* Returns whether COUNT BYTES have a character that no value may have (RFC
   9110, section 5.5).  http_parser doesn't look at the first character of a
   value.
   */
static bool
has_control (const char *bytes, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (g_ascii_iscntrl (bytes[i]) && bytes[i] != '\t')
        {
          return true;
        }
    }
  return false;
}

/* Appends COUNT bytes to the value of the last header.  */
void
msg_add_value (struct msg_message *message, const char *bytes, size_t count)
{
  if (!message->value_open)
    {
      struct msg_header *header = &g_array_index (
          message->headers, struct msg_header, message->headers->len - 1);
      g_string_append_c (message->text, '\0');
      header->value = (uint32_t)message->text->len;
      message->value_open = true;
    }
  message->has_control |= has_control (bytes, count);
  g_string_append_len (message->text, bytes, (gssize)count);
}

/* Marks the end of the headers; required before they are read.  */
void
msg_end_headers (struct msg_message *message)
{
  close_value (message);
}

/* Sets the header NAME, of which MESSAGE may have one, to VALUE.  To be called
   after msg_end_headers.  */
void
msg_set (struct msg_message *message, const char *name, const char *value)
{
  uint32_t at = (uint32_t)message->text->len;
  g_string_append_len (message->text, value, (gssize)strlen (value) + 1);
  for (uint32_t i = 0; i < message->headers->len; i++)
    {
      if (strcasecmp (msg_name (message, i), name) == 0)
        {
          g_array_index (message->headers, struct msg_header, i).value = at;
          return;
        }
    }
  const struct msg_header header
      = { .name = (uint32_t)message->text->len, .value = at };
  g_string_append_len (message->text, name, (gssize)strlen (name) + 1);
  g_array_append_val (message->headers, header);
}

/* Returns the name of the header at INDEX, owned by MESSAGE.  */
const char *
msg_name (const struct msg_message *message, uint32_t index)
{
  return message->text->str
         + g_array_index (message->headers, struct msg_header, index).name;
}

/* Returns the value of the header at INDEX, owned by MESSAGE.  */
const char *
msg_value (const struct msg_message *message, uint32_t index)
{
  return message->text->str
         + g_array_index (message->headers, struct msg_header, index).value;
}

/* Returns the value of the first header called NAME, in any letter case, or
   NULL.  The value is owned by MESSAGE.  */
const char *
msg_find (const struct msg_message *message, const char *name)
{
  for (uint32_t i = 0; i < message->headers->len; i++)
    {
      if (strcasecmp (msg_name (message, i), name) == 0)
        {
          return msg_value (message, i);
        }
    }
  return NULL;
}

/* Returns whether every reader of MESSAGE understands its headers in the same
   way: no blank in a name, which another reader may skip, no control character
   in a value, where another reader may end it, no transfer coding
   that this program doesn't remove or that is applied twice, and one Host at
   most.  */
bool
msg_is_unambiguous (const struct msg_message *message)
{
  uint32_t hosts = 0;
  uint32_t codings = 0;
  bool sound = !message->has_control;
  for (uint32_t i = 0; i < message->headers->len; i++)
    {
      const char *name = msg_name (message, i);
      bool codes = strcasecmp (name, "Transfer-Encoding") == 0;
      hosts += strcasecmp (name, "Host") == 0;
      codings += codes;
      sound
          = sound && strpbrk (name, " \t") == NULL
            && (!codes || strcasecmp (msg_value (message, i), "chunked") == 0);
    }
  return sound && hosts <= 1 && codings <= 1;
}

/* Returns the number after the first NAME in URL, or 0 when there is none.
   NAME contains the equals sign, as in `from='.  */
uint64_t
msg_query_number (const char *url, const char *name)
{
  const char *found = strstr (url, name);
  return found == NULL ? 0
                       : g_ascii_strtoull (found + strlen (name), NULL, 10);
}

/* Returns the names of the headers that apply to the connection of MESSAGE
   only, in lower case.  The caller frees the set.  */
static GHashTable *
list_hop_by_hop (const struct msg_message *message)
{
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    {
      g_hash_table_add (names, g_ascii_strdown (hop_by_hop[i], -1));
    }
  for (uint32_t i = 0; i < message->headers->len; i++)
    {
      if (strcasecmp (msg_name (message, i), "Connection") != 0)
        {
          continue;
        }
      const char *list = msg_value (message, i);
      while (*list != '\0')
        {
          list += strspn (list, ", \t");
          size_t bytes = strcspn (list, ", \t");
          g_hash_table_add (names, g_ascii_strdown (list, (gssize)bytes));
          list += bytes;
        }
    }
  return names;
}

/* Returns whether MESSAGE names a header that begins with PREFIX, in any
   letter case, as one of its connection, which isn't forwarded.  */
bool
msg_drops_header (const struct msg_message *message, const char *prefix)
{
  for (uint32_t i = 0; i < message->headers->len; i++)
    {
      if (strcasecmp (msg_name (message, i), "Connection") != 0)
        {
          continue;
        }
      g_auto (GStrv) names
          = g_strsplit_set (msg_value (message, i), ", \t", 0);
      for (guint n = 0; names[n] != NULL; n++)
        {
          if (g_ascii_strncasecmp (names[n], prefix, strlen (prefix)) == 0)
            {
              return true;
            }
        }
    }
  return false;
}

/* Appends the headers of MESSAGE that a proxy forwards to HEAD, each with
   CRLF.  Leaves out hop-by-hop headers and those for which EXCLUDES, unless
   NULL, returns true.  */
void
msg_copy_headers (const struct msg_message *message,
                  bool (*excludes) (const char *name), GString *head)
{
  GHashTable *excluded = list_hop_by_hop (message);
  for (uint32_t i = 0; i < message->headers->len; i++)
    {
      const char *name = msg_name (message, i);
      g_autofree char *lower = g_ascii_strdown (name, -1);
      if (!g_hash_table_contains (excluded, lower)
          && (excludes == NULL || !excludes (name)))
        {
          g_string_append_printf (head, "%s: %s\r\n", name,
                                  msg_value (message, i));
        }
    }
  g_hash_table_destroy (excluded);
}

/* Returns the reason phrase of the HTTP status STATUS, or "Unknown".  */
const char *
msg_reason (uint32_t status)
{
  switch (status)
    {
#define REASON(number, name, string)                                          \
  case number:                                                                \
    return #string;
      HTTP_STATUS_MAP (REASON)
#undef REASON
    default:
      return "Unknown";
    }
}
