#include "standin/prefix_cache.h"

#include <inttypes.h>
#include <stdbool.h>

#define EVENTS_MAX 1024 /* newest events that are kept */

/* A block was stored, or evicted. */
struct event
{
  int64_t time_us;
  uint64_t prefix;
  bool stored;
};

struct pfx_cache
{
  uint32_t capacity; /* blocks; 0: no caching */
  int64_t event_lag_us;
  uint32_t drop_one_in; /* 0: drops no events */
  GHashTable *links;    /* prefix to its link in LRU */
  GQueue lru;           /* uint64_t * prefixes, most recently used first */
  struct event events[EVENTS_MAX]; /* ring, by sequence number */
  int64_t next_event;              /* sequence number */
};

/* Creates a cache for BLOCKS blocks of PFX_BLOCK_POSITIONS positions.  Events
   become visible after EVENT_LAG_US.  One of DROP_ONE_IN events is dropped;
   none when DROP_ONE_IN is 0.  */
struct pfx_cache *
pfx_create (uint32_t blocks, int64_t event_lag_us, uint32_t drop_one_in)
{
  struct pfx_cache *cache = g_new0 (struct pfx_cache, 1);
  cache->capacity = blocks;
  cache->event_lag_us = event_lag_us;
  cache->drop_one_in = drop_one_in;
  cache->links = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&cache->lru);
  return cache;
}

/* Frees CACHE.  */
void
pfx_destroy (struct pfx_cache *cache)
{
  g_hash_table_destroy (cache->links);
  g_queue_clear_full (&cache->lru, g_free);
  g_free (cache);
}

static void
add_event (struct pfx_cache *cache, uint64_t prefix, bool stored,
           int64_t now_us)
{
  struct event *event = &cache->events[cache->next_event % EVENTS_MAX];
  *event = (struct event){
    .time_us = now_us,
    .prefix = prefix,
    .stored = stored,
  };
  cache->next_event++;
}

/* Marks PREFIX as most recently used.  Stores PREFIX when the cache doesn't
   hold it, and evicts the least recently used entries beyond the capacity.
   Returns TRUE when the cache held PREFIX.  */
static gboolean
use_prefix (struct pfx_cache *cache, uint64_t prefix, int64_t now_us)
{
  GList *link = g_hash_table_lookup (cache->links, &prefix);
  if (link != NULL)
    {
      g_queue_unlink (&cache->lru, link);
      g_queue_push_head_link (&cache->lru, link);
      return TRUE;
    }
  uint64_t *entry = g_new (uint64_t, 1);
  *entry = prefix;
  g_queue_push_head (&cache->lru, entry);
  g_hash_table_insert (cache->links, entry, cache->lru.head);
  add_event (cache, prefix, true, now_us);
  while (cache->lru.length > cache->capacity)
    {
      uint64_t *evicted = g_queue_pop_tail (&cache->lru);
      g_hash_table_remove (cache->links, evicted);
      add_event (cache, *evicted, false, now_us);
      g_free (evicted);
    }
  return FALSE;
}

/* Looks up the COUNT prefixes of a prompt, shortest first, and stores those
   that CACHE doesn't hold.  Returns how many leading prefixes CACHE held.  */
uint32_t
pfx_use (struct pfx_cache *cache, const uint64_t *prefixes, uint32_t count,
         int64_t now_us)
{
  if (cache->capacity == 0)
    {
      return 0;
    }
  uint32_t found = 0;
  gboolean leading = TRUE;
  for (uint32_t i = 0; i < count; i++)
    {
      leading = use_prefix (cache, prefixes[i], now_us) && leading;
      found += leading ? 1 : 0;
    }
  return found;
}

/* Appends the events from sequence number FROM on that are visible at NOW_US
   to OUT as JSON, with the first and the next sequence number.  */
void
pfx_render_events (const struct pfx_cache *cache, int64_t from, int64_t now_us,
                   GString *out)
{
  int64_t first = MAX (cache->next_event - EVENTS_MAX, 0);
  int64_t next = MAX (from, first);
  GString *events = g_string_new (NULL);
  while (next < cache->next_event)
    {
      const struct event *event = &cache->events[next % EVENTS_MAX];
      if (event->time_us + cache->event_lag_us > now_us)
        {
          break;
        }
      next++;
      if (cache->drop_one_in != 0 && next % cache->drop_one_in == 0)
        {
          continue;
        }
      g_string_append_printf (events,
                              "%s{\"seq\":%" PRId64
                              ",\"op\":\"%s\",\"prefix\":\"%016" PRIx64 "\"}",
                              events->len == 0 ? "" : ",", next - 1,
                              event->stored ? "stored" : "evicted",
                              event->prefix);
    }
  g_string_append_printf (
      out, "{\"first\":%" PRId64 ",\"next\":%" PRId64 ",\"events\":[%s]}",
      first, next, events->str);
  g_string_free (events, TRUE);
}
