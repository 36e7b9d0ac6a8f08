/* Checks what http_parser doesn't check in the head of a request. */
#ifndef NET_REQUEST_HEAD_H
#define NET_REQUEST_HEAD_H

#include "net/message.h"

uint32_t rqh_check (const http_parser *parser,
                    const struct msg_message *request);

#endif
