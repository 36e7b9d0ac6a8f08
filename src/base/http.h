/* Helpers for HTTP handlers: reading request bodies and bearer tokens, and
   sending responses. */
#ifndef BASE_HTTP_H
#define BASE_HTTP_H

#include "base/error.h"

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>

GString *http_read_body (struct mg_connection *connection, size_t bytes_max,
                         struct err_failure *failure);
void http_send (struct mg_connection *connection, uint16_t status,
                const char *content_type, const char *headers,
                const char *body, size_t body_bytes);
void http_send_json (struct mg_connection *connection, uint16_t status,
                     const json_t *body);
void http_send_failure (struct mg_connection *connection,
                        const struct err_failure *failure);
json_t *http_failure_body (const struct err_failure *failure);
bool http_bearer_sha256 (struct mg_connection *connection, char *hex,
                         size_t hex_bytes);

#endif
