/* The simulated store: keyed topics with long-poll reads, served over HTTP. */
#include "standin/fleet_private.h"

#include "base/clock.h"
#include "platform/headers.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Size of the length before each record that is appended. */
#define LENGTH_BYTES 4

static void
init_topic (struct sfl_topic *topic)
{
  topic->records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  topic->times_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  topic->newest
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
clear_topic (struct sfl_topic *topic)
{
  g_ptr_array_free (topic->records, TRUE);
  g_array_free (topic->times_us, TRUE);
  g_hash_table_destroy (topic->newest);
}

/* Appends VALUE to BODY as a big-endian number of BYTES bytes.  */
static void
append_number (GByteArray *body, uint64_t value, uint32_t bytes)
{
  for (uint32_t i = bytes; i-- > 0;)
    {
      guint8 byte = (guint8)(value >> (8 * i));
      g_byte_array_append (body, &byte, 1);
    }
}

/* Answers CONNECTION with STATUS, BODY and the header that every answer of the
   store has.  */
void
sfl_store_respond (const struct sfl_fleet *fleet,
                   struct nsv_connection *connection, uint32_t status,
                   const void *body, size_t body_bytes)
{
  char headers[64];
  g_snprintf (headers, sizeof headers,
              PFH_STORE_ERA ": %" G_GUINT64_FORMAT "\r\n", fleet->era);
  nsv_respond (connection, status, headers, body, body_bytes);
}

/* Returns RECORD as the present call is to get it: with the addresses of the
   detours where it uses the store's.  */
static GBytes *
record_for_call (const struct sfl_fleet *fleet, GBytes *record)
{
  if (!fleet->detours)
    {
      return g_bytes_ref (record);
    }
  gsize bytes = 0;
  gconstpointer data = g_bytes_get_data (record, &bytes);
  GString *text = g_string_new_len (data, (gssize)bytes);
  for (guint i = 0; i < fleet->endpoints->len; i++)
    {
      const struct sfl_endpoint *endpoint
          = g_ptr_array_index (fleet->endpoints, i);
      g_autofree char *address = g_strdup_printf ("\"%s\"", endpoint->address);
      g_autofree char *detour = g_strdup_printf ("\"%s\"", endpoint->detour);
      g_string_replace (text, address, detour, 0);
    }
  return g_string_free_to_bytes (text);
}

/* Answers CONNECTION with the end offset and the first offset of TOPIC and the
   records from offset FROM on, each after its length.  */
static void
answer_read (const struct sfl_fleet *fleet, struct nsv_connection *connection,
             const struct sfl_topic *topic, uint64_t from)
{
  GByteArray *body = g_byte_array_new ();
  append_number (body, topic->records->len, 8);
  append_number (body, topic->first_offset, 8);
  for (guint i = (guint)from; i < topic->records->len; i++)
    {
      gsize bytes = 0;
      g_autoptr (GBytes) record
          = record_for_call (fleet, g_ptr_array_index (topic->records, i));
      gconstpointer data = g_bytes_get_data (record, &bytes);
      append_number (body, bytes, 4);
      g_byte_array_append (body, data, (guint)bytes);
    }
  sfl_store_respond (fleet, connection, HTTP_STATUS_OK, body->data, body->len);
  g_byte_array_free (body, TRUE);
}

static void
on_reader_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Ends the long-poll read READER; sends its answer when ANSWER is true.  */
static void
end_reader (struct sfl_reader *reader, bool answer)
{
  if (reader->ended)
    {
      return;
    }
  reader->ended = true;
  g_ptr_array_remove (reader->fleet->readers, reader);
  if (answer)
    {
      reader->fleet->detours = reader->detours;
      answer_read (reader->fleet, reader->connection, reader->topic,
                   reader->from);
      reader->fleet->detours = false;
    }
  uv_close ((uv_handle_t *)&reader->timer, on_reader_closed);
}

static void
on_wait_timeout (uv_timer_t *timer)
{
  end_reader (timer->data, true);
}

/* Returns the key of RECORD, allocated, and sets HAS_VALUE unless it is NULL.
 */
char *
sfl_record_key (GBytes *record, bool *has_value)
{
  gsize bytes = 0;
  const guint8 *data = g_bytes_get_data (record, &bytes);
  if (has_value != NULL)
    {
      *has_value = bytes > (gsize)data[0] + 1;
    }
  return g_strndup ((const char *)data + 1, data[0]);
}

/* Notes the record at OFFSET of TOPIC as the newest one of its key.  */
void
sfl_index_record (struct sfl_topic *topic, guint offset)
{
  bool has_value = false;
  char *key = sfl_record_key (g_ptr_array_index (topic->records, offset),
                              &has_value);
  if (has_value)
    {
      g_hash_table_insert (topic->newest, key, GUINT_TO_POINTER (offset + 1));
    }
  else
    {
      g_hash_table_remove (topic->newest, key);
      g_free (key);
    }
}

/* Appends RECORD, of which this function takes the reference, to TOPIC and
   answers the reads that wait for the topic.  */
void
sfl_append_record (struct sfl_fleet *fleet, struct sfl_topic *topic,
                   GBytes *record)
{
  int64_t now_us = clk_monotonic_us ();
  g_ptr_array_add (topic->records, record);
  g_array_append_val (topic->times_us, now_us);
  sfl_index_record (topic, topic->records->len - 1);
  for (guint i = fleet->readers->len; i-- > 0;)
    {
      struct sfl_reader *reader = g_ptr_array_index (fleet->readers, i);
      if (reader->topic == topic)
        {
          end_reader (reader, true);
        }
    }
}

/* Appends a record with KEY and VALUE to TOPIC.  A NULL VALUE appends a record
   that removes KEY.  */
void
sfl_append (struct sfl_fleet *fleet, struct sfl_topic *topic, const char *key,
            const char *value)
{
  GByteArray *record = g_byte_array_new ();
  append_number (record, strlen (key), 1);
  g_byte_array_append (record, (const guint8 *)key, (guint)strlen (key));
  if (value != NULL)
    {
      g_byte_array_append (record, (const guint8 *)value,
                           (guint)strlen (value));
    }
  sfl_append_record (fleet, topic, g_byte_array_free_to_bytes (record));
}

/* Returns the topic that the query of URL names.  All names but those of the
   platform's own topics mean the one topic of the daemons.  */
static struct sfl_topic *
find_topic (struct sfl_fleet *fleet, const char *url)
{
  return strstr (url, "Topic=keyed.op&") != NULL ? &fleet->operator_topic
         : strstr (url, "Topic=keyed.servers&") != NULL
             ? &fleet->endpoint_topic
         : strstr (url, "Topic=keyed.daemons&") != NULL
             ? &fleet->directory_topic
             : &fleet->daemon_topic;
}

/* Returns the big-endian number of BYTES bytes at DATA.  */
static size_t
read_number (const uint8_t *data, uint32_t bytes)
{
  size_t value = 0;
  for (uint32_t i = 0; i < bytes; i++)
    {
      value = value << 8 | data[i];
    }
  return value;
}

/* Appends the records in the body of REQUEST, each of which follows its
   length, to the daemons' topic.  Records a violation when the body can't be
   read or the topic is one of the platform's.  */
static void
append_records (struct sfl_fleet *fleet, struct nsv_connection *connection,
                const struct msg_message *request)
{
  struct sfl_topic *topic = find_topic (fleet, request->url->str);
  const uint8_t *data = request->body->data;
  size_t left = request->body->len;
  if (topic != &fleet->daemon_topic && topic != &fleet->directory_topic)
    {
      sfl_record_violation (fleet, "a topic of the platform is written");
      sfl_store_respond (fleet, connection, HTTP_STATUS_FORBIDDEN, "", 0);
      return;
    }
  while (left >= LENGTH_BYTES)
    {
      size_t bytes = read_number (data, LENGTH_BYTES);
      data += LENGTH_BYTES;
      left -= LENGTH_BYTES;
      if (bytes < 2 || bytes > left || data[0] >= bytes)
        {
          break;
        }
      sfl_append_record (fleet, topic, g_bytes_new (data, bytes));
      data += bytes;
      left -= bytes;
    }
  if (left > 0)
    {
      sfl_record_violation (fleet, "records can't be read");
    }
  sfl_store_respond (fleet, connection, HTTP_STATUS_OK, "{}", 2);
}

/* Answers a read at once when records are there or the read doesn't wait, else
   when a record arrives or the wait time has passed.  */
static void
read_topic (struct sfl_fleet *fleet, struct nsv_connection *connection,
            const char *url)
{
  struct sfl_topic *topic = find_topic (fleet, url);
  uint64_t from = msg_query_number (url, "From=");
  uint64_t wait_ms = msg_query_number (url, "WaitMs=");
  if (from < topic->first_offset || from > topic->records->len)
    {
      sfl_store_respond (fleet, connection, HTTP_STATUS_GONE, "{}", 2);
      return;
    }
  if (from < topic->records->len || wait_ms == 0)
    {
      answer_read (fleet, connection, topic, from);
      return;
    }
  struct sfl_reader *reader = g_new0 (struct sfl_reader, 1);
  reader->fleet = fleet;
  reader->connection = connection;
  reader->topic = topic;
  reader->from = from;
  reader->detours = fleet->detours;
  uv_timer_init (fleet->params.loop, &reader->timer);
  reader->timer.data = reader;
  uv_timer_start (&reader->timer, on_wait_timeout, wait_ms, 0);
  g_ptr_array_add (fleet->readers, reader);
  nsv_set_request_context (connection, reader);
}

/* Answers with the newest value of each key of a topic, as JSON.  */
static void
list_newest (struct sfl_fleet *fleet, struct nsv_connection *connection,
             const char *url)
{
  const struct sfl_topic *topic = find_topic (fleet, url);
  json_t *items = json_array ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, topic->newest);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      guint offset = GPOINTER_TO_UINT (value) - 1;
      gsize bytes = 0;
      g_autoptr (GBytes) listed = record_for_call (
          fleet, g_ptr_array_index (topic->records, offset));
      const guint8 *record = g_bytes_get_data (listed, &bytes);
      size_t value_start = 1 + strlen (key);
      char *encoded
          = g_base64_encode (record + value_start, bytes - value_start);
      json_array_append_new (
          items, json_pack ("{s:s,s:s,s:i}", "Key", (const char *)key, "Value",
                            encoded, "Offset", (int)offset));
      g_free (encoded);
    }
  json_t *root = json_pack ("{s:o,s:b,s:i}", "Items", items, "HasMore", 0,
                            "End", (int)topic->records->len);
  char *text = json_dumps (root, JSON_COMPACT);
  sfl_store_respond (fleet, connection, HTTP_STATUS_OK, text, strlen (text));
  free (text);
  json_decref (root);
}

