#include "entry/relay.h"

#include "base/clock.h"
#include "base/deflate.h"
#include "base/error.h"
#include "base/log.h"
#include "core/departures.h"
#include "core/era.h"
#include "entry/load_aggregator.h"
#include "net/server.h"
#include "proto/relay.pb-c.h"

#include <string.h>

#define RELAY_PATH "/relay?topic="

/* Age of the newest proof from which a relay answers 503, for readers that
   don't state which age they accept. */
#define PROOF_AGE_MAX_US (2800 * CLK_MS_US)

/* Removed keys that are kept of a topic; with more, all are forgotten. */
#define REMOVALS_MAX 4096

/* Limits on the connections of other daemons. */
#define BODY_BYTES_MAX 32768 /* of a statement of load, with 256 engines */
#define HEADER_BYTES_MAX 4096
#define HEADER_TIMEOUT_US (3 * CLK_S_US)
#define IDLE_TIMEOUT_US (15 * CLK_S_US)
#define UNSENT_BYTES_MAX 1048576
#define USER_TIMEOUT_MS 3000
#define CONNECTIONS_MAX 1536

/* A reader has a connection for each topic. */
#define CONNECTIONS_PER_READER 3

/* Records of fewer bytes than this are sent uncompressed. */
#define PACKED_BYTES_MIN 1024

/* Interval at which time-outs are checked. */
#define SWEEP_MS 500

/* The newest change of one key. */
struct change
{
  char *key;
  GBytes *value; /* NULL: the key was removed */
  uint64_t offset;
  bool named; /* by the snapshot in progress */
};

/* The part of a topic that this daemon has read. */
struct mirror
{
  char *topic;
  uint64_t era;        /* of the store, to which the offsets belong */
  bool restored;       /* the store was restored since this daemon's start */
  GHashTable *changes; /* key to struct change */
  uint64_t floor;      /* removals at lower offsets aren't known */
  uint64_t end;        /* the topic was read up to this offset */
  uint64_t newest;     /* offset of the newest change */
  uint32_t removals;   /* changes that are removals */
  bool complete;       /* a snapshot of the topic has been read */
  int64_t proved_us;   /* monotonic; nothing more was in the topic then; 0: not
                          read yet */
  GPtrArray *readers;  /* struct reader; waiting requests */
  GBytes *packed;      /* records from `packed_from' on as they were sent last;
                          NULL: they have changed since */
  uint64_t packed_from;
  size_t unpacked_bytes;
};

/* What a request of another daemon asks for. */
struct query
{
  uint64_t era;             /* to which `from' belongs */
  uint64_t from;            /* first offset that it asks for */
  uint64_t departures_mark; /* what it knows of these */
  bool packed;              /* accepts compressed records */
  int64_t arrived_us;       /* monotonic */
};

/* A request of another daemon that waits for changes. */
struct reader
{
  struct lag_waiter waiter;
  struct rly_relay *relay;
  struct mirror *mirror;
  struct nsv_connection *connection;
  struct query query;
  uv_timer_t timer;
  bool finished; /* its timer is closing */
};

