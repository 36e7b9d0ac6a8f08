#include "net/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdint.h>
#include <string.h>

/* Reads IP:PORT from TEXT, or NULL.  Returns false when it is none; a port of
   0 is one.  */
bool
nad_parse (const char *text, struct sockaddr_in *address)
{
  const char *colon = text == NULL ? NULL : strchr (text, ':');
  if (colon == NULL || colon - text >= INET_ADDRSTRLEN)
    {
      return false;
    }
  char host[INET_ADDRSTRLEN] = "";
  guint64 port = 0;
  memcpy (host, text, (size_t)(colon - text));
  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  if (inet_pton (AF_INET, host, &address->sin_addr) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, UINT16_MAX, &port,
                                      NULL))
    {
      return false;
    }
  address->sin_port = htons ((uint16_t)port);
  return true;
}