static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  (void)method;
  struct sfl_fleet *fleet = context;
  const char *url = request->url->str;
  if (fleet->store_state == SFL_STORE_NEVER_ANSWERS)
    {
      return;
    }
  if (fleet->store_state == SFL_STORE_LOSES_ANSWERS)
    {
      if (g_str_has_prefix (url, "/api/log-join"))
        {
          sfl_group_join_unanswered (fleet, request);
        }
      nsv_abort (connection);
      return;
    }
  if (fleet->store_state == SFL_STORE_REFUSES)
    {
      sfl_store_respond (fleet, connection, HTTP_STATUS_SERVICE_UNAVAILABLE,
                         "", 0);
    }
  else if (g_str_has_prefix (url, "/api/log-read"))
    {
      read_topic (fleet, connection, url);
    }
  else if (g_str_has_prefix (url, "/api/log-newest"))
    {
      list_newest (fleet, connection, url);
    }
  else if (g_str_has_prefix (url, "/api/log-append"))
    {
      append_records (fleet, connection, request);
    }
  else if (g_str_has_prefix (url, "/api/log-join")
           || g_str_has_prefix (url, "/api/log-leave"))
    {
      sfl_group_serve (fleet, connection, request,
                       g_str_has_prefix (url, "/api/log-leave"));
    }
  else if (g_str_has_prefix (url, "/api/log-owners"))
    {
      sfl_group_list_owners (fleet, connection);
    }
  else
    {
      sfl_store_respond (fleet, connection, HTTP_STATUS_NOT_FOUND, "", 0);
    }
}

