#include "standin/peer_net.h"

#include <string.h>

/* Must exceed the latency in steps of PN_STEP_US. */
#define RING_SLOTS 256
#define FRAME_HEADER_BYTES 4 /* the length field before each message */

/* A message in transit. */
struct packet
{
  uint32_t sender;
  uint32_t receiver;
  size_t size;
  uint8_t *bytes;
};

/* A simulated daemon. */
struct peer
{
  char *name;
  char *address;
  struct mem_fleet *fleet; /* NULL: not running */
  bool paused;
  uint64_t start_count;
  int64_t next_tick_us;
  struct pn_usage usage;
  GPtrArray *queued; /* packets that arrived while the peer was paused */
};

struct pn_net
{
  struct peer *peers;
  uint32_t count;
  GRand *random;
  int64_t now_us;
  int64_t latency_us;
  uint32_t loss_per_mille;
  uint32_t candidates;          /* addresses that a starting peer knows */
  bool *blocked;                /* sender * count + receiver */
  GPtrArray *ring[RING_SLOTS];  /* packets by the step of their delivery */
  GHashTable *index_by_address; /* address to index + 1 */
  pn_action_fn on_action;
  void *user_data;
};

static void
destroy_packet (gpointer data)
{
  struct packet *packet = data;
  g_free (packet->bytes);
  g_free (packet);
}

/* Creates a network of PEERS peers, none of which is running.  A peer that
   starts knows the addresses of all peers.  */
struct pn_net *
pn_create (uint32_t peers, uint32_t seed)
{
  struct pn_net *net = g_new0 (struct pn_net, 1);
  net->peers = g_new0 (struct peer, peers);
  net->count = peers;
  net->candidates = peers;
  net->random = g_rand_new_with_seed (seed);
  net->latency_us = PN_STEP_US;
  net->blocked = g_new0 (bool, (size_t)peers *peers);
  net->index_by_address = g_hash_table_new (g_str_hash, g_str_equal);
  for (int i = 0; i < RING_SLOTS; i++)
    {
      net->ring[i] = g_ptr_array_new_with_free_func (destroy_packet);
    }
  for (uint32_t i = 0; i < peers; i++)
    {
      struct peer *peer = &net->peers[i];
      peer->name = g_strdup_printf ("entry-%03u", i);
      peer->address
          = g_strdup_printf ("10.20.%u.%u:7000", i / 250, i % 250 + 1);
      peer->queued = g_ptr_array_new_with_free_func (destroy_packet);
      g_hash_table_insert (net->index_by_address, peer->address,
                           GUINT_TO_POINTER (i + 1));
    }
  return net;
}

/* Frees NET and its peers.  */
void
pn_destroy (struct pn_net *net)
{
  for (uint32_t i = 0; i < net->count; i++)
    {
      struct peer *peer = &net->peers[i];
      mem_destroy (peer->fleet);
      g_free (peer->name);
      g_free (peer->address);
      g_ptr_array_free (peer->queued, TRUE);
    }
  for (int i = 0; i < RING_SLOTS; i++)
    {
      g_ptr_array_free (net->ring[i], TRUE);
    }
  g_hash_table_destroy (net->index_by_address);
  g_rand_free (net->random);
  g_free (net->blocked);
  g_free (net->peers);
  g_free (net);
}

/* Sets the FUNCTION that is called with the actions of all peers.  */
void
pn_on_action (struct pn_net *net, pn_action_fn function, void *user_data)
{
  net->on_action = function;
  net->user_data = user_data;
}

/* Sets the one-way latency of messages sent from now on.  Latencies are
   rounded down to steps of PN_STEP_US, with a minimum of one step.  */
void
pn_set_latency (struct pn_net *net, int64_t latency_us)
{
  net->latency_us = latency_us;
}

/* Sets how many of a thousand messages are lost on average.  */
void
pn_set_loss (struct pn_net *net, uint32_t per_mille)
{
  net->loss_per_mille = per_mille;
}

/* Makes peers started from now on know the addresses of the first PEER_COUNT
   peers only.  */
void
pn_set_candidates (struct pn_net *net, uint32_t peer_count)
{
  net->candidates = peer_count;
}

