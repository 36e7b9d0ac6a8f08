#include "core/grouping.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0

/* Bits in a byte, and thousands of bits that one Mbit/s carries in a
   millisecond. */
#define BYTE_BITS 8.0
#define MBPS_BITS_PER_MS 1000.0

/* Largest part of a pipe between data centres that is planned to be in use.
   Transfers wait for each other, so more of it makes each wait long. */
#define PIPE_USE_MAX 0.5

/* Candidate for a group: the sums of its data centres. */
struct candidate
{
  struct gpg_data_centre sum;
  uint32_t data_centre_count; /* 0: joined with another candidate */
  struct gpg_group group;
};

/* Returns the tokens of a request of usual size.  */
static double
usual_tokens (const struct flt_engine_spec *spec)
{
  return MAX (spec->usual_prompt_tokens + spec->usual_answer_tokens, 1);
}

/* Returns the KV cache, in tokens, of LEVEL: from as many requests of usual
   size as an engine has slots, at level 0, in equal ratios to one request, at
   the last level.  */
double
gpg_cache_tokens (const struct flt_engine_spec *spec, uint32_t level)
{
  double slots = MAX (spec->slots, 1);
  double requests = pow (slots, 1 - (double)level / (GPG_LEVELS - 1));
  return requests * usual_tokens (spec);
}

/* Returns the time, in milliseconds, that the activation of one token takes
   over a link of LINK_MBPS; 0 if the rate isn't known.  */
static double
transfer_ms (const struct flt_engine_spec *spec, double link_mbps)
{
  return link_mbps > 0 ? spec->activation_bytes * BYTE_BITS
                             / (link_mbps * MBPS_BITS_PER_MS)
                       : 0;
}

/* Returns the requests that all replicas of CANDIDATE run at once, given the
   REQUESTS that fit into the KV cache of one.  */
static double
concurrent_requests (const struct flt_engine_spec *spec,
                     const struct candidate *candidate, double requests)
{
  double layers = candidate->sum.layers_max[candidate->group.level];
  return requests * layers / spec->layers;
}

/* Returns the time, in milliseconds, that a request of usual size takes on
   CANDIDATE, whose engines run REQUESTS at once.  */
static double
request_ms (const struct flt_engine_spec *spec,
            const struct candidate *candidate, double requests)
{
  const struct gpg_data_centre *sum = &candidate->sum;
  double replicas
      = (double)sum->layers_max[candidate->group.level] / spec->layers;
  double hops = MAX (sum->engine_count / replicas - 1, 0);
  double crossings = candidate->data_centre_count - 1;
  double hops_ms
      = hops * transfer_ms (spec, spec->engine_link_mbps)
        + crossings * transfer_ms (spec, spec->data_centre_link_mbps);
  double context = requests * usual_tokens (spec) / 1000;
  double step_ms = (spec->step_ms + requests * spec->step_per_stream_ms
                    + context * spec->step_per_context_ms)
                   * sum->step_factor / sum->memory_mb;
  double read_ms = spec->prefill_tokens_per_s > 0
                       ? MS_PER_S / spec->prefill_tokens_per_s
                             * sum->prefill_factor / sum->memory_mb
                       : 0;
  return spec->usual_prompt_tokens * (read_ms + hops_ms)
         + spec->usual_answer_tokens * (step_ms + hops_ms);
}

/* Sets the group of CANDIDATE: the largest KV cache beside which its engines
   hold the model, and the streams that they then finish in a second.  The KV
   cache and, where the group has several data centres, the pipe that its
   streams share limit them.  */
static void
estimate (const struct flt_engine_spec *spec, struct candidate *candidate)
{
  struct gpg_group *group = &candidate->group;
  *group = (struct gpg_group){ .streams_per_s = 0 };
  while (group->level < GPG_LEVELS
         && candidate->sum.layers_max[group->level] < spec->layers)
    {
      group->level++;
    }
  if (group->level == GPG_LEVELS)
    {
      group->level = GPG_LEVELS - 1;
      group->cache_tokens = gpg_cache_tokens (spec, group->level);
      return;
    }
  group->cache_tokens = gpg_cache_tokens (spec, group->level);
  double requests = group->cache_tokens / usual_tokens (spec);
  double time_ms = request_ms (spec, candidate, requests);
  group->streams_per_s = concurrent_requests (spec, candidate, requests)
                         * MS_PER_S / MAX (time_ms, 1);
  double pipe_ms = (candidate->data_centre_count - 1) * usual_tokens (spec)
                   * transfer_ms (spec, spec->data_centre_link_mbps);
  if (pipe_ms > 0)
    {
      group->streams_per_s
          = MIN (group->streams_per_s, PIPE_USE_MAX * MS_PER_S / pipe_ms);
    }
}

