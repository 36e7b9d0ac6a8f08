#include "base/http.h"

#include <string.h>

/* Size of one read of a request body. */
#define READ_BYTES 16384

/* Reads the whole request body, of at most BYTES_MAX bytes.  Returns the body,
   owned by the caller, or NULL after setting FAILURE: ERR_TOO_LARGE, or
   ERR_BAD_REQUEST when the connection ended before the body did.  */
GString *
http_read_body (struct mg_connection *connection, size_t bytes_max,
                struct err_failure *failure)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  if (info->content_length > (long long)bytes_max)
    {
      err_set_failure (failure, ERR_TOO_LARGE, NULL);
      return NULL;
    }
  GString *body = g_string_new (NULL);
  char chunk[READ_BYTES];
  int bytes = mg_read (connection, chunk, sizeof chunk);
  while (bytes > 0 && body->len + (size_t)bytes <= bytes_max)
    {
      g_string_append_len (body, chunk, bytes);
      bytes = mg_read (connection, chunk, sizeof chunk);
    }
  bool too_large = bytes > 0;
  bool incomplete = bytes < 0
                    || (info->content_length > 0
                        && body->len < (size_t)info->content_length);
  if (too_large || incomplete)
    {
      g_string_free (body, TRUE);
      err_set_failure (failure, too_large ? ERR_TOO_LARGE : ERR_BAD_REQUEST,
                       too_large ? NULL : "the body broke off");
      return NULL;
    }
  return body;
}

static const char *
reason_phrase (uint16_t status)
{
  return mg_get_response_code_text (NULL, status);
}

/* Sends a whole response.  HEADERS: additional header lines, each ending in
   CRLF, or "".  A failed write is ignored.  */
void
http_send (struct mg_connection *connection, uint16_t status,
           const char *content_type, const char *headers, const char *body,
           size_t body_bytes)
{
  GString *response = g_string_sized_new (256 + body_bytes);
  g_string_append_printf (response,
                          "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
                          "Content-Length: %zu\r\n%s\r\n",
                          status, reason_phrase (status), content_type,
                          body_bytes, headers);
  g_string_append_len (response, body, (gssize)body_bytes);
  mg_write (connection, response->str, response->len);
  g_string_free (response, TRUE);
}

/* Sends BODY, which the caller keeps, as a JSON response.  */
void
http_send_json (struct mg_connection *connection, uint16_t status,
                const json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  http_send (connection, status, "application/json", "", text, strlen (text));
  free (text);
}

/* Returns the JSON body of the response to FAILURE, owned by the caller.  */
json_t *
http_failure_body (const struct err_failure *failure)
{
  json_t *error = json_pack (
      "{s:s, s:s, s:s, s:s}", "kind", err_info (failure->kind)->name, "ran",
      err_ran_name (failure->ran), "message", failure->message, "type",
      err_info (failure->kind)->name);
  if (failure->retry_after_s > 0)
    {
      json_object_set_new (error, "retry_after_s",
                           json_integer (failure->retry_after_s));
    }
  return json_pack ("{s:o}", "error", error);
}

/* Sends the error response for FAILURE, with Retry-After where a retry may
   succeed.  Closes the connection, because part of the request body may be
   unread.  */
void
http_send_failure (struct mg_connection *connection,
                   const struct err_failure *failure)
{
  char headers[96] = "Connection: close\r\n";
  if (failure->retry_after_s > 0)
    {
      g_snprintf (headers, sizeof headers,
                  "Connection: close\r\nRetry-After: %u\r\n",
                  failure->retry_after_s);
    }
  json_t *body = http_failure_body (failure);
  char *text = json_dumps (body, JSON_COMPACT);
  http_send (connection, err_info (failure->kind)->http_status,
             "application/json", headers, text, strlen (text));
  free (text);
  json_decref (body);
}

/* Sets HEX, of HEX_BYTES bytes, to the SHA-256 of the request's bearer token
   as hexadecimal digits.  Returns false when the request has no bearer
   token.  */
bool
http_bearer_sha256 (struct mg_connection *connection, char *hex,
                    size_t hex_bytes)
{
  static const char scheme[] = "Bearer ";
  const char *header = mg_get_header (connection, "Authorization");
  if (header == NULL
      || g_ascii_strncasecmp (header, scheme, sizeof scheme - 1) != 0)
    {
      return false;
    }
  g_autofree char *sum = g_compute_checksum_for_string (
      G_CHECKSUM_SHA256, header + sizeof scheme - 1, -1);
  g_strlcpy (hex, sum, hex_bytes);
  return true;
}
