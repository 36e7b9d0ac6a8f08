/* Parsing of IPv4 addresses of the form IP:PORT.  Host names are not
   resolved. */
#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

bool nad_parse (const char *text, struct sockaddr_in *address);

#endif
