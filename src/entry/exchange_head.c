/* The heads of the requests that an exchange sends. */
#include "entry/exchange_private.h"

#include "base/clock.h"
#include "core/precedence.h"
#include "entry/passing.h"
#include "platform/headers.h"

#include <string.h>
#include <strings.h>

/* Names and numbers of the headers that this daemon adds to a request that it
   passes on, without the host and the key. */
#define ADDED_BYTES 256

/* True for headers that aren't forwarded from callers, since this daemon sets
   them itself or they are meant for it alone.  */
static bool
is_not_forwarded (const char *name)
{
  static const char *const names[] = {
    "Host",
    PFH_API_KEY,
    PFH_ACCOUNT,
    PFH_TIME_LEFT_MS,
    PFH_PATH,
    PFH_EXPECTED_ENDPOINT,
    PFH_LAST_EVENT_ID,
    PFH_ENGINE_PRIORITY,
    PFH_PASSED_ON,
  };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (strcasecmp (names[i], name) == 0)
        {
          return true;
        }
    }
  return false;
}

/* Appends the start line of REQUEST and the headers that are forwarded to
   HEAD.  */
void
exg_copy_head (const struct msg_message *request, const char *method,
               GString *head)
{
  g_string_append_printf (head, "%s %s HTTP/1.1\r\n", method,
                          request->url->str);
  msg_copy_headers (request, is_not_forwarded, head);
}

/* Appends the headers that an endpoint needs, or the neighbour that EXCHANGE
   is passed on to.  */
static void
append_target_headers (const struct exchange *exchange, GString *request)
{
  if (exchange->endpoint->is_neighbour)
    {
      g_string_append_printf (request, PFH_PASSED_ON ": %u\r\n",
                              1 + exchange->may_have_run);
      if (exchange->key != NULL)
        {
          g_string_append_printf (request, PFH_API_KEY ": %s\r\n",
                                  exchange->key);
        }
      return;
    }
  g_string_append_printf (request, PFH_EXPECTED_ENDPOINT ": %s\r\n",
                          exchange->endpoint->id);
  if (exchange->account != NULL)
    {
      g_string_append_printf (request, PFH_ACCOUNT ": %s\r\n",
                              exchange->account->name);
    }
  if (exchange->is_ranked)
    {
      g_string_append_printf (
          request, PFH_ENGINE_PRIORITY ": %u\r\n",
          prc_engine_priority (exchange->rank,
                               exchange->scanner.last_id >= 0));
    }
  if (exchange->path != NULL)
    {
      g_string_append_printf (request, PFH_PATH ": %s\r\n",
                              exchange->path->text);
    }
}

/* Returns whether the head of EXCHANGE's request is within the limit of
   another daemon when it is passed on.  Lines may be longer than the caller
   wrote them, as each gets a blank and both characters of a line's end.  */
bool
exg_fits_neighbour (const struct exchange *exchange)
{
  const struct flt_config *config = fst_config (exchange->traffic->fleet);
  const char *lines = strchr (exchange->head->str, '\n') + 1;
  uint64_t bytes = strlen (lines) + strlen (exchange->route->host)
                   + (exchange->key == NULL ? 0 : strlen (exchange->key))
                   + ADDED_BYTES;
  return bytes <= (uint64_t)config->limits.header_bytes_max + PSG_HEAD_BYTES;
}

/* Builds the head of the HTTP request of EXCHANGE's next attempt.  The caller
   frees it.  */
GString *
exg_build_head (const struct exchange *exchange)
{
  int64_t left_us = exchange->deadline_us - clk_monotonic_us ();
  GString *request = g_string_sized_new (exchange->head->len + 512);
  g_string_append_len (request, exchange->head->str,
                       (gssize)exchange->head->len);
  g_string_append_printf (request, "Host: %s\r\n" PFH_TIME_LEFT_MS ": %ld\r\n",
                          exchange->route->host,
                          (long)MAX (left_us / CLK_MS_US, 1));
  append_target_headers (exchange, request);
  if (exchange->scanner.last_id >= 0)
    {
      g_string_append_printf (request, PFH_LAST_EVENT_ID ": %ld\r\n",
                              (long)exchange->scanner.last_id);
    }
  if (exchange->has_body)
    {
      g_string_append_printf (request, "Content-Length: %zu\r\n",
                              g_bytes_get_size (exchange->body));
    }
  g_string_append (request, "\r\n");
  return request;
}