/* Returns the candidate that A and B together make.  */
static struct candidate
join (const struct flt_engine_spec *spec, const struct candidate *a,
      const struct candidate *b)
{
  struct candidate joined = *a;
  joined.data_centre_count += b->data_centre_count;
  joined.sum.engine_count += b->sum.engine_count;
  joined.sum.memory_mb += b->sum.memory_mb;
  joined.sum.step_factor += b->sum.step_factor;
  joined.sum.prefill_factor += b->sum.prefill_factor;
  for (uint32_t level = 0; level < GPG_LEVELS; level++)
    {
      joined.sum.layers_max[level] += b->sum.layers_max[level];
    }
  estimate (spec, &joined);
  return joined;
}

/* Two candidates to join. */
struct pair
{
  uint32_t first;
  uint32_t second;
  double gain;      /* streams per second */
  double memory_mb; /* of both */
};

/* Returns whether A is to be joined rather than B.  Pairs that gain streams
   come first, by their gain and then, to leave memory to others, with the
   least memory.  Of the others, which can't hold the model, those with the
   most memory lead to a group of the fewest data centres.  */
static bool
is_better (const struct pair *a, const struct pair *b)
{
  if (a->gain != b->gain)
    {
      return a->gain > b->gain;
    }
  return a->gain > 0 ? a->memory_mb < b->memory_mb
                     : a->memory_mb > b->memory_mb;
}

/* Sets BEST to the two of the COUNT candidates that are best to join.  Returns
   false when none are: joining gains no streams, and at most one can't hold
   the model.  */
static bool
choose_pair (const struct flt_engine_spec *spec,
             const struct candidate *candidates, uint32_t count,
             struct pair *best)
{
  bool found = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct candidate *a = &candidates[i];
      for (uint32_t j = i + 1; a->data_centre_count > 0 && j < count; j++)
        {
          const struct candidate *b = &candidates[j];
          if (b->data_centre_count == 0)
            {
              continue;
            }
          double before = a->group.streams_per_s + b->group.streams_per_s;
          struct candidate joined = join (spec, a, b);
          struct pair pair = {
            .first = i,
            .second = j,
            .gain = joined.group.streams_per_s - before,
            .memory_mb = joined.sum.memory_mb,
          };
          if ((pair.gain > 0 || before == 0)
              && (!found || is_better (&pair, best)))
            {
              *best = pair;
              found = true;
            }
        }
    }
  return found;
}

/* Divides the COUNT data centres DATA_CENTRES into groups that hold the model
   of SPEC.  Starting from each alone, joins the two groups that together
   finish the most streams more than apart, as long as there are such, and
   groups that can't hold the model.  Sets GROUP_INDEXES, by data centre, and
   GROUPS, which has room for COUNT groups, and returns their number.  */
uint32_t
gpg_divide (const struct flt_engine_spec *spec,
            const struct gpg_data_centre *data_centres, uint32_t count,
            uint32_t *group_indexes, struct gpg_group *groups)
{
  struct candidate *candidates = g_new0 (struct candidate, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      candidates[i].sum = data_centres[i];
      candidates[i].data_centre_count = 1;
      estimate (spec, &candidates[i]);
      group_indexes[i] = i;
    }
  struct pair pair;
  while (choose_pair (spec, candidates, count, &pair))
    {
      candidates[pair.first]
          = join (spec, &candidates[pair.first], &candidates[pair.second]);
      candidates[pair.second].data_centre_count = 0;
      for (uint32_t i = 0; i < count; i++)
        {
          if (group_indexes[i] == pair.second)
            {
              group_indexes[i] = pair.first;
            }
        }
    }
  uint32_t group_count = 0;
  for (uint32_t candidate = 0; candidate < count; candidate++)
    {
      if (candidates[candidate].data_centre_count == 0)
        {
          continue;
        }
      /* No later candidate has an index below the number of groups so far. */
      for (uint32_t i = 0; i < count; i++)
        {
          if (group_indexes[i] == candidate)
            {
              group_indexes[i] = group_count;
            }
        }
      groups[group_count++] = candidates[candidate].group;
    }
  g_free (candidates);
  return group_count;
}