struct rly_relay
{
  uv_loop_t *loop;
  struct nsv_server *server;
  GHashTable *mirrors; /* topic to struct mirror */
  uint32_t partitions; /* of the group's topic that this daemon owns */
  struct vdt_verdicts *verdicts; /* which endpoints leave; NULL: unknown */
  uint64_t mark_base; /* what a reader states that knows the first N of this
                         relay's departures is N higher */
  struct lag_aggregator *load;
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

/* Forgets the compressed records of MIRROR, since its changes are others now.
 */
static void
drop_packed (struct mirror *mirror)
{
  if (mirror->packed != NULL)
    {
      g_bytes_unref (mirror->packed);
      mirror->packed = NULL;
    }
}

static void
destroy_mirror (gpointer data)
{
  struct mirror *mirror = data;
  g_free (mirror->topic);
  drop_packed (mirror);
  g_hash_table_destroy (mirror->changes);
  g_ptr_array_free (mirror->readers, TRUE);
  g_free (mirror);
}

/* Returns the mirror of TOPIC, created if it is new.  */
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

/* True when RELAY knows departures that the reader of QUERY wants and may not
   know.  */
static bool
has_departures (const struct rly_relay *relay, const struct query *query)
{
  if (relay->verdicts == NULL || query->departures_mark == RLY_NO_DEPARTURES)
    {
      return false;
    }
  uint64_t count = vdt_leaving_count (relay->verdicts);
  return count > 0 && query->departures_mark != relay->mark_base + count;
}

/* Returns the departures that the reader of QUERY doesn't know, struct
   dep_departure, and sets MARK to what it knows with them.  One that has its
   mark from another relay gets all.  The caller frees the list.  */
static GPtrArray *
list_departures (const struct rly_relay *relay, const struct query *query,
                 uint64_t *mark)
{
  uint64_t known = 0;
  if (query->departures_mark > relay->mark_base
      && query->departures_mark - relay->mark_base
             <= vdt_leaving_count (relay->verdicts))
    {
      known = query->departures_mark - relay->mark_base;
    }
  GPtrArray *list
      = vdt_list_leaving (relay->verdicts, known, RLY_DEPARTURES_MAX, mark);
  *mark += relay->mark_base;
  return list;
}

/* Sets the departures of PAGE to LIST, struct dep_departure, which must
   outlive it.  The caller clears PAGE with clear_departures.  */
static void
set_departures (RelayPage *page, const GPtrArray *list)
{
  page->departures = g_new (RelayDeparture *, list->len + 1);
  page->n_departures = list->len;
  for (guint i = 0; i < list->len; i++)
    {
      const struct dep_departure *known = g_ptr_array_index (list, i);
      RelayDeparture *departure = g_new (RelayDeparture, 1);
      relay_departure__init (departure);
      departure->id = known->id;
      departure->born_ms = known->born_ms;
      page->departures[i] = departure;
    }
}

static void
clear_departures (RelayPage *page)
{
  for (size_t i = 0; i < page->n_departures; i++)
    {
      g_free (page->departures[i]);
    }
  g_free (page->departures);
}

/* Returns the changes of MIRROR from the offset FROM on, RelayRecord, which
   refer to MIRROR.  The caller frees the array.  */
static GArray *
list_records (const struct mirror *mirror, uint64_t from)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (RelayRecord));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mirror->changes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
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
  return records;
}

/* Returns the number of connections to RELAY without those on which daemons
   exchange their load.  */
static uint32_t
reader_connections (const struct rly_relay *relay)
{
  uint32_t connections = nsv_connection_count (relay->server);
  return connections - MIN (connections, lag_waiting (relay->load));
}

/* Returns the number of daemons that read from RELAY.  */
uint32_t
rly_readers (const struct rly_relay *relay)
{
  return reader_connections (relay) / CONNECTIONS_PER_READER;
}

/* Compresses RECORDS, those of MIRROR from the offset FROM on, for this reader
   and for the next ones with the same position.  */
static void
pack_records (struct mirror *mirror, uint64_t from, RelayRecord **records,
              size_t count)
{
  RelayRecords message = RELAY_RECORDS__INIT;
  message.n_records = count;
  message.records = records;
  size_t bytes = relay_records__get_packed_size (&message);
  uint8_t *data = g_malloc (bytes + 1);
  relay_records__pack (&message, data);
  drop_packed (mirror);
  mirror->packed = dfl_compress (data, bytes);
  mirror->packed_from = from;
  mirror->unpacked_bytes = bytes;
  g_free (data);
}

/* Sets the records of PAGE to the COUNT RECORDS, those of MIRROR from the
   offset FROM on; to their compressed form if PACKED and if they are large.
   PAGE refers to MIRROR and RECORDS.  */
