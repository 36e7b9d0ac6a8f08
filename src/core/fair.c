#include "core/fair.h"

#include <glib.h>

struct flow;

/* A queued item. */
struct entry
{
  struct fq_item item;
  struct flow *flow;
  GList *link; /* in the flow's list for the item's priority */
};

struct flow
{
  uint32_t index;
  uint32_t weight;
  GQueue items[FQ_PRIORITIES]; /* struct entry, oldest first */
  double cost[FQ_PRIORITIES];  /* total of each list */
  uint32_t length;             /* items in all lists */
  double backlog;              /* total cost divided by weight */
  double start_tag;            /* virtual time at which the next item is due */
};

struct fq_queue
{
  GHashTable *flows;   /* index to struct flow, owned */
  GHashTable *entries; /* item id to struct entry, owned */
  GTree *by_start_tag; /* backlogged flows, earliest start tag first */
  GTree *by_backlog;   /* backlogged flows, longest backlog first */
  GTree *by_deadline;  /* entries, earliest latest start first */
  double virtual_time; /* start tag of the flow served last */
  double cost;         /* total of all items */
  double weight;       /* total of all backlogged flows */
};

static gint
compare_numbers (uint64_t a, uint64_t b)
{
  return a < b ? -1 : a > b;
}

static gint
compare_start_tag (gconstpointer left, gconstpointer right, gpointer unused)
{
  (void)unused;
  const struct flow *a = left;
  const struct flow *b = right;
  if (a->start_tag != b->start_tag)
    {
      return a->start_tag < b->start_tag ? -1 : 1;
    }
  return compare_numbers (a->index, b->index);
}

static gint
compare_backlog (gconstpointer left, gconstpointer right, gpointer unused)
{
  (void)unused;
  const struct flow *a = left;
  const struct flow *b = right;
  if (a->backlog != b->backlog)
    {
      return a->backlog > b->backlog ? -1 : 1;
    }
  return compare_numbers (a->index, b->index);
}

static gint
compare_deadline (gconstpointer left, gconstpointer right, gpointer unused)
{
  (void)unused;
  const struct fq_item *a = &((const struct entry *)left)->item;
  const struct fq_item *b = &((const struct entry *)right)->item;
  if (a->latest_start_us != b->latest_start_us)
    {
      return a->latest_start_us < b->latest_start_us ? -1 : 1;
    }
  return compare_numbers (a->id, b->id);
}

static void
free_flow (gpointer data)
{
  struct flow *flow = data;
  for (int i = 0; i < FQ_PRIORITIES; i++)
    {
      g_queue_clear (&flow->items[i]);
    }
  g_free (flow);
}

/* Creates an empty queue.  */
struct fq_queue *
fq_create (void)
{
  struct fq_queue *queue = g_new0 (struct fq_queue, 1);
  queue->flows = g_hash_table_new_full (NULL, NULL, NULL, free_flow);
  queue->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  queue->by_start_tag = g_tree_new_with_data (compare_start_tag, NULL);
  queue->by_backlog = g_tree_new_with_data (compare_backlog, NULL);
  queue->by_deadline = g_tree_new_with_data (compare_deadline, NULL);
  return queue;
}

/* Frees QUEUE; NULL is allowed.  */
void
fq_destroy (struct fq_queue *queue)
{
  if (queue == NULL)
    {
      return;
    }
  g_tree_destroy (queue->by_start_tag);
  g_tree_destroy (queue->by_backlog);
  g_tree_destroy (queue->by_deadline);
  g_hash_table_destroy (queue->entries);
  g_hash_table_destroy (queue->flows);
  g_free (queue);
}

static struct flow *
find_flow (const struct fq_queue *queue, uint32_t index)
{
  return g_hash_table_lookup (queue->flows, GUINT_TO_POINTER (index));
}

/* Returns the flow at INDEX, which is created with a weight of 1 on first
   use.  */
static struct flow *
find_or_create_flow (struct fq_queue *queue, uint32_t index)
{
  struct flow *flow = find_flow (queue, index);
  if (flow == NULL)
    {
      flow = g_new0 (struct flow, 1);
      flow->index = index;
      flow->weight = 1;
      g_hash_table_insert (queue->flows, GUINT_TO_POINTER (index), flow);
    }
  return flow;
}

/* Removes a backlogged flow from the trees.  Must be called before a change of
   the fields by which the trees are ordered.  */
static void
detach (struct fq_queue *queue, struct flow *flow)
{
  if (flow->length > 0)
    {
      g_tree_remove (queue->by_start_tag, flow);
      g_tree_remove (queue->by_backlog, flow);
      queue->weight -= flow->weight;
    }
}

/* Recomputes the backlog of a flow and returns it to the trees; reverses
   detach.  */
static void
attach (struct fq_queue *queue, struct flow *flow)
{
  if (flow->length > 0)
    {
      double cost = 0.0;
      for (int i = 0; i < FQ_PRIORITIES; i++)
        {
          cost += flow->cost[i];
        }
      flow->backlog = cost / flow->weight;
      g_tree_insert (queue->by_start_tag, flow, flow);
      g_tree_insert (queue->by_backlog, flow, flow);
      queue->weight += flow->weight;
    }
}

/* Sets the weight of the flow at INDEX; 0 counts as 1.  */
void
fq_set_weight (struct fq_queue *queue, uint32_t index, uint32_t weight)
{
  struct flow *flow = find_or_create_flow (queue, index);
  detach (queue, flow);
  flow->weight = MAX (weight, 1);
  attach (queue, flow);
}