/* Blocks messages sent from now on from SENDER to RECEIVER when CUT is true,
   else unblocks them.  The opposite direction isn't affected.  */
void
pn_block (struct pn_net *net, uint32_t sender, uint32_t receiver, bool cut)
{
  net->blocked[(size_t)sender * net->count + receiver] = cut;
}

/* Blocks, or unblocks when CUT is false, all messages between the peers below
   the index FIRST_OF_SECOND and the other peers.  */
void
pn_block_groups (struct pn_net *net, uint32_t first_of_second, bool cut)
{
  for (uint32_t i = 0; i < first_of_second; i++)
    {
      for (uint32_t j = first_of_second; j < net->count; j++)
        {
          pn_block (net, i, j, cut);
          pn_block (net, j, i, cut);
        }
    }
}

/* Starts the peer INDEX with a new incarnation and an empty member list.  */
void
pn_start (struct pn_net *net, uint32_t index)
{
  struct peer *peer = &net->peers[index];
  peer->start_count++;
  const struct mem_settings settings = {
    .name = peer->name,
    .address = peer->address,
    .data_centre = "dc-a",
    .incarnation = (uint64_t)net->now_us + peer->start_count,
    .seed = g_rand_int (net->random),
  };
  peer->fleet = mem_create (&settings, net->now_us);
  peer->paused = false;
  peer->next_tick_us = net->now_us;
  const char **addresses = g_new0 (const char *, net->candidates + 1);
  for (uint32_t i = 0; i < net->candidates; i++)
    {
      addresses[i] = net->peers[i].address;
    }
  mem_set_candidates (peer->fleet, addresses);
  g_free (addresses);
}

/* Starts all peers.  */
void
pn_start_all (struct pn_net *net)
{
  for (uint32_t i = 0; i < net->count; i++)
    {
      pn_start (net, i);
    }
}

/* Kills the peer INDEX without a message to other peers.  */
void
pn_kill (struct pn_net *net, uint32_t index)
{
  mem_destroy (net->peers[index].fleet);
  net->peers[index].fleet = NULL;
  g_ptr_array_set_size (net->peers[index].queued, 0);
}

/* Pauses the peer INDEX, or resumes it.  Messages that arrive during the pause
   are delivered after it.  */
void
pn_pause (struct pn_net *net, uint32_t index, bool paused)
{
  net->peers[index].paused = paused;
}

/* Puts the message of ACTION into the delivery ring, unless the message is
   blocked or lost.  */
static void
send_packet (struct pn_net *net, uint32_t sender, struct mem_action *action)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  envelope.body_case = PEER__ENVELOPE__BODY_MEMBERSHIP;
  envelope.membership = action->message;
  const size_t size = peer__envelope__get_packed_size (&envelope);
  net->peers[sender].usage.messages += 1;
  net->peers[sender].usage.bytes += size + FRAME_HEADER_BYTES;
  const uint32_t receiver = GPOINTER_TO_UINT (
      g_hash_table_lookup (net->index_by_address, action->address));
  if (receiver == 0 || net->blocked[(size_t)sender * net->count + receiver - 1]
      || (uint32_t)g_rand_int_range (net->random, 0, 1000)
             < net->loss_per_mille)
    {
      return;
    }
  struct packet *packet = g_new (struct packet, 1);
  *packet = (struct packet){ .sender = sender,
                             .receiver = receiver - 1,
                             .size = size,
                             .bytes = g_malloc (size) };
  peer__envelope__pack (&envelope, packet->bytes);
  const int64_t steps = MAX (net->latency_us / PN_STEP_US, 1);
  const int64_t step = net->now_us / PN_STEP_US + steps;
  g_ptr_array_add (net->ring[step % RING_SLOTS], packet);
}

/* Sends the pending messages of the peer INDEX and passes other actions to the
   callback.  */
static void
run_actions (struct pn_net *net, uint32_t index)
{
  struct mem_action action;
  while (mem_next_action (net->peers[index].fleet, &action))
    {
      if (action.kind == MEM_SEND)
        {
          send_packet (net, index, &action);
        }
      else if (net->on_action != NULL)
        {
          net->on_action (net->user_data, index, net->now_us, &action);
        }
      mem_action_clear (&action);
    }
}

