#include "net/response_head.h"

#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599

/* Reads the next COUNT bytes of a message into LINE.  http_parser reads a
   status code as a number and takes two or four digits for one.  */
void
rsh_scan (struct rsh_status_line *line, const char *bytes, size_t count)
{
  for (size_t i = 0; i < count && line->part != RSH_READ; i++)
    {
      if (line->part == RSH_VERSION)
        {
          line->part = bytes[i] == ' ' ? RSH_BLANK : RSH_VERSION;
          continue;
        }
      bool is_digit = g_ascii_isdigit (bytes[i]);
      line->digits += is_digit;
      if (is_digit)
        {
          line->part = RSH_DIGITS;
        }
      else if (line->part == RSH_DIGITS)
        {
          line->part = RSH_READ;
        }
    }
}

/* Returns whether a response with STATUS has a body, whatever its headers
   say.  */
bool
rsh_has_body (uint32_t status)
{
  return status != HTTP_STATUS_NO_CONTENT
         && status != HTTP_STATUS_NOT_MODIFIED;
}

/* Returns whether the head that PARSER has read is that of a response or an
   interim response.  A switch of protocols is none, since no request asks for
   one, and neither is an interim response with a body.  */
bool
rsh_is_valid (const struct rsh_status_line *line, const http_parser *parser,
              const struct msg_message *response)
{
  uint32_t status = parser->status_code;
  if (line->digits != STATUS_DIGITS || status < STATUS_MIN
      || status > STATUS_MAX || status == HTTP_STATUS_SWITCHING_PROTOCOLS
      || parser->http_major != 1 || !msg_is_unambiguous (response))
    {
      return false;
    }
  return status >= HTTP_STATUS_OK
         || (msg_find (response, "Content-Length") == NULL
             && msg_find (response, "Transfer-Encoding") == NULL);
}
