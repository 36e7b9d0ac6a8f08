/* Conversion between addresses as text, IP:PORT or [IP]:PORT, and socket
   addresses.  Names are not resolved. */
#ifndef PEER_ADDRESS_H
#define PEER_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

bool adr_parse (const char *text, struct sockaddr_storage *address,
                socklen_t *size);
char *adr_replace_port (const char *text, uint16_t port);
uint16_t adr_bound_port (int fd);

#endif