static void
set_records (RelayPage *page, struct mirror *mirror, uint64_t from,
             RelayRecord **records, size_t count, bool packed)
{
  page->records = records;
  page->n_records = count;
  if (!packed || relay_page__get_packed_size (page) < PACKED_BYTES_MIN)
    {
      return;
    }
  if (mirror->packed == NULL || mirror->packed_from != from)
    {
      pack_records (mirror, from, records, count);
    }
  gsize bytes = 0;
  page->n_records = 0;
  page->packed_records.data
      = (uint8_t *)g_bytes_get_data (mirror->packed, &bytes);
  page->packed_records.len = bytes;
  page->unpacked_bytes = mirror->unpacked_bytes;
}

/* Answers QUERY of CONNECTION with the changes of MIRROR in RELAY; with all
   that MIRROR holds if WHOLE.  */
static void
send_page (const struct rly_relay *relay, struct mirror *mirror,
           struct nsv_connection *connection, const struct query *query,
           bool whole)
{
  uint64_t from = whole ? 0 : query->from;
  g_autoptr (GArray) records = list_records (mirror, from);
  g_autofree RelayRecord **pointers = g_new (RelayRecord *, records->len + 1);
  for (guint i = 0; i < records->len; i++)
    {
      pointers[i] = &g_array_index (records, RelayRecord, i);
    }
  RelayPage page = RELAY_PAGE__INIT;
  set_records (&page, mirror, from, pointers, records->len, query->packed);
  page.era = mirror->era;
  page.whole = whole;
  page.end = mirror->end;
  page.proof_lead_us = mirror->proved_us == 0
                           ? RLY_NO_PROOF_US
                           : mirror->proved_us - query->arrived_us;
  page.partitions = relay->partitions;
  page.readers = MAX (rly_readers (relay), 1);
  g_autoptr (GPtrArray) departures = NULL;
  if (has_departures (relay, query))
    {
      departures = list_departures (relay, query, &page.departures_mark);
      set_departures (&page, departures);
    }
  size_t bytes = relay_page__get_packed_size (&page);
  g_autofree uint8_t *body = g_malloc (bytes + 1);
  relay_page__pack (&page, body);
  nsv_respond (connection, HTTP_STATUS_OK, "", body, bytes);
  clear_departures (&page);
}

/* True when the offsets of a reader of ERA mean other records than those of
   MIRROR.  A reader that states no era may have its offsets from before a
   restore.  */
static bool
is_other_era (const struct mirror *mirror, uint64_t era)
{
  return era != mirror->era && (era != ERA_UNKNOWN || mirror->restored);
}

/* Answers QUERY of CONNECTION for changes.  A reader of an earlier era gets
   all that MIRROR holds.  Otherwise, the reader asks another relay or the
   store: at 503 since MIRROR doesn't show a state of the topic that the reader
   can use, at 410 since removals after its position may be unknown.  */
static void
send_answer (const struct rly_relay *relay, struct mirror *mirror,
             struct nsv_connection *connection, const struct query *query)
{
  bool other_era = is_other_era (mirror, query->era);
  if (mirror->proved_us == 0 || (other_era && query->era > mirror->era))
    {
      nsv_respond (connection, HTTP_STATUS_SERVICE_UNAVAILABLE, "", "", 0);
    }
  else if (other_era && query->era != ERA_UNKNOWN && mirror->complete)
    {
      send_page (relay, mirror, connection, query, true);
    }
  else if (other_era || query->from < mirror->floor)
    {
      nsv_respond (connection, HTTP_STATUS_GONE, "", "", 0);
    }
  else
    {
      send_page (relay, mirror, connection, query, false);
    }
}

static void
on_reader_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Ends the wait of READER; answers it if RESPOND, and not if its connection is
   gone.  */
