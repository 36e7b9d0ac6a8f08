/* Addresses IP:PORT of version 4, without look-ups. */
#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

bool nad_parse (const char *text, struct sockaddr_in *address);

#endif
