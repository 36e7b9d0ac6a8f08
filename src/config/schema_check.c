/* Validation of text values.  Each function returns NULL when TEXT is valid,
   else a description of the valid values. */
#include "config/schema.h"

#include <arpa/inet.h>
#include <string.h>

#define PORT_MAX 65535
#define SHA256_HEX_DIGITS 64

/* Accepts names of hosts, accounts, models and the like.  The maximum length
   of 63 bytes is not checked here; the size of an SCH_CHAR_ARRAY member limits
   the length.  */
const char *
sch_check_name (const char *text)
{
  size_t allowed = strspn (text, "abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");
  if (text[0] != '\0' && text[allowed] == '\0')
    {
      return NULL;
    }
  return "1 to 63 of letters, digits, '.', '_' and '-'";
}

/* Accepts a SHA-256 digest in lower-case hexadecimal digits.  */
const char *
sch_check_sha256 (const char *text)
{
  if (strlen (text) == SHA256_HEX_DIGITS
      && strspn (text, "0123456789abcdef") == SHA256_HEX_DIGITS)
    {
      return NULL;
    }
  return "64 lower-case hexadecimal digits";
}

/* Returns true when HOST, of BYTES bytes, is an IPv4 address or an IPv6
   address in brackets.  */
static bool
is_ip_address (const char *host, size_t bytes)
{
  char number[INET6_ADDRSTRLEN + 2];
  struct in6_addr binary;
  if (bytes == 0 || bytes >= sizeof number)
    {
      return false;
    }
  if (host[0] != '[')
    {
      memcpy (number, host, bytes);
      number[bytes] = '\0';
      return inet_pton (AF_INET, number, &binary) == 1;
    }
  if (bytes < 2 || host[bytes - 1] != ']')
    {
      return false;
    }
  memcpy (number, host + 1, bytes - 2);
  number[bytes - 2] = '\0';
  return inet_pton (AF_INET6, number, &binary) == 1;
}

/* Returns the port of TEXT, IP:PORT, or -1 when TEXT is malformed.  */
static int
parse_port (const char *text)
{
  const char *colon = strrchr (text, ':');
  guint64 port = 0;
  if (colon == NULL || !is_ip_address (text, (size_t)(colon - text))
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, PORT_MAX, &port, NULL))
    {
      return -1;
    }
  return (int)port;
}

/* Accepts an address to connect to, IP:PORT.  */
const char *
sch_check_address (const char *text)
{
  return parse_port (text) > 0 ? NULL : "IP:PORT, port 1 to 65535";
}

/* Accepts an address to listen on, IP:PORT; port 0 lets the kernel choose a
   port.  */
const char *
sch_check_listen_address (const char *text)
{
  return parse_port (text) >= 0 ? NULL : "IP:PORT, port 0 to 65535";
}

/* Accepts http://IP:PORT.  */
const char *
sch_check_url (const char *text)
{
  static const char scheme[] = "http://";
  if (g_str_has_prefix (text, scheme)
      && parse_port (text + strlen (scheme)) > 0)
    {
      return NULL;
    }
  return "http://IP:PORT";
}

/* Accepts an HTTP method.  */
const char *
sch_check_method (const char *text)
{
  static const char *const methods[]
      = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", NULL };
  return g_strv_contains (methods, text)
             ? NULL
             : "GET, HEAD, POST, PUT, PATCH or DELETE";
}

/* Accepts a URL path or a prefix of one, without a query.  */
const char *
sch_check_path (const char *text)
{
  if (text[0] == '/' && strpbrk (text, " ?#") == NULL)
    {
      return NULL;
    }
  return "a path that starts with '/', without ' ', '?' and '#'";
}

/* Accepts any file name that is not empty.  */
const char *
sch_check_file (const char *text)
{
  return text[0] != '\0' ? NULL : "the name of a file";
}