static void
on_gone (void *context)
{
  end_reader (context, false);
}

static void
on_drained (void *context)
{
  (void)context;
}

static const struct nsv_events events = {
  .request = on_request,
  .disconnected = on_gone,
  .drained = on_drained,
};

static void
on_detour_request (void *context, struct nsv_connection *connection,
                   const struct msg_message *request, const char *method)
{
  struct sfl_fleet *fleet = context;
  fleet->detours = true;
  on_request (fleet, connection, request, method);
  fleet->detours = false;
}

/* Starts the detour of the store of FLEET.  */
void
sfl_store_open_detour (struct sfl_fleet *fleet)
{
  static struct nsv_events detour_events;
  detour_events = events;
  detour_events.request = on_detour_request;
  fleet->detour
      = sfl_listen (fleet, &detour_events, fleet, &fleet->detour_address);
}

/* Starts the store of FLEET with empty topics.  */
void
sfl_store_open (struct sfl_fleet *fleet)
{
  init_topic (&fleet->operator_topic);
  init_topic (&fleet->endpoint_topic);
  init_topic (&fleet->daemon_topic);
  init_topic (&fleet->directory_topic);
  fleet->readers = g_ptr_array_new ();
  sfl_group_open (fleet);
  sfl_restore_open (fleet);
  fleet->store = sfl_listen (fleet, &events, fleet, &fleet->store_address);
}

