#include "core/flow.h"

#include <glib.h>

/* Flows below this fraction of the largest capacity are treated as 0. */
#define RELATIVE_EPSILON 1e-9

/* Each edge is stored next to its reverse, so that the reverse of edge I is
   I ^ 1. */
struct edge
{
  uint32_t to;
  uint32_t next; /* next edge out of the same node; NONE: last */
  double capacity;
  double flow;
};

struct fl_network
{
  GArray *edges;
  uint32_t nodes;
  uint32_t *first_edge;  /* by node: its newest edge; NONE: none */
  uint32_t *next_to_try; /* by node: next edge to try; NONE: all tried */
  uint32_t *level; /* by node: distance from the source; NONE: unreachable */
  uint32_t *queue; /* of nodes, for the breadth-first search */
  double epsilon;  /* flows up to this are treated as 0 */
};

/* Index of no edge, level of an unreachable node. */
#define NONE UINT32_MAX

/* Creates a network of NODES nodes, numbered from 0, without edges.  */
struct fl_network *
fl_create (uint32_t nodes)
{
  struct fl_network *network = g_new0 (struct fl_network, 1);
  network->edges = g_array_new (FALSE, FALSE, sizeof (struct edge));
  network->nodes = nodes;
  network->first_edge = g_new (uint32_t, nodes);
  network->next_to_try = g_new (uint32_t, nodes);
  network->level = g_new (uint32_t, nodes);
  network->queue = g_new (uint32_t, nodes);
  for (uint32_t i = 0; i < nodes; i++)
    {
      network->first_edge[i] = NONE;
      network->level[i] = NONE;
    }
  return network;
}

/* Frees NETWORK; NULL is allowed.  */
void
fl_destroy (struct fl_network *network)
{
  if (network == NULL)
    {
      return;
    }
  g_array_free (network->edges, TRUE);
  g_free (network->first_edge);
  g_free (network->next_to_try);
  g_free (network->level);
  g_free (network->queue);
  g_free (network);
}

static struct edge *
edge_at (const struct fl_network *network, uint32_t index)
{
  return &g_array_index (network->edges, struct edge, index);
}

static void
append_edge (struct fl_network *network, uint32_t from, uint32_t to,
             double capacity)
{
  struct edge edge = {
    .to = to,
    .next = network->first_edge[from],
    .capacity = capacity,
  };
  network->first_edge[from] = network->edges->len;
  g_array_append_val (network->edges, edge);
}

/* Adds an edge from node FROM to node TO and returns its index.  */
uint32_t
fl_add_edge (struct fl_network *network, uint32_t from, uint32_t to,
             double capacity)
{
  uint32_t index = network->edges->len;
  append_edge (network, from, to, capacity);
  append_edge (network, to, from, 0.0);
  return index;
}

/* Changes the capacity of EDGE.  The flows change with the next fl_max_flow,
   which starts from scratch.  */
void
fl_set_capacity (struct fl_network *network, uint32_t edge, double capacity)
{
  edge_at (network, edge)->capacity = capacity;
}

/* Sets the level of each node by breadth-first search over the edges with
   residual capacity.  Returns whether SINK is reachable.  */
static bool
find_levels (struct fl_network *network, uint32_t source, uint32_t sink)
{
  for (uint32_t i = 0; i < network->nodes; i++)
    {
      network->level[i] = NONE;
      network->next_to_try[i] = network->first_edge[i];
    }
  uint32_t tail = 0;
  network->level[source] = 0;
  network->queue[tail++] = source;
  for (uint32_t head = 0; head < tail; head++)
    {
      uint32_t node = network->queue[head];
      for (uint32_t i = network->first_edge[node]; i != NONE;
           i = edge_at (network, i)->next)
        {
          const struct edge *edge = edge_at (network, i);
          if (network->level[edge->to] == NONE
              && edge->capacity - edge->flow > network->epsilon)
            {
              network->level[edge->to] = network->level[node] + 1;
              network->queue[tail++] = edge->to;
            }
        }
    }
  return network->level[sink] != NONE;
}

/* Pushes up to LIMIT from NODE to SINK along edges to the next level, and
   returns the amount that reached SINK.  The recursion depth is at most the
   number of levels.  */
static double
push_flow (struct fl_network *network, uint32_t node, uint32_t sink,
           double limit)
{
  if (node == sink)
    {
      return limit;
    }
  double pushed = 0.0;
  while (network->next_to_try[node] != NONE)
    {
      uint32_t index = network->next_to_try[node];
      struct edge *edge = edge_at (network, index);
      double pushable = MIN (edge->capacity - edge->flow, limit - pushed);
      if (pushable > network->epsilon
          && network->level[edge->to] == network->level[node] + 1)
        {
          double accepted = push_flow (network, edge->to, sink, pushable);
          edge->flow += accepted;
          edge_at (network, index ^ 1)->flow -= accepted;
          pushed += accepted;
        }
      if (limit - pushed <= network->epsilon)
        {
          return pushed;
        }
      network->next_to_try[node] = edge->next;
    }
  return pushed;
}

/* Computes a maximum flow from SOURCE to SINK and returns its value.  */
double
fl_max_flow (struct fl_network *network, uint32_t source, uint32_t sink)
{
  double largest = 0.0;
  for (uint32_t i = 0; i < network->edges->len; i++)
    {
      struct edge *edge = edge_at (network, i);
      edge->flow = 0.0;
      largest = MAX (largest, edge->capacity);
    }
  network->epsilon = largest * RELATIVE_EPSILON;
  double total = 0.0;
  while (find_levels (network, source, sink))
    {
      double pushed = push_flow (network, source, sink, G_MAXDOUBLE);
      if (pushed <= network->epsilon)
        {
          break;
        }
      total += pushed;
    }
  return total;
}

/* Returns the flow over EDGE as of the last fl_max_flow.  */
double
fl_flow (const struct fl_network *network, uint32_t edge)
{
  return edge_at (network, edge)->flow;
}

/* Returns whether NODE is on the source's side of the minimum cut found by the
   last fl_max_flow, that is, whether more flow could reach NODE.  */
bool
fl_on_source_side (const struct fl_network *network, uint32_t node)
{
  return network->level[node] != NONE;
}

/* Returns the largest rate, in tokens per second, that RANGES sustain through
   all LAYERS layers of a model.  It is the maximum flow in a network whose
   nodes are the layer boundaries and whose edges are the ranges.  A range that
   is empty or ends outside the model is ignored.  */
double
fl_layers_tokens_per_s (uint32_t layers, const struct fl_range *ranges,
                        uint32_t range_count)
{
  struct fl_network *network = fl_create (layers + 1);
  for (uint32_t i = 0; i < range_count; i++)
    {
      const struct fl_range *range = &ranges[i];
      if (range->first < range->end && range->end <= layers)
        {
          fl_add_edge (network, range->first, range->end, range->tokens_per_s);
        }
    }
  double rate = fl_max_flow (network, 0, layers);
  fl_destroy (network);
  return rate;
}