static void
finish_reader (struct reader *reader, bool respond)
{
  if (reader->finished)
    {
      return;
    }
  reader->finished = true;
  g_ptr_array_remove (reader->mirror->readers, reader);
  if (respond)
    {
      send_answer (reader->relay, reader->mirror, reader->connection,
                   &reader->query);
    }
  uv_close ((uv_handle_t *)&reader->timer, on_reader_closed);
}

static void
on_reader_gone (struct lag_waiter *waiter)
{
  finish_reader ((struct reader *)waiter, false);
}

static void
on_wait_expired (uv_timer_t *timer)
{
  finish_reader (timer->data, true);
}

/* Makes QUERY of CONNECTION wait up to WAIT_MS for changes of MIRROR.  */
static void
add_reader (struct rly_relay *relay, struct mirror *mirror,
            struct nsv_connection *connection, const struct query *query,
            uint64_t wait_ms)
{
  struct reader *reader = g_new0 (struct reader, 1);
  reader->waiter.gone = on_reader_gone;
  reader->relay = relay;
  reader->mirror = mirror;
  reader->connection = connection;
  reader->query = *query;
  uv_timer_init (relay->loop, &reader->timer);
  reader->timer.data = reader;
  uv_timer_start (&reader->timer, on_wait_expired, wait_ms, 0);
  g_ptr_array_add (mirror->readers, reader);
  nsv_set_request_context (connection, reader);
}

/* Handles a request of another daemon: answers 503 without a proof that is as
   recent as the daemon asks for, at once if there are changes or departures
   that it doesn't know or if it has its offset from another era, or else when
   there are such or the wait expires.  */
static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  struct rly_relay *relay = context;
  const char *url = request->url->str;
  if (lag_handle (relay->load, connection, request, method))
    {
      return;
    }
  if (!g_str_has_prefix (url, RELAY_PATH))
    {
      nsv_respond (connection, HTTP_STATUS_NOT_FOUND, "", "", 0);
      return;
    }
  size_t name_bytes = strcspn (url + strlen (RELAY_PATH), "&");
  char *topic = g_strndup (url + strlen (RELAY_PATH), name_bytes);
  struct mirror *mirror = g_hash_table_lookup (relay->mirrors, topic);
  g_free (topic);
  int64_t now_us = clk_monotonic_us ();
  const struct query query = {
    .era = msg_query_number (url, "&era="),
    .from = msg_query_number (url, "&from="),
    .departures_mark = msg_query_number (url, "&departures="),
    .packed = msg_query_number (url, "&packed=") == 1,
    .arrived_us = now_us,
  };
  int64_t age_max_us = (int64_t)msg_query_number (url, "&age=") * CLK_MS_US;
  if (mirror != NULL && msg_query_number (url, "&whole=") == 1
      && g_hash_table_size (mirror->changes) > 0)
    {
      send_page (relay, mirror, connection, &query, true);
    }
  else if (mirror == NULL || mirror->proved_us == 0
           || now_us - mirror->proved_us
                  > (age_max_us > 0 ? age_max_us : PROOF_AGE_MAX_US))
    {
      nsv_respond (connection, HTTP_STATUS_SERVICE_UNAVAILABLE, "", "", 0);
    }
  else if (is_other_era (mirror, query.era) || query.from < mirror->floor
           || (g_hash_table_size (mirror->changes) > 0
               && query.from <= mirror->newest)
           || has_departures (relay, &query))
    {
      send_answer (relay, mirror, connection, &query);
    }
  else
    {
      add_reader (relay, mirror, connection, &query,
                  msg_query_number (url, "&wait="));
    }
}

static void
on_waiter_gone (void *context)
{
  struct lag_waiter *waiter = context;
  waiter->gone (waiter);
}

static void
ignore_drained (void *reader)
{
  (void)reader;
}

