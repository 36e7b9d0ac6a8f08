#include "net/request_head.h"

#include <string.h>

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

/* Returns the length of the scheme at the begin of TARGET with its colon and
   slashes, or 0 if TARGET isn't in absolute form.  */
static size_t
scheme_bytes (const char *target)
{
  const char *end = strstr (target, "://");
  return target[0] == '/' || end == NULL
             ? 0
             : (size_t)(end - target) + strlen ("://");
}

/* Replaces a target in absolute form of REQUEST by the path and query, and the
   host by the target's (RFC 9112, section 3.2.2).  Returns false if the target
   is of another scheme than HTTP's, or has no host or a user.  */
static bool
normalize_target (struct msg_message *request)
{
  const char *target = request->url->str;
  size_t scheme = scheme_bytes (target);
  if (scheme == 0)
    {
      return true;
    }
  size_t host_bytes = strcspn (target + scheme, "/?#");
  g_autofree char *host = g_strndup (target + scheme, host_bytes);
  if ((g_ascii_strncasecmp (target, "http:", strlen ("http:")) != 0
       && g_ascii_strncasecmp (target, "https:", strlen ("https:")) != 0)
      || host[0] == '\0' || strchr (host, '@') != NULL)
    {
      return false;
    }
  g_string_erase (request->url, 0, (gssize)(scheme + host_bytes));
  if (request->url->str[0] != '/')
    {
      g_string_prepend_c (request->url, '/');
    }
  msg_set (request, "Host", host);
  return true;
}

/* Checks the head of REQUEST, which PARSER has read, and replaces a target in
   absolute form.  Returns 0 if the request can be passed on, else the status
   of its refusal.  The content of a request for a tunnel isn't a body, and
   would be read as further requests.  */
uint32_t
rqh_finish (const http_parser *parser, struct msg_message *request)
{
  if (!normalize_target (request) || !is_valid (parser, request))
    {
      return HTTP_STATUS_BAD_REQUEST;
    }
  return parser->method == HTTP_CONNECT ? HTTP_STATUS_NOT_IMPLEMENTED : 0;
}

/* Returns whether the caller of REQUEST, whose head PARSER has read, waits for
   an interim response before it sends the body.  HTTP/1.0 has none: its caller
   would take it for the answer.  */
bool
rqh_expects_continue (const http_parser *parser,
                      const struct msg_message *request)
{
  const char *expect = msg_find (request, "Expect");
  return parser->http_minor > 0 && expect != NULL
         && g_ascii_strcasecmp (expect, "100-continue") == 0;
}
