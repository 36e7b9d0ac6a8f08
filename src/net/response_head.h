/* Checks what http_parser doesn't check in the head of a response. */
#ifndef NET_RESPONSE_HEAD_H
#define NET_RESPONSE_HEAD_H

#include "net/message.h"

/* Counts the digits of the status code in the bytes of a response; 0 at the
   start of a message. */
struct rsh_status_line
{
  enum
  {
    RSH_VERSION, /* before the first space */
    RSH_BLANK,   /* before the status code */
    RSH_DIGITS,
    RSH_READ
  } part;
  uint32_t digits;
};

void rsh_scan (struct rsh_status_line *line, const char *bytes, size_t count);
bool rsh_is_valid (const struct rsh_status_line *line,
                   const http_parser *parser,
                   const struct msg_message *response);
bool rsh_has_body (uint32_t status);

#endif