/* Stops the store of FLEET and frees its topics and group.  */
void
sfl_store_close (struct sfl_fleet *fleet)
{
  nsv_destroy (fleet->store);
  if (fleet->detour != NULL)
    {
      nsv_destroy (fleet->detour);
    }
  g_free (fleet->detour_address);
  sfl_restore_close (fleet);
  clear_topic (&fleet->operator_topic);
  clear_topic (&fleet->endpoint_topic);
  clear_topic (&fleet->daemon_topic);
  clear_topic (&fleet->directory_topic);
  g_ptr_array_free (fleet->readers, TRUE);
  g_free (fleet->store_address);
  sfl_group_close (fleet);
}

/* Ends the waiting reads without an answer and closes their connections if
   CLOSE_CONNECTIONS.  */
void
sfl_drop_readers (struct sfl_fleet *fleet, bool close_connections)
{
  while (fleet->readers->len > 0)
    {
      struct sfl_reader *reader = g_ptr_array_index (fleet->readers, 0);
      struct nsv_connection *connection = reader->connection;
      end_reader (reader, false);
      nsv_set_request_context (connection, NULL);
      if (close_connections)
        {
          nsv_abort (connection);
        }
    }
}

/* Sets how the store handles calls from now on.  Unless STATE is
   SFL_STORE_NO_FAULT, waiting reads are dropped: SFL_STORE_REFUSES closes
   their connections, any other state leaves them open without an answer.  */
void
sfl_set_store (struct sfl_fleet *fleet, enum sfl_store_state state)
{
  fleet->store_state = state;
  if (state != SFL_STORE_NO_FAULT)
    {
      sfl_drop_readers (fleet, state == SFL_STORE_REFUSES);
    }
}

/* Makes the records appended so far unreadable by offset, in all topics.  The
   newest value of each key stays available.  */
void
sfl_truncate_history (struct sfl_fleet *fleet)
{
  fleet->operator_topic.first_offset = fleet->operator_topic.records->len;
  fleet->endpoint_topic.first_offset = fleet->endpoint_topic.records->len;
  fleet->daemon_topic.first_offset = fleet->daemon_topic.records->len;
  fleet->directory_topic.first_offset = fleet->directory_topic.records->len;
}
