#include "platform/log_client.h"

#include "base/clock.h"

#include <jansson.h>
#include <stdatomic.h>
#include <string.h>

#define APPEND_TIMEOUT_US (2 * CLK_S_US)
#define READ_TIMEOUT_US (2 * CLK_S_US)
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503

struct plog_client
{
  GPtrArray *pools;         /* struct con_pool, one for each address */
  _Atomic uint32_t current; /* of the pool to use, modulo the pool count */
};

static void
destroy_pool (gpointer data)
{
  con_pool_destroy (data);
}

/* Creates a client of the log that is served at each of URLS, a
   NULL-terminated array of at least one.  Calls go to one address and,
   after a failure, to the next.  Several threads may use the client.  */
struct plog_client *
plog_create (char *const *urls)
{
  struct plog_client *client = g_new0 (struct plog_client, 1);
  client->pools = g_ptr_array_new_with_free_func (destroy_pool);
  for (size_t i = 0; urls[i] != NULL; i++)
    {
      g_ptr_array_add (client->pools, con_pool_create (urls[i]));
    }
  return client;
}

/* Frees CLIENT, which may be NULL.  No call may be in progress.  */
void
plog_destroy (struct plog_client *client)
{
  if (client == NULL)
    {
      return;
    }
  g_ptr_array_free (client->pools, TRUE);
  g_free (client);
}

static struct con_pool *
current_pool (struct plog_client *client)
{
  uint32_t index = atomic_load (&client->current) % client->pools->len;
  return g_ptr_array_index (client->pools, index);
}

/* Directs further calls to the next address.  */
static void
select_next_address (struct plog_client *client)
{
  atomic_fetch_add (&client->current, 1);
}

/* Sends an append request.  Returns ERR_NONE on HTTP status 200,
   ERR_LOG_UNAVAILABLE when the record was certainly not appended, and
   ERR_APPEND_UNKNOWN when it may have been.  */
static enum err_kind
run_append (struct plog_client *client, const char *path, const char *body,
            struct con_answer *response)
{
  struct con_call call = {
    .method = "POST",
    .path = path,
    .body = body,
    .body_bytes = strlen (body),
    .timeout_us = APPEND_TIMEOUT_US,
    /* On a reused connection, libcurl may send the request twice. */
    .new_connection = true,
  };
  enum err_kind error = con_call_run (current_pool (client), &call, response);
  if (error != ERR_NONE)
    {
      select_next_address (client);
      return response->maybe_sent ? ERR_APPEND_UNKNOWN : ERR_LOG_UNAVAILABLE;
    }
  if (response->status == STATUS_TOO_MANY
      || response->status == STATUS_UNAVAILABLE)
    {
      return ERR_LOG_UNAVAILABLE;
    }
  return response->status == 200 ? ERR_NONE : ERR_APPEND_UNKNOWN;
}

/* Appends one record to STREAM and sets OFFSET to the record's offset.  Sets
   UNAVAILABLE to whether the log responded that it is unavailable (503).
   Blocks for at most 2 s.  Errors: ERR_LOG_UNAVAILABLE when the record was
   certainly not appended, ERR_APPEND_UNKNOWN when it may have been.  */
enum err_kind
plog_append (struct plog_client *client, const char *stream,
             const uint8_t *bytes, size_t byte_count, uint64_t *offset,
             bool *unavailable)
{
  struct con_answer response;
  g_autofree char *path = g_strdup_printf ("/v1/log/%s", stream);
  g_autofree char *record = g_base64_encode (bytes, byte_count);
  g_autofree char *body = g_strdup_printf ("{\"record\":\"%s\"}", record);
  enum err_kind error = run_append (client, path, body, &response);
  *unavailable = response.status == STATUS_UNAVAILABLE;
  if (error == ERR_NONE)
    {
      json_t *json
          = json_loadb (response.body->str, response.body->len, 0, NULL);
      const json_t *value = json_object_get (json, "offset");
      *offset = (uint64_t)json_integer_value (value);
      error = json_is_integer (value) ? ERR_NONE : ERR_APPEND_UNKNOWN;
      json_decref (json);
    }
  con_answer_clear (&response);
  return error;
}

/* Decodes ITEM into RECORD, whose bytes the caller frees.  Returns false when
   ITEM has no payload.  */
static bool
parse_record (const json_t *item, struct plog_record *record)
{
  const char *text = json_string_value (json_object_get (item, "record"));
  if (text == NULL)
    {
      return false;
    }
  record->offset
      = (uint64_t)json_integer_value (json_object_get (item, "offset"));
  record->time_us = json_integer_value (json_object_get (item, "time_us"));
  record->bytes = g_base64_decode (text, &record->byte_count);
  return true;
}

/* Fills PAGE from the body of a response.  Returns ERR_PROTOCOL when the body
   is malformed; PAGE then holds the records before the error.  */
static enum err_kind
parse_page (const json_t *json, struct plog_page *page)
{
  const json_t *records = json_object_get (json, "records");
  const json_t *next = json_object_get (json, "next");
  if (!json_is_array (records) || !json_is_integer (next))
    {
      return ERR_PROTOCOL;
    }
  page->first = (uint64_t)json_integer_value (json_object_get (json, "first"));
  page->next = (uint64_t)json_integer_value (next);
  page->records = g_new0 (struct plog_record, json_array_size (records));
  size_t index;
  const json_t *item;
  json_array_foreach (records, index, item)
  {
    if (!parse_record (item, &page->records[page->record_count]))
      {
        return ERR_PROTOCOL;
      }
    page->record_count++;
  }
  return ERR_NONE;
}

/* Reads at most RECORDS_MAX records of STREAM, starting at offset FROM, and
   waits up to WAIT_MS for the first.  The caller frees PAGE with
   plog_page_clear in every case.  Blocks for at most 2 s more than WAIT_MS.
   Errors: ERR_LOG_UNAVAILABLE when the request failed or was rejected,
   ERR_PROTOCOL when the response is malformed.  */
enum err_kind
plog_read (struct plog_client *client, const char *stream, uint64_t from,
           uint32_t records_max, uint32_t wait_ms, struct plog_page *page)
{
  struct con_answer response;
  g_autofree char *path = g_strdup_printf ("/v1/log/%s?from=%" G_GUINT64_FORMAT
                                           "&max=%u&wait_ms=%u",
                                           stream, from, records_max, wait_ms);
  struct con_call call = {
    .method = "GET",
    .path = path,
    .timeout_us = READ_TIMEOUT_US + wait_ms * CLK_MS_US,
  };
  memset (page, 0, sizeof *page);
  enum err_kind error = con_call_run (current_pool (client), &call, &response);
  page->unavailable
      = error == ERR_NONE && response.status == STATUS_UNAVAILABLE;
  if (error != ERR_NONE || response.status != 200)
    {
      select_next_address (client);
      error = ERR_LOG_UNAVAILABLE;
    }
  else
    {
      json_t *json
          = json_loadb (response.body->str, response.body->len, 0, NULL);
      error = parse_page (json, page);
      json_decref (json);
    }
  con_answer_clear (&response);
  return error;
}

/* Frees the records of PAGE and empties PAGE.  */
void
plog_page_clear (struct plog_page *page)
{
  for (size_t i = 0; i < page->record_count; i++)
    {
      g_free ((gpointer)page->records[i].bytes);
    }
  g_free (page->records);
  memset (page, 0, sizeof *page);
}