static uint32_t
clamp_priority (uint32_t priority)
{
  return MIN (priority, FQ_PRIORITIES - 1);
}

/* Adds ITEM, whose id must not be queued already.  */
void
fq_push (struct fq_queue *queue, const struct fq_item *item)
{
  struct flow *flow = find_or_create_flow (queue, item->flow);
  uint32_t priority = clamp_priority (item->priority);
  struct entry *entry = g_new0 (struct entry, 1);
  entry->item = *item;
  entry->flow = flow;
  detach (queue, flow);
  if (flow->length == 0)
    {
      flow->start_tag = MAX (flow->start_tag, queue->virtual_time);
    }
  g_queue_push_tail (&flow->items[priority], entry);
  entry->link = g_queue_peek_tail_link (&flow->items[priority]);
  flow->cost[priority] += item->cost;
  flow->length++;
  attach (queue, flow);
  queue->cost += item->cost;
  g_hash_table_insert (queue->entries, &entry->item.id, entry);
  g_tree_insert (queue->by_deadline, entry, entry);
}

/* Removes ENTRY from the queue, copies its item to ITEM and frees it.  */
static void
remove_entry (struct fq_queue *queue, struct entry *entry,
              struct fq_item *item)
{
  struct flow *flow = entry->flow;
  uint32_t priority = clamp_priority (entry->item.priority);
  *item = entry->item;
  detach (queue, flow);
  g_queue_delete_link (&flow->items[priority], entry->link);
  flow->length--;
  flow->cost[priority] = flow->items[priority].length > 0
                             ? flow->cost[priority] - item->cost
                             : 0.0;
  attach (queue, flow);
  g_tree_remove (queue->by_deadline, entry);
  g_hash_table_remove (queue->entries, &item->id);
  queue->cost = fq_length (queue) > 0 ? queue->cost - item->cost : 0.0;
}

static struct flow *
first_flow (GTree *tree)
{
  GTreeNode *node = g_tree_node_first (tree);
  return node != NULL ? g_tree_node_value (node) : NULL;
}

/* Removes the item to be served next and charges its cost to its flow.
   Returns false when the queue is empty.  */
bool
fq_pop (struct fq_queue *queue, struct fq_item *item)
{
  struct flow *flow = first_flow (queue->by_start_tag);
  if (flow == NULL)
    {
      return false;
    }
  int priority = 0;
  while (flow->items[priority].length == 0)
    {
      priority++;
    }
  queue->virtual_time = flow->start_tag;
  remove_entry (queue, g_queue_peek_head (&flow->items[priority]), item);
  detach (queue, flow);
  flow->start_tag += item->cost / flow->weight;
  attach (queue, flow);
  return true;
}

/* Removes one item whose latest start is before NOW_US.  Returns false when
   there is none.  */
bool
fq_pop_expired (struct fq_queue *queue, int64_t now_us, struct fq_item *item)
{
  GTreeNode *node = g_tree_node_first (queue->by_deadline);
  struct entry *entry = node != NULL ? g_tree_node_value (node) : NULL;
  if (entry == NULL || entry->item.latest_start_us >= now_us)
    {
      return false;
    }
  remove_entry (queue, entry, item);
  return true;
}

/* Removes the newest item of the lowest priority in the flow with the longest
   backlog relative to its weight.  Returns false when the queue is empty.  */
bool
fq_evict (struct fq_queue *queue, struct fq_item *item)
{
  struct flow *flow = first_flow (queue->by_backlog);
  if (flow == NULL)
    {
      return false;
    }
  int priority = FQ_PRIORITIES - 1;
  while (flow->items[priority].length == 0)
    {
      priority--;
    }
  remove_entry (queue, g_queue_peek_tail (&flow->items[priority]), item);
  return true;
}

/* Removes the item with ID.  Returns false when it isn't queued.  */
bool
fq_remove (struct fq_queue *queue, uint64_t id, struct fq_item *item)
{
  struct entry *entry = g_hash_table_lookup (queue->entries, &id);
  if (entry == NULL)
    {
      return false;
    }
  remove_entry (queue, entry, item);
  return true;
}

/* Returns the number of queued items.  */
uint32_t
fq_length (const struct fq_queue *queue)
{
  return g_hash_table_size (queue->entries);
}

/* Returns the total cost of all queued items.  */
double
fq_total_cost (const struct fq_queue *queue)
{
  return queue->cost;
}

/* Estimates the cost that is served before a new item of the flow at INDEX
   with PRIORITY: the flow's own items that precede the new one, plus the other
   flows' shares of service meanwhile, limited to the total cost.  */
double
fq_cost_ahead (const struct fq_queue *queue, uint32_t index, uint32_t priority)
{
  const struct flow *flow = find_flow (queue, index);
  if (flow == NULL)
    {
      return 0.0;
    }
  double own_cost = 0.0;
  for (uint32_t i = 0; i <= clamp_priority (priority); i++)
    {
      own_cost += flow->cost[i];
    }
  double weight = queue->weight + (flow->length == 0 ? flow->weight : 0);
  return MIN (queue->cost, own_cost * weight / flow->weight);
}

/* Returns whether the flow at INDEX has the longest backlog relative to its
   weight.  A flow without items never has.  */
bool
fq_has_longest_backlog (const struct fq_queue *queue, uint32_t index)
{
  const struct flow *longest_flow = first_flow (queue->by_backlog);
  return longest_flow != NULL && longest_flow->index == index;
}