static const struct nsv_events events = {
  .request = on_request,
  .disconnected = on_waiter_gone,
  .drained = ignore_drained,
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
    .user_timeout_ms = USER_TIMEOUT_MS,
    .connections_max = CONNECTIONS_MAX,
  };
  struct rly_relay *relay = g_new0 (struct rly_relay, 1);
  relay->loop = loop;
  relay->mark_base = RLY_ALL_DEPARTURES
                     + ((uint64_t)g_random_int_range (1, G_MAXINT32) << 31)
                     + g_random_int ();
  relay->mirrors
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_mirror);
  relay->server = nsv_create (loop, address, &limits, &events, relay, error);
  if (relay->server == NULL)
    {
      g_hash_table_destroy (relay->mirrors);
      g_free (relay);
      return NULL;
    }
  relay->load = lag_create (loop);
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

/* Closes RELAY; the loop must run once more to free it.  */
void
rly_destroy (struct rly_relay *relay)
{
  nsv_destroy (relay->server);
  lag_destroy (relay->load);
  uv_close ((uv_handle_t *)&relay->sweep, on_sweep_closed);
}

/* Returns the address that RELAY listens on, IP:PORT.  The caller frees it.
 */
char *
rly_address (const struct rly_relay *relay)
{
  return nsv_address (relay->server);
}

/* True when other daemons read from RELAY.  */
bool
rly_has_readers (const struct rly_relay *relay)
{
  return reader_connections (relay) > 0;
}

/* Makes RELAY tell its readers which endpoints leave according to VERDICTS,
   which must outlive it.  */
void
rly_serve_departures (struct rly_relay *relay, struct vdt_verdicts *verdicts)
{
  relay->verdicts = verdicts;
}

/* Answers the waiting readers of RELAY that don't know all departures.  */
void
rly_departures_changed (struct rly_relay *relay)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, relay->mirrors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct mirror *mirror = value;
      for (guint i = mirror->readers->len; i-- > 0;)
        {
          struct reader *reader = g_ptr_array_index (mirror->readers, i);
          if (has_departures (relay, &reader->query))
            {
              finish_reader (reader, true);
            }
        }
    }
}

/* Makes RELAY tell its readers that this daemon owns PARTITIONS of the
   group's topic.  */
void
rly_set_partitions (struct rly_relay *relay, uint32_t partitions)
{
  relay->partitions = partitions;
}

/* Records that the offsets of TOPIC belong to ERA of the store from now on.
   After a restore of the store, what was read before is forgotten: it is no
   source for readers until rly_set_current.  */
void
rly_set_era (struct rly_relay *relay, const char *topic, uint64_t era)
{
  struct mirror *mirror = find_mirror (relay, topic);
  mirror->restored |= mirror->complete || mirror->proved_us != 0;
  mirror->era = era;
  drop_packed (mirror);
  g_hash_table_remove_all (mirror->changes);
  mirror->removals = 0;
  mirror->floor = 0;
  mirror->end = 0;
  mirror->newest = 0;
  mirror->complete = false;
  mirror->proved_us = 0;
}

/* True when a record of KEY in TOPIC is known, also its removal.  Sets
   OFFSET to its offset, or to 0.  */
bool
rly_find_key (struct rly_relay *relay, const char *topic, const char *key,
              uint64_t *offset)
{
  const struct change *change
      = g_hash_table_lookup (find_mirror (relay, topic)->changes, key);
  *offset = change == NULL ? 0 : change->offset;
  return change != NULL;
}

/* Makes CHANGE the newest one of its key in MIRROR, which takes it over.  */
static void
replace_change (struct mirror *mirror, struct change *change)
{
  const struct change *known
      = g_hash_table_lookup (mirror->changes, change->key);
  mirror->removals -= known != NULL && known->value == NULL;
  mirror->removals += change->value == NULL;
  mirror->newest = MAX (mirror->newest, change->offset);
  drop_packed (mirror);
  g_hash_table_replace (mirror->changes, change->key, change);
}

/* Adds RECORD of TOPIC, which changes a key.  Waiting readers are answered
   by the next rly_set_current.  */
void
rly_add_record (struct rly_relay *relay, const char *topic,
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
  change->named = true;
  if (record->value != NULL)
    {
      change->value = g_bytes_new (record->value, record->value_bytes);
    }
  replace_change (mirror, change);
}

