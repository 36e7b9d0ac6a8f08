#include "entry/passing.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/reach.h"

/* The addresses of neighbours are looked up again after this time. */
#define LOOKUP_US (4 * CLK_S_US)

struct psg_passing
{
  struct nbr_neighbours *neighbours;
  struct rch_reach reach;
  GPtrArray *peers;     /* struct fst_endpoint: the daemons, by address */
  int64_t looked_up_us; /* monotonic; 0: not yet */
};

/* Creates the state of a daemon that finds others in NEIGHBOURS.  The caller
   frees it with psg_destroy.  */
struct psg_passing *
psg_create (struct nbr_neighbours *neighbours)
{
  struct psg_passing *passing = g_new0 (struct psg_passing, 1);
  passing->neighbours = neighbours;
  passing->peers
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fst_release);
  return passing;
}

/* Frees PASSING.  */
void
psg_destroy (struct psg_passing *passing)
{
  g_ptr_array_free (passing->peers, TRUE);
  g_free (passing);
}

/* Returns the peer at ADDRESS in PEERS, or NULL.  */
static struct fst_endpoint *
find_peer (const GPtrArray *peers, const char *address)
{
  for (guint i = 0; i < peers->len; i++)
    {
      struct fst_endpoint *peer = g_ptr_array_index (peers, i);
      if (g_str_equal (peer->address, address))
        {
          return peer;
        }
    }
  return NULL;
}

/* Takes the addresses that were looked up.  What is known of a peer stays.  */
static void
update_peers (struct psg_passing *passing)
{
  g_auto (GStrv) addresses = nbr_take_news (passing->neighbours);
  if (addresses != NULL)
    {
      GPtrArray *peers
          = g_ptr_array_new_with_free_func ((GDestroyNotify)fst_release);
      for (size_t i = 0; addresses[i] != NULL; i++)
        {
          struct fst_endpoint *known
              = find_peer (passing->peers, addresses[i]);
          g_ptr_array_add (peers, known == NULL
                                      ? fst_create_peer (addresses[i])
                                      : fst_reference (known));
        }
      g_ptr_array_free (passing->peers, TRUE);
      passing->peers = peers;
      passing->looked_up_us = clk_monotonic_us ();
    }
}

/* Tells the fleet's state whether the daemon is cut off, if that has changed
   from WAS_CUT_OFF.  */
static void
apply_change (struct trf_traffic *traffic, bool was_cut_off)
{
  bool is_cut_off = psg_is_cut_off (traffic);
  if (is_cut_off == was_cut_off)
    {
      return;
    }
  lg_line (LOG_NOTICE, is_cut_off ? "cut_off" : "reaches_endpoints",
           "neighbours=%u", traffic->passing->peers->len);
  fst_set_cut_off (traffic->fleet, is_cut_off);
  cnt_set_gauge (traffic->metrics->cut_off, is_cut_off);
  if (is_cut_off)
    {
      nbr_ask (traffic->passing->neighbours);
    }
}

/* Records that an endpoint has answered a call that was sent at SENT_US.  */
void
psg_report_answer (struct trf_traffic *traffic, int64_t sent_us)
{
  bool was_cut_off = psg_is_cut_off (traffic);
  rch_report_answer (&traffic->passing->reach, sent_us);
  apply_change (traffic, was_cut_off);
}

/* Records that a call to ENDPOINT, sent at SENT_US, had no answer.  With the
   first one the neighbours are looked up, as a cut may have begun.  A
   neighbour that doesn't answer shows nothing of the ways to endpoints.  */
void
psg_report_failure (struct trf_traffic *traffic,
                    const struct fst_endpoint *endpoint, int64_t sent_us)
{
  if (endpoint->is_neighbour)
    {
      return;
    }
  update_peers (traffic->passing);
  bool was_cut_off = psg_is_cut_off (traffic);
  rch_report_failure (&traffic->passing->reach, g_str_hash (endpoint->id),
                      sent_us, clk_monotonic_us ());
  apply_change (traffic, was_cut_off);
  if (traffic->passing->looked_up_us == 0)
    {
      nbr_ask (traffic->passing->neighbours);
    }
}

/* Returns whether this daemon is cut off from the endpoints.  */
bool
psg_is_cut_off (const struct trf_traffic *traffic)
{
  return rch_is_cut_off (&traffic->passing->reach,
                         fst_endpoint_count (traffic->fleet));
}

/* Returns whether this daemon serves new callers as well as others do.  */
bool
psg_is_ready (const struct trf_traffic *traffic)
{
  return rch_is_ready (&traffic->passing->reach,
                       fst_endpoint_count (traffic->fleet),
                       clk_monotonic_us ());
}

/* Returns whether the next request tries the daemon's own way though it is cut
   off.  */
bool
psg_take_probe (struct trf_traffic *traffic)
{
  return rch_take_probe (&traffic->passing->reach, clk_monotonic_us ());
}

/* Chooses the daemon to pass a request on to that was sent to those in TRIED
   already.  Returns a reference, or NULL if there is none.  */
struct fst_endpoint *
psg_choose (struct trf_traffic *traffic, const GPtrArray *tried)
{
  struct psg_passing *passing = traffic->passing;
  update_peers (passing);
  int64_t now_us = clk_monotonic_us ();
  if (passing->looked_up_us == 0 || now_us - passing->looked_up_us > LOOKUP_US)
    {
      nbr_ask (passing->neighbours);
    }
  uint32_t count = passing->peers->len;
  g_autoptr (GArray) found
      = g_array_new (FALSE, FALSE, sizeof (struct rch_neighbour));
  for (uint32_t i = 0; i < count; i++)
    {
      struct fst_endpoint *peer = g_ptr_array_index (passing->peers, i);
      const struct rch_neighbour neighbour = {
        .usable = evd_usable (&peer->evidence, now_us),
        .tried = g_ptr_array_find ((GPtrArray *)tried, peer, NULL),
        .in_flight = peer->evidence.in_flight,
      };
      g_array_append_val (found, neighbour);
    }
  int32_t best = rch_choose_neighbour (
      (const struct rch_neighbour *)(void *)found->data, count,
      g_random_int ());
  return best < 0 ? NULL
                  : fst_reference (g_ptr_array_index (passing->peers, best));
}
