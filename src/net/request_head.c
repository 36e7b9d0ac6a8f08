#include "net/request_head.h"

/* Returns whether the head of REQUEST, which PARSER has read, can be passed
   on. HTTP/1.0 knows no transfer codings, so a proxy before this one may have
   seen another end of the request.  */
static bool
is_valid (const http_parser *parser, const struct msg_message *request)
{
  return parser->http_major == 1 && msg_is_unambiguous (request)
         && (parser->http_minor > 0
             || msg_find (request, "Transfer-Encoding") == NULL);
}

/* Returns 0 if the head of REQUEST, which PARSER has read, can be passed on,
   else the status of its refusal.  The content of a request for a tunnel isn't
   a body, and would be read as further requests.  */
uint32_t
rqh_check (const http_parser *parser, const struct msg_message *request)
{
  if (!is_valid (parser, request))
    {
      return HTTP_STATUS_BAD_REQUEST;
    }
  return parser->method == HTTP_CONNECT ? HTTP_STATUS_NOT_IMPLEMENTED : 0;
}