/* Records that a snapshot of TOPIC begins.  */
void
rly_begin_snapshot (struct rly_relay *relay, const char *topic)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, find_mirror (relay, topic)->changes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((struct change *)value)->named = false;
    }
}

/* Records that the snapshot of TOPIC in progress has KEY, whether or not its
   record changes anything.  */
void
rly_name_key (struct rly_relay *relay, const char *topic, const char *key)
{
  struct change *known
      = g_hash_table_lookup (find_mirror (relay, topic)->changes, key);
  if (known != NULL)
    {
      known->named = true;
    }
}

/* Removes the keys of MIRROR that the snapshot up to the offset END didn't
   name.  */
static void
remove_unnamed (struct mirror *mirror, uint64_t end)
{
  GPtrArray *unnamed = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mirror->changes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct change *change = value;
      if (!change->named && change->value != NULL && change->offset < end)
        {
          g_ptr_array_add (unnamed, value);
        }
    }
  for (guint i = 0; i < unnamed->len; i++)
    {
      const struct change *known = g_ptr_array_index (unnamed, i);
      struct change *removal = g_new0 (struct change, 1);
      removal->key = g_strdup (known->key);
      removal->offset = end - 1;
      replace_change (mirror, removal);
    }
  g_ptr_array_free (unnamed, TRUE);
}

static gboolean
is_removal (gpointer key, gpointer value, gpointer context)
{
  (void)key;
  (void)context;
  return ((const struct change *)value)->value == NULL;
}

/* Records that the snapshot of TOPIC in progress has ended; it shows the
   topic when that ended at the offset END.  After the first one, removals
   before END aren't known here, so readers from lower offsets have to use
   the store.  A later one differs from what was known before by the changes
   since then.  */
void
rly_end_snapshot (struct rly_relay *relay, const char *topic, uint64_t end)
{
  struct mirror *mirror = find_mirror (relay, topic);
  bool continues = mirror->complete && end >= mirror->end;
  mirror->complete = true;
  if (continues)
    {
      remove_unnamed (mirror, end);
    }
  else
    {
      mirror->floor = end;
    }
}

/* Forgets the removals of MIRROR if they are too many.  Readers that may not
   know them all have to use the store.  */
static void
limit_removals (struct mirror *mirror)
{
  if (mirror->removals > REMOVALS_MAX)
    {
      drop_packed (mirror);
      g_hash_table_foreach_remove (mirror->changes, is_removal, NULL);
      mirror->removals = 0;
      mirror->floor = mirror->end;
    }
}

/* Records that TOPIC was read up to the offset END, and that nothing more
   was in it at PROVED_US.  Answers the waiting readers.  */
void
rly_set_current (struct rly_relay *relay, const char *topic, uint64_t end,
                 int64_t proved_us)
{
  struct mirror *mirror = find_mirror (relay, topic);
  mirror->end = end;
  mirror->proved_us = MAX (mirror->proved_us, proved_us);
  for (guint i = mirror->readers->len; i-- > 0;)
    {
      finish_reader (g_ptr_array_index (mirror->readers, i), true);
    }
  limit_removals (mirror);
}

/* Returns the path of REQUEST to a relay.  The caller frees it.  */
char *
rly_path (const struct rly_request *request)
{
  return g_strdup_printf (
      RELAY_PATH "%s&era=%" G_GUINT64_FORMAT "&from=%" G_GUINT64_FORMAT
                 "&wait=%u&age=%u&whole=%d&departures=%" G_GUINT64_FORMAT
                 "&packed=1",
      request->topic, request->era, request->from, request->wait_ms,
      request->age_max_ms, request->whole, request->departures_mark);
}

static gint
compare_offsets (gconstpointer a, gconstpointer b)
{
  const struct pfs_record *const *left = a;
  const struct pfs_record *const *right = b;
  return ((*left)->offset > (*right)->offset)
         - ((*left)->offset < (*right)->offset);
}