static void
deliver (struct pn_net *net, const struct packet *packet)
{
  struct peer *peer = &net->peers[packet->receiver];
  Peer__Envelope *envelope
      = peer__envelope__unpack (NULL, packet->size, packet->bytes);
  g_assert (envelope != NULL);
  peer->usage.received_bytes += packet->size + FRAME_HEADER_BYTES;
  mem_receive (peer->fleet, envelope->membership, net->now_us);
  peer__envelope__free_unpacked (envelope, NULL);
  run_actions (net, packet->receiver);
}

/* Delivers the packets of the current step.  Those to paused peers are queued,
   those to peers that aren't running are dropped.  */
static void
deliver_due (struct pn_net *net)
{
  GPtrArray *due = net->ring[(net->now_us / PN_STEP_US) % RING_SLOTS];
  for (guint i = 0; i < due->len; i++)
    {
      struct packet *packet = due->pdata[i];
      struct peer *peer = &net->peers[packet->receiver];
      if (peer->fleet != NULL && peer->paused)
        {
          g_ptr_array_add (peer->queued, packet);
          due->pdata[i] = NULL;
        }
      else if (peer->fleet != NULL)
        {
          deliver (net, packet);
        }
    }
  g_ptr_array_set_free_func (due, NULL);
  for (guint i = 0; i < due->len; i++)
    {
      if (due->pdata[i] != NULL)
        {
          destroy_packet (due->pdata[i]);
        }
    }
  g_ptr_array_set_size (due, 0);
  g_ptr_array_set_free_func (due, destroy_packet);
}

static void
step_peer (struct pn_net *net, uint32_t index)
{
  struct peer *peer = &net->peers[index];
  if (peer->fleet == NULL || peer->paused)
    {
      return;
    }
  for (guint i = 0; i < peer->queued->len; i++)
    {
      deliver (net, peer->queued->pdata[i]);
    }
  g_ptr_array_set_size (peer->queued, 0);
  if (net->now_us >= peer->next_tick_us)
    {
      peer->next_tick_us = mem_tick (peer->fleet, net->now_us);
      run_actions (net, index);
    }
}

/* Advances the simulated time by DURATION_US and steps all peers.  */
void
pn_run (struct pn_net *net, int64_t duration_us)
{
  const int64_t end_us = net->now_us + duration_us;
  while (net->now_us < end_us)
    {
      net->now_us += PN_STEP_US;
      deliver_due (net);
      for (uint32_t i = 0; i < net->count; i++)
        {
          step_peer (net, i);
        }
    }
}

/* Returns the simulated time.  */
int64_t
pn_now_us (const struct pn_net *net)
{
  return net->now_us;
}

/* Returns the membership state of the peer INDEX, or NULL when the peer isn't
   running.  Actions that a caller's change to this state causes are run at the
   peer's next tick.  */
struct mem_fleet *
pn_fleet (struct pn_net *net, uint32_t index)
{
  return net->peers[index].fleet;
}

/* Returns the name of the peer INDEX.  */
const char *
pn_name (const struct pn_net *net, uint32_t index)
{
  return net->peers[index].name;
}

/* Returns the traffic of the peer INDEX since the last pn_reset_usage.  */
struct pn_usage
pn_usage (const struct pn_net *net, uint32_t index)
{
  return net->peers[index].usage;
}

/* Resets the traffic counters of all peers to 0.  */
void
pn_reset_usage (struct pn_net *net)
{
  for (uint32_t i = 0; i < net->count; i++)
    {
      net->peers[i].usage = (struct pn_usage){ 0 };
    }
}

/* Returns true when every running peer counts exactly ALIVE peers as alive,
   suspect ones and itself included.  */
bool
pn_all_see (struct pn_net *net, uint32_t alive)
{
  for (uint32_t i = 0; i < net->count; i++)
    {
      const struct mem_fleet *fleet = net->peers[i].fleet;
      if (fleet != NULL && mem_active_count (fleet) != alive)
        {
          return false;
        }
    }
  return true;
}
