/* One HTTP message as it is parsed: its start line, headers and body, in
   buffers that later messages of the connection use again. */
#ifndef NET_MESSAGE_H
#define NET_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

struct msg_header
{
  uint32_t name; /* offset in `text', terminated by zero */
  uint32_t value;
};

struct msg_message
{
  GString *url;     /* of a request */
  GString *text;    /* names and values, each terminated by zero */
  GArray *headers;  /* struct msg_header */
  GByteArray *body; /* as far as it is kept */
  bool value_open;  /* the parser is within a value */
};

void msg_init (struct msg_message *message);
void msg_clear (struct msg_message *message);
void msg_reset (struct msg_message *message);
void msg_add_name (struct msg_message *message, const char *bytes,
                   size_t count);
void msg_add_value (struct msg_message *message, const char *bytes,
                    size_t count);
void msg_end_headers (struct msg_message *message);
const char *msg_name (const struct msg_message *message, uint32_t index);
const char *msg_value (const struct msg_message *message, uint32_t index);
const char *msg_find (const struct msg_message *message, const char *name);
bool msg_is_hop_by_hop (const struct msg_message *message, const char *name);
uint64_t msg_query_number (const char *url, const char *name);
void msg_copy_headers (const struct msg_message *message,
                       bool (*drops) (const char *name), GString *head);
const char *msg_reason (uint32_t status);

#endif
