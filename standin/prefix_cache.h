/* A prefix cache with least-recently-used eviction.  Publishes the blocks that
   it stores and evicts as events, which can be delayed and dropped.  Not
   thread-safe. */
#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include <glib.h>
#include <stdint.h>

#define PFX_BLOCK_POSITIONS 64 /* positions in a cached block */

struct pfx_cache;

struct pfx_cache *pfx_create (uint32_t blocks, int64_t event_lag_us,
                              uint32_t drop_one_in);
void pfx_destroy (struct pfx_cache *cache);
uint32_t pfx_use (struct pfx_cache *cache, const uint64_t *prefixes,
                  uint32_t count, int64_t now_us);
void pfx_render_events (const struct pfx_cache *cache, int64_t from,
                        int64_t now_us, GString *out);

#endif