/* Adds the COUNT records at RELAYED to PAGE.  */
static void
add_records (struct pfs_page *page, RelayRecord *const *relayed, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct pfs_record *record = g_new0 (struct pfs_record, 1);
      record->key = g_strdup (relayed[i]->key);
      record->offset = relayed[i]->offset;
      if (!relayed[i]->removed)
        {
          record->value
              = g_memdup2 (relayed[i]->value.data, relayed[i]->value.len);
          record->value_bytes = relayed[i]->value.len;
        }
      g_ptr_array_add (page->records, record);
    }
}

/* Adds the compressed records of DECODED, if it has any, to PAGE.  Returns
   false with ERR_PROTOCOL when they can't be read.  */
static bool
add_packed_records (struct pfs_page *page, const RelayPage *decoded,
                    GError **error)
{
  if (decoded->unpacked_bytes == 0)
    {
      return true;
    }
  uint8_t *data
      = dfl_expand (decoded->packed_records.data, decoded->packed_records.len,
                    decoded->unpacked_bytes, error);
  if (data == NULL)
    {
      return false;
    }
  RelayRecords *records
      = relay_records__unpack (NULL, decoded->unpacked_bytes, data);
  g_free (data);
  if (records == NULL)
    {
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "can't decode the records of a relay");
      return false;
    }
  add_records (page, records->records, records->n_records);
  relay_records__free_unpacked (records, NULL);
  return true;
}

/* Returns the departures in PAGE that can be believed, struct dep_departure.
   The caller frees the list.  */
static GPtrArray *
read_departures (const RelayPage *page)
{
  GPtrArray *list = dep_list_create ();
  int64_t now_ms = clk_real_us () / CLK_MS_US;
  if (page->n_departures > RLY_DEPARTURES_MAX)
    {
      lg_line (LOG_WARNING, "departures_refused", "count=%zu",
               page->n_departures);
      return list;
    }
  for (size_t i = 0; i < page->n_departures; i++)
    {
      const RelayDeparture *departure = page->departures[i];
      if (dep_is_plausible (departure->id, departure->born_ms, now_ms))
        {
          dep_list_add (list, departure->id, departure->born_ms);
        }
      else
        {
          lg_line (LOG_WARNING, "departure_refused",
                   "id_bytes=%zu born_ms=%ld", strlen (departure->id),
                   (long)departure->born_ms);
        }
    }
  return list;
}

/* Decodes the answer BODY of a relay into PAGE and HEAD.  Returns false with
   ERR_PROTOCOL when BODY can't be read.  The caller clears PAGE and HEAD in
   both cases.  */
bool
rly_decode (const void *body, size_t body_bytes, struct pfs_page *page,
            struct rly_head *head, GError **error)
{
  pfs_init_page (page);
  *head = (struct rly_head){ 0 };
  RelayPage *decoded = relay_page__unpack (NULL, body_bytes, body);
  if (decoded == NULL)
    {
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "can't decode a page of a relay");
      return false;
    }
  add_records (page, decoded->records, decoded->n_records);
  bool valid = add_packed_records (page, decoded, error);
  g_ptr_array_sort (page->records, compare_offsets);
  page->end = decoded->end;
  *head = (struct rly_head){
    .era = decoded->era,
    .whole = decoded->whole,
    .proof_lead_us = decoded->proof_lead_us,
    .hint = {
      .partitions = decoded->partitions,
      .readers = decoded->readers,
    },
    .departures = read_departures (decoded),
    .departures_mark = decoded->departures_mark,
  };
  relay_page__free_unpacked (decoded, NULL);
  return valid;
}

/* Frees what rly_decode has put into HEAD.  */
void
rly_clear_head (struct rly_head *head)
{
  if (head->departures != NULL)
    {
      g_ptr_array_unref (head->departures);
      head->departures = NULL;
    }
}
