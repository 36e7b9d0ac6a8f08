/* One HTTP request or response while it is parsed: URL, headers and body.  The
   buffers are reused for the later messages of the same connection. */
#ifndef NET_MESSAGE_H
#define NET_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

struct msg_header
{
  uint32_t name;  /* offset in `text' */
  uint32_t value; /* offset in `text'; 0 until the value has begun */
};

struct msg_message
{
  GString *url;     /* of a request */
  GString *text;    /* names and values, each terminated by a null byte */
  GArray *headers;  /* struct msg_header */
  GByteArray *body; /* filled in by the user of this module */
  bool value_open;  /* the last value may be continued */
  bool has_control; /* a value has a control character */
};

void msg_init (struct msg_message *message);
void msg_clear (struct msg_message *message);
void msg_reset (struct msg_message *message);
void msg_add_name (struct msg_message *message, const char *bytes,
                   size_t count);
void msg_add_value (struct msg_message *message, const char *bytes,
                    size_t count);
void msg_set (struct msg_message *message, const char *name,
              const char *value);
void msg_end_headers (struct msg_message *message);
const char *msg_name (const struct msg_message *message, uint32_t index);
const char *msg_value (const struct msg_message *message, uint32_t index);
const char *msg_find (const struct msg_message *message, const char *name);
bool msg_is_unambiguous (const struct msg_message *message);
bool msg_drops_header (const struct msg_message *message, const char *prefix);
uint64_t msg_query_number (const char *url, const char *name);
void msg_copy_headers (const struct msg_message *message,
                       bool (*excludes) (const char *name), GString *head);
const char *msg_reason (uint32_t status);

#endif
