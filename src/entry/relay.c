#include "entry/relay.h"

#include "base/clock.h"
#include "base/error.h"
#include "net/server.h"
#include "proto/relay.pb-c.h"

#include <string.h>

#define PATH "/relay?topic="

/* A relay that hasn't reached the store for so long sends its readers there.
 */
#define PROOF_AGE_MAX_US (2800 * CLK_MS_US)

/* Records that are told at once. */
#define RECORDS_MAX 4096

/* Bounds on other daemons as callers. */
#define BODY_BYTES_MAX 1024
#define HEADER_BYTES_MAX 4096
#define HEADER_TIMEOUT_US (3 * CLK_S_US)
#define IDLE_TIMEOUT_US (15 * CLK_S_US)
#define UNSENT_BYTES_MAX 1048576
#define SILENCE_MS 3000
#define CONNECTIONS_MAX 1024
#define SWEEP_MS 500

/* The newest change of one key. */
struct change
{
  char *key;
  GBytes *value; /* NULL: the key was removed */
  uint64_t offset;
};

struct mirror
{
  char *topic;
  GHashTable *changes; /* key to struct change */
  uint64_t floor;      /* removals before this offset aren't known */
  uint64_t end;
  uint64_t newest;    /* offset of the newest change */
  int64_t proved_us;  /* 0: nothing read yet */
  GPtrArray *readers; /* struct reader, that wait for news */
};

/* A daemon that waits for news. */
struct reader
{
  struct mirror *mirror;
  struct nsv_connection *connection;
  uint64_t from;
  int64_t arrived_us;
  uv_timer_t timer;
  bool over;
};

struct rly_relay
{
  uv_loop_t *loop;
  struct nsv_server *server;
  GHashTable *mirrors; /* topic to struct mirror */
  uv_timer_t sweep;
};

static void
destroy_change (gpointer data)
{
  struct change *change = data;
  g_free (change->key);
  if (change->value != NULL)
    {
      g_bytes_unref (change->value);
    }
  g_free (change);
}

static void
destroy_mirror (gpointer data)
{
  struct mirror *mirror = data;
  g_free (mirror->topic);
  g_hash_table_destroy (mirror->changes);
  g_ptr_array_free (mirror->readers, TRUE);
  g_free (mirror);
}

/* Returns the mirror of TOPIC, made at need.  */
static struct mirror *
find_mirror (struct rly_relay *relay, const char *topic)
{
  struct mirror *mirror = g_hash_table_lookup (relay->mirrors, topic);
  if (mirror == NULL)
    {
      mirror = g_new0 (struct mirror, 1);
      mirror->topic = g_strdup (topic);
      mirror->changes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                               destroy_change);
      mirror->readers = g_ptr_array_new ();
      g_hash_table_insert (relay->mirrors, mirror->topic, mirror);
    }
  return mirror;
}

/* Answers CONNECTION, whose request arrived at ARRIVED_US, with the changes of
   MIRROR from the offset FROM on, or sends it to the store if removals since
   then aren't known.  */
static void
answer (const struct mirror *mirror, struct nsv_connection *connection,
        uint64_t from, int64_t arrived_us)
{
  if (from < mirror->floor)
    {
      nsv_answer (connection, HTTP_STATUS_GONE, "", "", 0);
      return;
    }
  GArray *records = g_array_new (FALSE, FALSE, sizeof (RelayRecord));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mirror->changes);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && records->len < RECORDS_MAX)
    {
      const struct change *change = value;
      if (change->offset < from)
        {
          continue;
        }
      RelayRecord record = RELAY_RECORD__INIT;
      record.key = change->key;
      record.offset = change->offset;
      record.removed = change->value == NULL;
      if (change->value != NULL)
        {
          gsize bytes = 0;
          record.value.data
              = (uint8_t *)g_bytes_get_data (change->value, &bytes);
          record.value.len = bytes;
        }
      g_array_append_val (records, record);
    }
  RelayRecord **pointers = g_new (RelayRecord *, records->len + 1);
  for (guint i = 0; i < records->len; i++)
    {
      pointers[i] = &g_array_index (records, RelayRecord, i);
    }
  RelayPage page = RELAY_PAGE__INIT;
  page.n_records = records->len;
  page.records = pointers;
  page.end = mirror->end;
  page.proof_lead_us = mirror->proved_us - arrived_us;
  size_t bytes = relay_page__get_packed_size (&page);
  uint8_t *body = g_malloc (bytes + 1);
  relay_page__pack (&page, body);
  nsv_answer (connection, HTTP_STATUS_OK, "", body, bytes);
  g_free (body);
  g_free (pointers);
  g_array_free (records, TRUE);
}

