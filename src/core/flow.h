/* Maximum flow in a network (Dinic's algorithm), and the token rate of a set
   of layer ranges computed with it. */
#ifndef CORE_FLOW_H
#define CORE_FLOW_H

#include <stdbool.h>
#include <stdint.h>

struct fl_network;

/* A copy of layers `first' up to, not including, `end' that runs at most
   `tokens_per_s'. */
struct fl_range
{
  uint32_t first;
  uint32_t end;
  double tokens_per_s;
};

struct fl_network *fl_create (uint32_t nodes);
void fl_destroy (struct fl_network *network);
uint32_t fl_add_edge (struct fl_network *network, uint32_t from, uint32_t to,
                      double capacity);
void fl_set_capacity (struct fl_network *network, uint32_t edge,
                      double capacity);
double fl_max_flow (struct fl_network *network, uint32_t source,
                    uint32_t sink);
double fl_flow (const struct fl_network *network, uint32_t edge);
bool fl_on_source_side (const struct fl_network *network, uint32_t node);
double fl_layers_tokens_per_s (uint32_t layers, const struct fl_range *ranges,
                               uint32_t range_count);

#endif
