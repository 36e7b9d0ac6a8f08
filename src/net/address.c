#include "net/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdint.h>
#include <string.h>

/* Parses TEXT, which may be NULL, as IP:PORT into ADDRESS.  Returns false when
   TEXT is not such an address.  Port 0 is valid.  */
bool
nad_parse (const char *text, struct sockaddr_in *address)
{
  const char *colon = text == NULL ? NULL : strchr (text, ':');
  if (colon == NULL || colon - text >= INET_ADDRSTRLEN)
    {
      return false;
    }
  char ip[INET_ADDRSTRLEN] = "";
  guint64 port = 0;
  memcpy (ip, text, (size_t)(colon - text));
  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  if (inet_pton (AF_INET, ip, &address->sin_addr) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, UINT16_MAX, &port,
                                      NULL))
    {
      return false;
    }
  address->sin_port = htons ((uint16_t)port);
  return true;
}
