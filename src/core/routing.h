/* Routing: chooses the chain of engines that a stream runs over. */
#ifndef CORE_ROUTING_H
#define CORE_ROUTING_H

#include "base/error.h"
#include "core/snapshot.h"

/* Limit on the stages of a chain. */
#define RT_CHAIN_MAX 16
/* Limit on the excluded endpoints of a query. */
#define RT_EXCLUDED_MAX 16

/* Layers `first' up to, not including, `end' on one endpoint. */
struct rt_stage
{
  uint32_t endpoint; /* index in the snapshot */
  uint32_t first;
  uint32_t end;
};

struct rt_chain
{
  struct rt_stage stages[RT_CHAIN_MAX];
  uint32_t length;
  int64_t expected_step_us; /* cost of a token over all stages and links */
};

struct rt_query
{
  uint32_t model;       /* index in the configuration */
  uint32_t positions;   /* of the first step: prompt and generated tokens */
  uint32_t priority;    /* 0 is the highest */
  uint64_t prefix_hash; /* 0: none */
  uint64_t seed;        /* of the random choices; differs between requests */
  int64_t now_us;       /* monotonic */
  uint32_t excluded[RT_EXCLUDED_MAX]; /* endpoints not to be used */
  uint32_t excluded_count;
};

enum err_kind rt_choose_chain (const struct snap *snap,
                               const struct rt_query *query,
                               struct rt_chain *chain);

#endif
