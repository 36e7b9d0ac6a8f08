#include "entry/passing.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/reach.h"
#include "entry/probing.h"

/* The addresses of neighbours are looked up again after this time. */
#define LOOKUP_US (4 * CLK_S_US)

/* What is known of the ways to the endpoints of one service. */
struct ways
{
  struct rch_reach reach;
  GHashTable *standings; /* address of a neighbour to struct rch_standing */
};

struct psg_passing
{
  struct nbr_neighbours *neighbours;
  GHashTable *ways;     /* name of a service to its struct ways */
  GPtrArray *peers;     /* struct fst_endpoint: the daemons, by address */
  int64_t looked_up_us; /* monotonic; 0: not yet */
};

static void
destroy_ways (gpointer data)
{
  struct ways *ways = data;
  g_hash_table_destroy (ways->standings);
  g_free (ways);
}

/* Creates the state of a daemon that finds others in NEIGHBOURS.  The caller
   frees it with psg_destroy.  */
struct psg_passing *
psg_create (struct nbr_neighbours *neighbours)
{
  struct psg_passing *passing = g_new0 (struct psg_passing, 1);
  passing->neighbours = neighbours;
  passing->ways
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_ways);
  passing->peers
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fst_release);
  return passing;
}

/* Frees PASSING.  */
void
psg_destroy (struct psg_passing *passing)
{
  g_ptr_array_free (passing->peers, TRUE);
  g_hash_table_destroy (passing->ways);
  g_free (passing);
}

/* Returns what is known of the ways to the endpoints of SERVICE, created if it
   is new, or NULL if the configuration in force doesn't have it.  */
static struct ways *
find_ways (const struct trf_traffic *traffic, uint32_t service)
{
  const struct flt_config *config = fst_config (traffic->fleet);
  if (config == NULL || service >= config->service_count)
    {
      return NULL;
    }
  GHashTable *all = traffic->passing->ways;
  const char *name = config->services[service].name;
  struct ways *ways = g_hash_table_lookup (all, name);
  if (ways == NULL)
    {
      ways = g_new0 (struct ways, 1);
      ways->standings
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (all, g_strdup (name), ways);
    }
  return ways;
}

