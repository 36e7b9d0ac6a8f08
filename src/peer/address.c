#include "peer/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netdb.h>
#include <netinet/in.h>
#include <string.h>

/* Splits TEXT at its last colon into HOST, without brackets, and PORT.
   Returns false when there is no colon, with both left unset, or when PORT
   isn't a valid port.  The caller frees both.  */
static bool
split (const char *text, char **host, char **port)
{
  const char *colon = strrchr (text, ':');
  if (colon == NULL)
    {
      return false;
    }
  const char *start = text;
  const char *end = colon;
  if (*start == '[' && end > start + 1 && end[-1] == ']')
    {
      start++;
      end--;
    }
  *host = g_strndup (start, (gsize)(end - start));
  *port = g_strdup (colon + 1);
  return g_ascii_string_to_unsigned (*port, 10, 0, UINT16_MAX, NULL, NULL);
}

/* Parses TEXT, "IP:PORT" or "[IP]:PORT", and sets ADDRESS and its SIZE in
   bytes.  Returns false when TEXT has another form; host names aren't
   resolved.  */
bool
adr_parse (const char *text, struct sockaddr_storage *address, socklen_t *size)
{
  char *host = NULL;
  char *port = NULL;
  const struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                                  .ai_socktype = SOCK_STREAM };
  struct addrinfo *found = NULL;
  const bool parsed = split (text, &host, &port)
                      && getaddrinfo (host, port, &hints, &found) == 0;
  if (parsed)
    {
      memcpy (address, found->ai_addr, found->ai_addrlen);
      *size = found->ai_addrlen;
      freeaddrinfo (found);
    }
  g_free (host);
  g_free (port);
  return parsed;
}

/* Returns the address TEXT, IP:PORT, with PORT in place of the original port.
   The caller frees the string.  */
char *
adr_replace_port (const char *text, uint16_t port)
{
  const char *colon = strrchr (text, ':');
  const gsize host_bytes
      = colon != NULL ? (gsize)(colon - text) : strlen (text);
  return g_strdup_printf ("%.*s:%u", (int)host_bytes, text, port);
}

/* Returns the port that the socket FD is bound to, or 0 on failure.  */
uint16_t
adr_bound_port (int fd)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } address = { .v6 = { 0 } };
  socklen_t size = sizeof address;
  if (getsockname (fd, &address.any, &size) != 0)
    {
      return 0;
    }
  return ntohs (address.any.sa_family == AF_INET6 ? address.v6.sin6_port
                                                  : address.v4.sin_port);
}
