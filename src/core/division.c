#include "core/division.h"

#include "core/problem.h"
#include "core/routing.h"

/* Divisions are made for 1 up to this many segments in each host's memory. */
#define SEGMENTS_PER_HOST_MAX 4
/* Limit on the number of memory classes: each class but the last has at least
   1/CLASSES_MAX of the hosts. */
#define CLASSES_MAX 6

/* Usable hosts that are next to each other in the order of their memory.  A
   layer-token is one layer run for one token. */
struct memory_class
{
  uint32_t memory_mib; /* of the host with the least memory */
  double rate;         /* sum over its hosts, in layer-tokens per second */
};

static gint
compare_classes (gconstpointer left, gconstpointer right)
{
  const struct memory_class *a = left;
  const struct memory_class *b = right;
  return a->memory_mib < b->memory_mib ? -1 : a->memory_mib > b->memory_mib;
}

/* Returns the memory classes of the usable hosts, least memory first.  A host
   with more memory starts a new class only when the current one has at least
   1/CLASSES_MAX of all usable hosts; otherwise it joins the current class.  */
static GArray *
list_classes (const struct cfg_config *config, const bool *usable)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct memory_class));
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      const struct cfg_host *host = &config->hosts[i];
      struct memory_class class = { host->memory_mib,
                                    host->layer_tokens_per_s };
      if (pb_is_usable (config, usable, i))
        {
          g_array_append_val (all, class);
        }
    }
  g_array_sort (all, compare_classes);
  GArray *classes = g_array_new (FALSE, FALSE, sizeof (struct memory_class));
  uint32_t class_host_count = 0;
  for (uint32_t i = 0; i < all->len; i++)
    {
      const struct memory_class *host
          = &g_array_index (all, struct memory_class, i);
      struct memory_class *last
          = classes->len > 0 ? &g_array_index (classes, struct memory_class,
                                               classes->len - 1)
                             : NULL;
      bool is_large = class_host_count * CLASSES_MAX >= all->len;
      if (last != NULL && (last->memory_mib == host->memory_mib || !is_large))
        {
          last->rate += host->rate;
          class_host_count++;
          continue;
        }
      g_array_append_val (classes, *host);
      class_host_count = 1;
    }
  g_array_free (all, TRUE);
  return classes;
}

/* Divides the layers from FIRST up to END of MODEL into segments of equal
   length, give or take one layer, that need at most SEGMENT_MIB each, and
   appends them to SEGMENTS.  Returns the number of segments, or UINT32_MAX
   when a single layer needs more memory.  */
static uint32_t
divide_layers (const struct cfg_config *config, uint32_t model, uint32_t first,
               uint32_t end, uint32_t segment_mib, GArray *segments)
{
  uint32_t layers_max
      = segment_mib / MAX (config->models[model].layer_memory_mib, 1);
  if (layers_max == 0)
    {
      return UINT32_MAX;
    }
  uint32_t layers = end - first;
  uint32_t count = (layers + layers_max - 1) / layers_max;
  for (uint32_t i = 0; i < count; i++)
    {
      struct pb_segment segment = {
        .model = model,
        .first = first + layers * i / count,
        .end = first + layers * (i + 1) / count,
      };
      g_array_append_val (segments, segment);
    }
  return count;
}

/* Returns a division of all models into segments sized for the CLASSES from
   index SMALLEST on, the class with the least memory per host.  Each class
   gets a number of layers in proportion to its rate, in segments that need at
   most 1/SEGMENTS_PER_HOST of the memory of its smallest host, so that hosts
   with little memory hold short segments and others long ones.  The layers of
   a class for which one layer exceeds that share go to the next class.
   Returns NULL when a layer exceeds the share of the last class or a model
   takes more than RT_CHAIN_MAX segments.  */
static GArray *
divide_models (const struct cfg_config *config, const GArray *classes,
               uint32_t smallest, uint32_t segments_per_host)
{
  double rate = 0.0;
  for (uint32_t i = smallest; i < classes->len; i++)
    {
      rate += g_array_index (classes, struct memory_class, i).rate;
    }
  GArray *segments = g_array_new (FALSE, FALSE, sizeof (struct pb_segment));
  for (uint32_t model = 0; model < config->model_count; model++)
    {
      uint32_t layers = config->models[model].layers;
      uint32_t first = 0;
      uint32_t count = 0;
      double share = 0.0;
      for (uint32_t i = smallest; i < classes->len; i++)
        {
          const struct memory_class *class = &g_array_index (
              classes, struct memory_class, i);
          share += class->rate / rate;
          uint32_t end = i + 1 == classes->len
                             ? layers
                             : (uint32_t)(layers * share + 0.5);
          uint32_t added = end > first ? divide_layers (
                               config, model, first, end,
                               class->memory_mib / segments_per_host, segments)
                                       : 0;
          if (added != UINT32_MAX)
            {
              count += added;
              first = end;
            }
        }
      if (first < layers || count > RT_CHAIN_MAX)
        {
          g_array_free (segments, TRUE);
          return NULL;
        }
    }
  return segments;
}

static gint
compare_divisions (gconstpointer left, gconstpointer right)
{
  const GArray *a = *(const GArray *const *)left;
  const GArray *b = *(const GArray *const *)right;
  return a->len < b->len ? -1 : a->len > b->len;
}

/* Returns the divisions that a search for a placement should try, as arrays of
   struct pb_segment, fewest segments first.  For each memory class and number
   of segments per host, these are the division for that class alone and the
   one for that class and all classes with more memory per host.  The caller
   frees the outer array and owns the inner ones.  */
GPtrArray *
dv_list (const struct cfg_config *config, const bool *usable)
{
  GPtrArray *divisions = g_ptr_array_new ();
  GArray *classes = list_classes (config, usable);
  for (uint32_t i = 0; i < classes->len; i++)
    {
      GArray *single
          = g_array_new (FALSE, FALSE, sizeof (struct memory_class));
      g_array_append_val (single,
                          g_array_index (classes, struct memory_class, i));
      for (uint32_t segments_per_host = 1;
           segments_per_host <= SEGMENTS_PER_HOST_MAX; segments_per_host++)
        {
          GArray *uniform
              = divide_models (config, single, 0, segments_per_host);
          GArray *mixed
              = i + 1 < classes->len
                    ? divide_models (config, classes, i, segments_per_host)
                    : NULL;
          if (uniform != NULL)
            {
              g_ptr_array_add (divisions, uniform);
            }
          if (mixed != NULL)
            {
              g_ptr_array_add (divisions, mixed);
            }
        }
      g_array_free (single, TRUE);
    }
  g_array_free (classes, TRUE);
  g_ptr_array_sort (divisions, compare_divisions);
  return divisions;
}