static void
on_reader_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Ends READER, with an answer if TELL.  */
static void
end_reader (struct reader *reader, bool tell)
{
  if (reader->over)
    {
      return;
    }
  reader->over = true;
  g_ptr_array_remove (reader->mirror->readers, reader);
  if (tell)
    {
      answer (reader->mirror, reader->connection, reader->from,
              reader->arrived_us);
    }
  uv_close ((uv_handle_t *)&reader->timer, on_reader_closed);
}

static void
on_wait_over (uv_timer_t *timer)
{
  end_reader (timer->data, true);
}

/* Lets CONNECTION wait for news of MIRROR.  */
static void
add_reader (struct rly_relay *relay, struct mirror *mirror,
            struct nsv_connection *connection, uint64_t from, uint64_t wait_ms)
{
  struct reader *reader = g_new0 (struct reader, 1);
  reader->mirror = mirror;
  reader->connection = connection;
  reader->from = from;
  reader->arrived_us = clk_monotonic_us ();
  uv_timer_init (relay->loop, &reader->timer);
  reader->timer.data = reader;
  uv_timer_start (&reader->timer, on_wait_over, wait_ms, 0);
  g_ptr_array_add (mirror->readers, reader);
  nsv_bind (connection, reader);
}

static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  (void)method;
  struct rly_relay *relay = context;
  const char *url = request->url->str;
  if (!g_str_has_prefix (url, PATH))
    {
      nsv_answer (connection, HTTP_STATUS_NOT_FOUND, "", "", 0);
      return;
    }
  size_t name_bytes = strcspn (url + strlen (PATH), "&");
  char *topic = g_strndup (url + strlen (PATH), name_bytes);
  struct mirror *mirror = g_hash_table_lookup (relay->mirrors, topic);
  g_free (topic);
  uint64_t from = msg_query_number (url, "&from=");
  int64_t now_us = clk_monotonic_us ();
  if (mirror == NULL || mirror->proved_us == 0
      || now_us - mirror->proved_us > PROOF_AGE_MAX_US)
    {
      nsv_answer (connection, HTTP_STATUS_SERVICE_UNAVAILABLE, "", "", 0);
    }
  else if (from < mirror->floor
           || (g_hash_table_size (mirror->changes) > 0
               && from <= mirror->newest))
    {
      answer (mirror, connection, from, now_us);
    }
  else
    {
      add_reader (relay, mirror, connection, from,
                  msg_query_number (url, "&wait="));
    }
}

static void
on_gone (void *reader)
{
  end_reader (reader, false);
}

static void
on_drained (void *reader)
{
  (void)reader;
}

static const struct nsv_events events = {
  .request = on_request,
  .gone = on_gone,
  .drained = on_drained,
};

static void
on_sweep (uv_timer_t *timer)
{
  struct rly_relay *relay = timer->data;
  nsv_expire (relay->server, clk_monotonic_us ());
}

/* Opens the relay of this daemon on ADDRESS.  Returns NULL with ERR_SETTINGS
   when it can't listen there.  */
struct rly_relay *
rly_create (uv_loop_t *loop, const char *address, GError **error)
{
  const struct nsv_limits limits = {
    .header_bytes_max = HEADER_BYTES_MAX,
    .body_bytes_max = BODY_BYTES_MAX,
    .header_timeout_us = HEADER_TIMEOUT_US,
    .idle_timeout_us = IDLE_TIMEOUT_US,
    .unsent_bytes_max = UNSENT_BYTES_MAX,
    .silence_ms = SILENCE_MS,
    .connections_max = CONNECTIONS_MAX,
  };
  struct rly_relay *relay = g_new0 (struct rly_relay, 1);
  relay->loop = loop;
  relay->mirrors
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_mirror);
  relay->server = nsv_create (loop, address, &limits, &events, relay, error);
  if (relay->server == NULL)
    {
      g_hash_table_destroy (relay->mirrors);
      g_free (relay);
      return NULL;
    }
  uv_timer_init (loop, &relay->sweep);
  relay->sweep.data = relay;
  uv_timer_start (&relay->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  return relay;
}