/* Like find_ways, for what calls to the endpoints have shown.  */
static struct rch_reach *
find_reach (const struct trf_traffic *traffic, uint32_t service)
{
  struct ways *ways = find_ways (traffic, service);
  return ways == NULL ? NULL : &ways->reach;
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

/* Returns the number of services that the daemon is cut off from.  */
static uint32_t
count_cut_off (const struct trf_traffic *traffic)
{
  const struct flt_config *config = fst_config (traffic->fleet);
  uint32_t count = 0;
  for (uint32_t i = 0; config != NULL && i < config->service_count; i++)
    {
      count += psg_is_cut_off (traffic, i);
    }
  return count;
}

/* Tells the fleet's state whether the daemon is cut off from SERVICE, if that
   has changed from WAS_CUT_OFF.  */
static void
apply_change (struct trf_traffic *traffic, uint32_t service, bool was_cut_off)
{
  bool is_cut_off = psg_is_cut_off (traffic, service);
  if (is_cut_off == was_cut_off)
    {
      return;
    }
  lg_line (LOG_NOTICE, is_cut_off ? "cut_off" : "reaches_endpoints",
           "service=%s neighbours=%u",
           fst_config (traffic->fleet)->services[service].name,
           traffic->passing->peers->len);
  fst_set_cut_off (traffic->fleet, service, is_cut_off,
                   find_reach (traffic, service)->since_us);
  cnt_set_gauge (traffic->metrics->cut_off, count_cut_off (traffic));
  if (is_cut_off)
    {
      nbr_ask (traffic->passing->neighbours);
    }
}

/* Records that ENDPOINT has answered a call that was sent at SENT_US.  */
void
psg_report_answer (struct trf_traffic *traffic, struct fst_endpoint *endpoint,
                   int64_t sent_us)
{
  struct rch_reach *reach = find_reach (traffic, endpoint->service);
  endpoint->answered_us = MAX (endpoint->answered_us, sent_us);
  if (reach != NULL)
    {
      rch_report_answer (reach, sent_us);
    }
}

/* Records that a call to ENDPOINT, sent at SENT_US, had no answer.  With the
   first one the neighbours are looked up, as a cut may have begun.  A
   neighbour that doesn't answer shows nothing of the ways to endpoints.  */
void
psg_report_failure (struct trf_traffic *traffic,
                    const struct fst_endpoint *endpoint, int64_t sent_us)
{
  struct rch_reach *reach = find_reach (traffic, endpoint->service);
  if (endpoint->is_neighbour || reach == NULL)
    {
      return;
    }
  update_peers (traffic->passing);
  bool was_cut_off = psg_is_cut_off (traffic, endpoint->service);
  rch_report_failure (reach,
                      fst_endpoint_count (traffic->fleet, endpoint->service),
                      g_str_hash (endpoint->id), sent_us, clk_monotonic_us ());
  apply_change (traffic, endpoint->service, was_cut_off);
  if (traffic->passing->looked_up_us == 0)
    {
      nbr_ask (traffic->passing->neighbours);
    }
  prb_step (traffic, clk_monotonic_us ());
}

/* Returns whether the addresses of neighbours were looked up.  */
bool
psg_knows_neighbours (const struct trf_traffic *traffic)
{
  return traffic->passing->looked_up_us > 0;
}

/* Returns whether this daemon is cut off from the endpoints of SERVICE.  */
bool
psg_is_cut_off (const struct trf_traffic *traffic, uint32_t service)
{
  const struct rch_reach *reach = find_reach (traffic, service);
  return reach != NULL && reach->cut_off;
}

/* Returns whether this daemon serves new callers as well as others do.  */
bool
psg_is_ready (const struct trf_traffic *traffic)
{
  const struct flt_config *config = fst_config (traffic->fleet);
  int64_t now_us = clk_monotonic_us ();
  bool ready = true;
  for (uint32_t i = 0; config != NULL && i < config->service_count; i++)
    {
      ready = ready && rch_is_ready (find_reach (traffic, i), now_us);
    }
  return ready;
}

/* Returns whether a round of probes to endpoints of SERVICE is due.  */
bool
psg_begin_round (struct trf_traffic *traffic, uint32_t service)
{
  struct rch_reach *reach = find_reach (traffic, service);
  return reach != NULL && rch_begin_round (reach, clk_monotonic_us ());
}

/* Records how many of so many PROBES to endpoints of SERVICE, begun at
   BEGAN_US, got ANSWERS.  */
void
psg_end_round (struct trf_traffic *traffic, uint32_t service, uint32_t probes,
               uint32_t answers, int64_t began_us)
{
  struct rch_reach *reach = find_reach (traffic, service);
  if (reach == NULL)
    {
      return;
    }
  bool was_cut_off = reach->cut_off;
  rch_end_round (reach, probes, answers, began_us, clk_monotonic_us ());
  apply_change (traffic, service, was_cut_off);
}

/* Records that NEIGHBOUR SERVES a request to SERVICE that was passed on to it,
   or has refused it since it can't reach the endpoints either.  */
void
psg_report_neighbour (struct trf_traffic *traffic, uint32_t service,
                      const struct fst_endpoint *neighbour, bool serves)
{
  struct ways *ways = find_ways (traffic, service);
  if (ways == NULL)
    {
      return;
    }
  struct rch_standing *standing
      = g_hash_table_lookup (ways->standings, neighbour->address);
  if (standing == NULL)
    {
      standing = g_new0 (struct rch_standing, 1);
      g_hash_table_insert (ways->standings, g_strdup (neighbour->address),
                           standing);
    }
  rch_report_neighbour (&ways->reach, standing, serves, clk_monotonic_us ());
}

/* Describes PEER for the choice of a neighbour, of which WAYS holds what it
   has shown, for a request that was sent to those in TRIED.  */
static struct rch_neighbour
describe_neighbour (const struct ways *ways, struct fst_endpoint *peer,
                    const GPtrArray *tried, int64_t now_us)
{
  const struct rch_standing *standing
      = ways == NULL ? NULL
                     : g_hash_table_lookup (ways->standings, peer->address);
  return (struct rch_neighbour){
    .usable = evd_usable (&peer->evidence, now_us)
              && (standing == NULL || now_us >= standing->refused_until_us),
    .tried = g_ptr_array_find ((GPtrArray *)tried, peer, NULL),
    .serves = standing != NULL && standing->serves,
    .in_flight = peer->evidence.in_flight,
  };
}

/* Returns the number of neighbours in TRIED.  */
static uint32_t
count_neighbours (const GPtrArray *tried)
{
  uint32_t count = 0;
  for (guint i = 0; i < tried->len; i++)
    {
      const struct fst_endpoint *endpoint = g_ptr_array_index (tried, i);
      count += endpoint->is_neighbour;
    }
  return count;
}

/* Chooses the daemon to pass a request to SERVICE on to that was sent to those
   in TRIED already.  Returns a reference, or NULL if there is none.  */
struct fst_endpoint *
psg_choose (struct trf_traffic *traffic, uint32_t service,
            const GPtrArray *tried)
{
  const struct ways *ways = find_ways (traffic, service);
  struct psg_passing *passing = traffic->passing;
  update_peers (passing);
  int64_t now_us = clk_monotonic_us ();
  if (passing->looked_up_us == 0 || now_us - passing->looked_up_us > LOOKUP_US)
    {
      nbr_ask (passing->neighbours);
    }
  uint32_t count = count_neighbours (tried) < RCH_NEIGHBOURS_MAX
                       ? passing->peers->len
                       : 0;
  g_autoptr (GArray) found
      = g_array_new (FALSE, FALSE, sizeof (struct rch_neighbour));
  for (uint32_t i = 0; i < count; i++)
    {
      struct fst_endpoint *peer = g_ptr_array_index (passing->peers, i);
      const struct rch_neighbour neighbour
          = describe_neighbour (ways, peer, tried, now_us);
      g_array_append_val (found, neighbour);
    }
  int32_t best = rch_choose_neighbour (
      (const struct rch_neighbour *)(void *)found->data, count,
      g_random_int ());
  return best < 0 ? NULL
                  : fst_reference (g_ptr_array_index (passing->peers, best));
}
