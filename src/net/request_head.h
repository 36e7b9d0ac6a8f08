/* Completes what http_parser leaves open in the head of a request. */
#ifndef NET_REQUEST_HEAD_H
#define NET_REQUEST_HEAD_H

#include "net/message.h"

uint32_t rqh_finish (const http_parser *parser, struct msg_message *request);
bool rqh_expects_continue (const http_parser *parser,
                           const struct msg_message *request);

#endif