static void
on_sweep_closed (uv_handle_t *handle)
{
  struct rly_relay *relay = handle->data;
  g_hash_table_destroy (relay->mirrors);
  g_free (relay);
}

/* Closes RELAY; the loop must run once more.  */
void
rly_destroy (struct rly_relay *relay)
{
  nsv_destroy (relay->server);
  uv_close ((uv_handle_t *)&relay->sweep, on_sweep_closed);
}

/* Takes RECORD of TOPIC, which changes something.  Those who wait are told
   with rly_current.  */
void
rly_put (struct rly_relay *relay, const char *topic,
         const struct pfs_record *record)
{
  struct mirror *mirror = find_mirror (relay, topic);
  const struct change *known
      = g_hash_table_lookup (mirror->changes, record->key);
  if (known != NULL && known->offset > record->offset)
    {
      return;
    }
  struct change *change = g_new0 (struct change, 1);
  change->key = g_strdup (record->key);
  change->offset = record->offset;
  if (record->value != NULL)
    {
      change->value = g_bytes_new (record->value, record->value_bytes);
    }
  g_hash_table_replace (mirror->changes, change->key, change);
  mirror->newest = MAX (mirror->newest, record->offset);
}

/* Notes that TOPIC was read as a whole when it ended at FLOOR: readers that
   know less have to do so too, since removals before it aren't known.  */
void
rly_restart (struct rly_relay *relay, const char *topic, uint64_t floor)
{
  find_mirror (relay, topic)->floor = floor;
}

/* Notes that TOPIC was read up to END, and that nothing more was there at
   PROVED_US.  Those who wait are told.  */
void
rly_current (struct rly_relay *relay, const char *topic, uint64_t end,
             int64_t proved_us)
{
  struct mirror *mirror = find_mirror (relay, topic);
  mirror->end = end;
  mirror->proved_us = MAX (mirror->proved_us, proved_us);
  for (guint i = mirror->readers->len; i-- > 0;)
    {
      end_reader (g_ptr_array_index (mirror->readers, i), true);
    }
}

/* Returns the path that asks a relay for changes of TOPIC from the offset FROM
   on, within WAIT_MS.  The caller frees it.  */
char *
rly_path (const char *topic, uint64_t from, uint32_t wait_ms)
{
  return g_strdup_printf (PATH "%s&from=%" G_GUINT64_FORMAT "&wait=%u", topic,
                          from, wait_ms);
}

static gint
compare_offsets (gconstpointer a, gconstpointer b)
{
  const struct pfs_record *const *left = a;
  const struct pfs_record *const *right = b;
  return ((*left)->offset > (*right)->offset)
         - ((*left)->offset < (*right)->offset);
}

/* Decodes the answer BODY of a relay.  PROOF_LEAD_US is the time from the
   request's arrival there to the proof.  Returns false with ERR_PROTOCOL when
   it can't be read.  PAGE is to be cleared in both cases.  */
bool
rly_decode (const void *body, size_t body_bytes, struct pfs_page *page,
            int64_t *proof_lead_us, GError **error)
{
  pfs_start_page (page);
  RelayPage *decoded = relay_page__unpack (NULL, body_bytes, body);
  if (decoded == NULL)
    {
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "a relay's page can't be read");
      return false;
    }
  for (size_t i = 0; i < decoded->n_records; i++)
    {
      const RelayRecord *told = decoded->records[i];
      struct pfs_record *record = g_new0 (struct pfs_record, 1);
      record->key = g_strdup (told->key);
      record->offset = told->offset;
      if (!told->removed)
        {
          record->value = g_memdup2 (told->value.data, told->value.len);
          record->value_bytes = told->value.len;
        }
      g_ptr_array_add (page->records, record);
    }
  g_ptr_array_sort (page->records, compare_offsets);
  page->end = decoded->end;
  *proof_lead_us = decoded->proof_lead_us;
  relay_page__free_unpacked (decoded, NULL);
  return true;
}
